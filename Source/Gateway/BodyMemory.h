#pragma once

#include <cstdint>
#include <string>

#include <boost/optional/optional.hpp>

#include "Core/MemoryBudget.h"
#include "Gateway/ReadBuffer.h"

namespace jacinthroad {

/// Reserves what the next read through `buffer` may add to a body of up to `limit` bytes. Of a body
/// with a stated length only what has arrived counts, whatever the sender states. Returns false if
/// the budget has no room.
[[nodiscard]] bool reserveForRead(MemoryReservation &memory, std::string &body,
                                  const boost::optional<std::uint64_t> &statedLength,
                                  const ReadBuffer &buffer, std::uint64_t limit);

} // namespace jacinthroad
