#pragma once

#include <cstddef>
#include <cstdint>

#include "Core/Time.h"

namespace jacinthroad {

/// What a node would pass on to the nodes that ask it.
struct TransferLoad
{
    /// Bytes that each of them lacks.
    std::uint64_t bytes = 0;
    std::size_t followers = 0;
    /// Link of the node that passes them on in Mbit/s; 0 if it is not known.
    double linkMbps = 0;
};

/// Time for which the transfers occupy the link; zero if the link is not known.
[[nodiscard]] Duration transferTime(const TransferLoad &load);

/// True if the nodes get the objects sooner from the store, because passing them on would take
/// longer than `limit`. Saves no calls to the store, and is for large content only.
[[nodiscard]] bool isReadFromStore(const TransferLoad &load, Duration limit);

/// Longest time that passing on a configuration may take if it has to be in force within
/// `configurationLimit`. Half of that time is kept for faults; of the rest, half is for reading the
/// store.
[[nodiscard]] constexpr Duration passingOnLimit(Duration configurationLimit)
{
    return configurationLimit / 4;
}

} // namespace jacinthroad
