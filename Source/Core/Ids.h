#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace jacinthroad {

/// A string identifier whose tag keeps, say, a team's name from being passed where a
/// backend server's is expected. Equality and order are those of the text.
template <typename Tag> class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string text)
        : text_(std::move(text))
    { }

    /// The text of the identifier.
    [[nodiscard]] const std::string &text() const { return text_; }
    /// True when no identifier was set.
    [[nodiscard]] bool empty() const { return text_.empty(); }

    friend auto operator<=>(const StrongId &, const StrongId &) = default;

private:
    std::string text_;
};

/// Name of a team, the unit of accounting, limits and cache isolation.
using TeamId = StrongId<struct TeamTag>;
/// Name of a model as callers write it.
using ModelId = StrongId<struct ModelTag>;
/// Name of a backend server, either a model engine or a plain service's instance.
using ServerId = StrongId<struct ServerTag>;
/// Name of a plain service.
using ServiceId = StrongId<struct ServiceTag>;
/// Name of an entry VM running `jacinthroad serve`.
using NodeId = StrongId<struct NodeTag>;
/// Name of an availability zone.
using ZoneId = StrongId<struct ZoneTag>;
/// Identifier of one caller request, unique across nodes and restarts.
using RequestId = StrongId<struct RequestTag>;

} // namespace jacinthroad

template <typename Tag> struct std::hash<jacinthroad::StrongId<Tag>>
{
    std::size_t operator()(const jacinthroad::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};
