#pragma once

#include <unordered_map>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// The share of the requests that the servers of a service have rejected lately, as one node sees
/// it. Counts lose half of their weight in half a second. Does no I/O; the caller passes the time.
class RejectionShare
{
public:
    void noteRejected(const ServiceId &service, Instant now);
    void noteAccepted(const ServiceId &service, Instant now);

    /// True if a quarter or more of the latest requests were rejected.
    [[nodiscard]] bool high(const ServiceId &service, Instant now) const;

private:
    struct Counts
    {
        double rejected = 0;
        double accepted = 0;
        Instant at;
    };

    [[nodiscard]] static Counts decayed(const Counts &counts, Instant now);

    std::unordered_map<ServiceId, Counts> services_;
};

} // namespace jacinthroad
