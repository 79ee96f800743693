#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "Core/Time.h"
#include "Quarantine/Quarantine.h"

namespace jacinthroad {

/// Recent crashes of backend servers, each with the requests that were in flight there. It
/// distinguishes a request that crashes servers from one that was in flight during crashes with
/// other causes.
class CrashLog
{
public:
    /// Records that a request was in flight when a server crashed. Records of one server within a
    /// short time belong to the same crash.
    void noteRequestAtCrash(std::uint32_t server, RequestFingerprint fingerprint, Instant now);

    /// True if a recent crash happened without the request in flight.
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
