#pragma once

#include <optional>

#include "Core/Time.h"

namespace jacinthroad {

/// Estimates how long requests of one route take, as a running mean. Durations are skewed to the
/// right, so more than half of the requests take less.
class UsualDuration
{
public:
    /// Notes how long a completed request took.
    void note(Duration duration);
    /// The estimate; nothing before the first request.
    [[nodiscard]] std::optional<Duration> estimate() const { return mean_; }

private:
    std::optional<Duration> mean_;
};

} // namespace jacinthroad
