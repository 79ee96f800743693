#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace jacinthroad {

/// A string identifier. The tag makes each kind of identifier a type of its own, so that a team's
/// name cannot be passed where a backend server's is expected. Compares like its string.
template <typename Tag> class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string text)
        : text_(std::move(text))
    { }

    /// Returns the identifier as a string.
    [[nodiscard]] const std::string &text() const { return text_; }
    /// True if no identifier is set.
    [[nodiscard]] bool empty() const { return text_.empty(); }

    friend auto operator<=>(const StrongId &, const StrongId &) = default;

private:
    std::string text_;
};

/// Name of a team, the unit of accounting, limits and cache isolation.
using TeamId = StrongId<struct TeamTag>;
/// Name of a model as callers specify it.
using ModelId = StrongId<struct ModelTag>;
/// Name of a backend server: a model engine or an instance of a plain service.
using ServerId = StrongId<struct ServerTag>;
/// Name of a plain service.
using ServiceId = StrongId<struct ServiceTag>;
/// Name of an entry VM running `jacinthroad serve`.
using NodeId = StrongId<struct NodeTag>;
/// Name of an availability zone.
using ZoneId = StrongId<struct ZoneTag>;
/// Identifier of a caller's request, unique across nodes and restarts.
using RequestId = StrongId<struct RequestTag>;

} // namespace jacinthroad

template <typename Tag> struct std::hash<jacinthroad::StrongId<Tag>>
{
    std::size_t operator()(const jacinthroad::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};
