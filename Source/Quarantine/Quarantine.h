#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Core/Time.h"

namespace jacinthroad {

/// Identifies equivalent requests: a hash of team, model and the complete body.
using RequestFingerprint = std::uint64_t;

/// Whether and how a request may be executed.
enum class RunPermission : std::uint8_t {
    /// Together with other requests.
    Unrestricted,
    /// Only on a server on which this node runs nothing else.
    Exclusive,
    /// Must not be executed.
    Denied,
};

/// One quarantine entry as exchanged between nodes.
struct QuarantineRecord
{
    RequestFingerprint fingerprint = 0;
    /// Crashes during which the request was running; one makes it a suspect, several quarantine it.
    std::uint8_t crashes = 0;
    /// Crashes during which it ran exclusively on the server and that nothing else explains.
    std::uint8_t exclusiveCrashes = 0;
};

/// Settings of a Quarantine.
struct QuarantineOptions
{
    Duration suspectLifetime = std::chrono::minutes(10);
    Duration quarantineLifetime = std::chrono::hours(1);
    std::size_t capacity = 1024;
};

/// Detects requests that crash backend servers. A crash makes every request in flight on that
/// server a suspect. Suspects run only exclusively: one that finishes is cleared, and one whose
/// server crashes again during the exclusive run is quarantined. Unrelated requests are cleared by
/// their exclusive run, so a request that always crashes its server crashes at most two.
class Quarantine
{
public:
    explicit Quarantine(QuarantineOptions options);

    /// Returns how the request may be executed now.
    [[nodiscard]] RunPermission permission(RequestFingerprint fingerprint, Instant now) const;

    /// Records a crash of the server that ran the request; `exclusive` if it ran exclusively there
    /// and nothing else explains the crash.
    void noteCrash(RequestFingerprint fingerprint, bool exclusive, Instant now);

    /// Records that the request finished. A suspect is cleared, and stays cleared if peers send
    /// older entries about it.
    void noteFinished(RequestFingerprint fingerprint, Instant now);

    /// Merges a peer's entry; the higher crash counts are kept.
    void merge(const QuarantineRecord &record, Instant now);

    /// Entries to send to peers.
    [[nodiscard]] std::vector<QuarantineRecord> records(Instant now) const;

private:
    struct Entry
    {
        QuarantineRecord record;
        Instant expires;
        bool cleared = false;
    };

    [[nodiscard]] Instant expiry(const QuarantineRecord &record, Instant now) const;
    void dropOldest();

    QuarantineOptions options_;
    std::unordered_map<RequestFingerprint, Entry> entries_;
};

} // namespace jacinthroad
