#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "Core/Time.h"

namespace jacinthroad {

/// The peers whose reports of loads are kept. Datagrams aren't authenticated and may claim any
/// name, so those of registered peers count, and those of a few others: nodes that have just
/// started report before they are listed, and a node that has just started has no list. Does no
/// I/O.
class ReportingPeers
{
public:
    /// Largest number of peers at once that aren't registered.
    static constexpr std::size_t MaxUnregistered = 64;
    /// Time without a report after which one that isn't registered gives way to another. What it
    /// reported has no weight by then.
    static constexpr Duration UnregisteredLifetime = std::chrono::seconds(12);

    /// Replaces the registered peers: nodes, and zonePeerName() of other zones.
    void setRegistered(std::span<const std::string> names);
    /// Notes a report. Returns false if it is not to be kept.
    [[nodiscard]] bool note(std::string_view name, Instant now);

private:
    /// Hashes of names.
    std::unordered_set<std::uint64_t> registered_;
    /// The others, and when they last reported.
    std::unordered_map<std::uint64_t, Instant> unregistered_;
};

} // namespace jacinthroad
