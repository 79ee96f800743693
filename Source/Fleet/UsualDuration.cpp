#include "Fleet/UsualDuration.h"

namespace jacinthroad {

namespace {

/// Reciprocal weight of a new sample in the mean, from RFC 6298.
constexpr int MeanWeightDivisor = 8;

} // namespace

void UsualDuration::note(Duration duration)
{
    mean_ = mean_.has_value() ? *mean_ + (duration - *mean_) / MeanWeightDivisor : duration;
}

} // namespace jacinthroad
