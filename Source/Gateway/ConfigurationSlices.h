#pragma once

#include <cstddef>

#include "Core/Time.h"

namespace jacinthroad {

/// Bytes of a configuration that are split, or decoded, before the control thread sleeps. Each
/// takes less than a millisecond of a core.
constexpr std::size_t SplitSliceBytes = 65536;
constexpr std::size_t DecodedSliceBytes = 16384;
/// How long the control thread sleeps between two slices. A thread that only posts its next slice
/// keeps the core.
constexpr Duration SlicePause = milliseconds(1);

} // namespace jacinthroad
