#pragma once

#include <cstddef>

#include "Core/Time.h"

namespace jacinthroad {

/// What it took to read a configuration, for the log.
struct ConfigurationTiming
{
    /// When the configuration was passed to the traffic thread.
    Instant postedAt;
    /// Processor time that the control thread used for decoding it.
    Duration readTime {};
    std::size_t bytes = 0;
};

} // namespace jacinthroad
