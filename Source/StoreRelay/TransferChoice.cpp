#include "StoreRelay/TransferChoice.h"

namespace jacinthroad {

namespace {

constexpr double BytesPerMegabit = 1e6 / 8;

} // namespace

Duration transferTime(const TransferLoad &load)
{
    if (load.linkMbps <= 0) {
        return {};
    }
    const double bytes = static_cast<double>(load.bytes) * static_cast<double>(load.followers);
    return fromMilliseconds(bytes / (load.linkMbps * BytesPerMegabit) * 1000);
}

bool isReadFromStore(const TransferLoad &load, Duration limit)
{
    return transferTime(load) > limit;
}

} // namespace jacinthroad
