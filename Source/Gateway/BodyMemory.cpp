#include "Gateway/BodyMemory.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// Beast reads at least this many bytes at a time, more if the buffer is larger.
constexpr std::size_t MinReadBytes = 512;

} // namespace

bool reserveForRead(MemoryReservation &memory, std::string &body,
                    const boost::optional<std::uint64_t> &statedLength, const ReadBuffer &buffer,
                    std::uint64_t limit)
{
    const std::size_t added = buffer.capacity() + MinReadBytes;
    if (!statedLength.has_value()) {
        return memory.growBody(body, added, limit);
    }
    const std::uint64_t most = std::min(*statedLength, limit);
    return memory.resize(std::min<std::uint64_t>(body.size() + added, most));
}

} // namespace jacinthroad
