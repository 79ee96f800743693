#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "Core/Time.h"
#include "Quarantine/Quarantine.h"

namespace jacinthroad {

/// Recent crashes of backend servers, each with the requests that were in flight there. It tells
/// a request that crashes servers from one that was only present while servers crash for reasons
/// of their own.
class CrashLog
{
public:
    /// Notes that a request was in flight when a server crashed. Notes of one server that come
    /// close together belong to one crash.
    void noteCrash(std::uint32_t server, RequestFingerprint fingerprint, Instant now);

    /// True when some recent crash did not have the request in flight.
    [[nodiscard]] bool hasUnrelatedCrash(RequestFingerprint fingerprint, Instant now) const;

private:
    struct Crash
    {
        std::uint32_t server = 0;
        Instant at;
        std::vector<RequestFingerprint> fingerprints;
    };

    std::deque<Crash> crashes_;
};

} // namespace jacinthroad
