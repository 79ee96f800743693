#include "Retry/RejectionShare.h"

#include <cmath>

namespace jacinthroad {

namespace {

constexpr Duration HalfLife = milliseconds(500);
constexpr double HighShare = 0.25;
/// Weight of a single rejection that is two half-lives old.
constexpr double MinRejections = 0.25;

} // namespace

RejectionShare::Counts RejectionShare::decayed(const Counts &counts, Instant now)
{
    const double factor = std::exp2(-toMilliseconds(now - counts.at) / toMilliseconds(HalfLife));
    return { .rejected = counts.rejected * factor,
             .accepted = counts.accepted * factor,
             .at = now };
}

void RejectionShare::noteRejected(const ServiceId &service, Instant now)
{
    Counts &counts = services_[service];
    counts = decayed(counts, now);
    counts.rejected += 1;
}

void RejectionShare::noteAccepted(const ServiceId &service, Instant now)
{
    Counts &counts = services_[service];
    counts = decayed(counts, now);
    counts.accepted += 1;
}

bool RejectionShare::high(const ServiceId &service, Instant now) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return false;
    }
    const Counts counts = decayed(found->second, now);
    return counts.rejected >= MinRejections
        && counts.rejected >= HighShare * (counts.rejected + counts.accepted);
}

} // namespace jacinthroad
