#pragma once

#include <cstdint>
#include <optional>

#include "Core/Time.h"

namespace jacinthroad {

/// A time point of CLOCK_BOOTTIME, which keeps counting while the VM is suspended.
struct BootInstant
{
    Duration sinceBoot {};

    friend auto operator<=>(const BootInstant &, const BootInstant &) = default;
};

[[nodiscard]] inline Duration operator-(BootInstant left, BootInstant right)
{
    return left.sinceBoot - right.sinceBoot;
}

[[nodiscard]] inline BootInstant operator+(BootInstant left, Duration right)
{
    return { left.sinceBoot + right };
}

[[nodiscard]] inline BootInstant operator-(BootInstant left, Duration right)
{
    return { left.sinceBoot - right };
}

/// How far a configuration may be relied on, given its age.
enum class FreshnessLevel : std::uint8_t {
    /// Known to be current: requests are accepted and permanently rejected based on it.
    Current,
    /// Still usable to serve requests, but too old to permanently reject a key or a route.
    Stale,
    /// A key may have been revoked since: requests that need a key are not served.
    Expired,
};

/// Tracks when a node's configuration was last known to be current. Only a completed read confirms
/// it, as of the time the read was sent; a pending watch confirms nothing.
class Freshness
{
public:
    struct Options
    {
        /// Age from which keys and routes are no longer permanently rejected.
        Duration staleAfter;
        /// Age from which keys are no longer accepted.
        Duration expiredAfter;
    };

    /// Age limits for the time within which a revoked key must be rejected.
    [[nodiscard]] static Options limitsFor(Duration keyRevocation);

    explicit Freshness(const Options &options);

    /// Replaces the age limits.
    void setOptions(const Options &options) { options_ = options; }

    /// Records that the local configuration was the newest one at `moment`. Earlier moments than
    /// the recorded one are ignored.
    void confirm(BootInstant moment);

    /// Time since the configuration was last known to be current; nullopt before the first read.
    [[nodiscard]] std::optional<Duration> age(BootInstant now) const;

    /// The freshness level at `now`.
    [[nodiscard]] FreshnessLevel level(BootInstant now) const;

private:
    Options options_;
    std::optional<BootInstant> confirmed_;
};

} // namespace jacinthroad
