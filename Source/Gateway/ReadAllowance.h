#pragma once

#include <algorithm>
#include <cstddef>

#include "Core/Time.h"

namespace jacinthroad {

/// How much a response may be read ahead of other work: what an engine can generate, and a burst
/// for a stream that is resumed or whose events were held up. A connection that has used more isn't
/// cut; ReadTurns lets it be read behind the work that waits. A read costs one unit if it completes
/// events, PieceUnits if not, and one more for each UnitBytes.
class ReadAllowance
{
public:
    /// Size of a usual event in bytes.
    static constexpr std::size_t UnitBytes = 128;
    /// Headers and bodies come in few pieces.
    static constexpr double PieceUnits = 32;
    /// The fastest engines take 3 ms for a step, which makes one event.
    static constexpr double UnitsPerSecond = 512;
    /// 200 events that arrive one by one, of more than the usual size.
    static constexpr double BurstUnits = 512;

    /// Counts a read that completes no event.
    void note(std::size_t bytes, Instant now);
    /// Counts the last read as one that has completed events.
    void noteEvents() { used_ = std::max(used_ - PieceUnits + 1, 0.0); }
    /// Returns the units that were used and not given back by the time that has passed.
    [[nodiscard]] double used(Instant now) const;
    /// True if the next read has to wait for its turn.
    [[nodiscard]] bool exceeded(Instant now) const { return used(now) > BurstUnits; }

private:
    /// A connection that becomes sound is read at once again soon, however much it has sent.
    static constexpr double MaxUsedUnits = 4 * BurstUnits;

    double used_ = 0;
    Instant notedAt_;
};

} // namespace jacinthroad
