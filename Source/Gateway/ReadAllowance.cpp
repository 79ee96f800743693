#include "Gateway/ReadAllowance.h"

#include <algorithm>

namespace jacinthroad {

void ReadAllowance::note(std::size_t bytes, Instant now)
{
    const double cost = PieceUnits + static_cast<double>(bytes) / UnitBytes;
    used_ = std::min(used(now) + cost, MaxUsedUnits);
    notedAt_ = now;
}

double ReadAllowance::used(Instant now) const
{
    constexpr double MsPerSecond = 1000;
    return std::max(used_ - toMilliseconds(now - notedAt_) / MsPerSecond * UnitsPerSecond, 0.0);
}

} // namespace jacinthroad
