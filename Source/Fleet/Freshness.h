#pragma once

#include <cstdint>
#include <optional>

#include "Core/Time.h"

namespace jacinthroad {

/// A point on the clock that goes on while the VM is suspended (CLOCK_BOOTTIME).
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

/// What may be done with a configuration of the present age.
enum class FreshnessLevel : std::uint8_t {
    /// Known current: requests may be served and refused by it.
    Current,
    /// Too old to refuse a key or a route for good, still good to serve by.
    Stale,
    /// A key may have been taken away since: nothing that needs a key is served.
    Expired,
};

/// The moment up to which a node's configuration is known to be current. Only the sending time of
/// a read that was answered proves it; a watch that waits proves nothing.
class Freshness
{
public:
    struct Options
    {
        /// Age from which the configuration refuses no key or route for good.
        Duration staleAfter;
        /// Age from which keys are no longer honoured.
        Duration expiredAfter;
    };

    explicit Freshness(const Options &options);

    /// Takes other limits.
    void setOptions(const Options &options) { options_ = options; }

    /// Notes that the configuration held is the newest as of `moment`; never moves back.
    void confirm(BootInstant moment);

    /// How long ago the configuration was last known to be current; nothing before the first read.
    [[nodiscard]] std::optional<Duration> age(BootInstant now) const;

    /// What the present age allows.
    [[nodiscard]] FreshnessLevel level(BootInstant now) const;

private:
    Options options_;
    std::optional<BootInstant> confirmed_;
};

} // namespace jacinthroad
