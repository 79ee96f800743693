#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Core/Time.h"

namespace jacinthroad {

/// Identifies requests that would run alike: a hash of team, model and the whole body.
using RequestFingerprint = std::uint64_t;

/// How a request may run.
enum class RunPermission : std::uint8_t {
    /// Beside any other.
    Unrestricted,
    /// Only on a server on which this node runs nothing else.
    Exclusive,
    /// Not at all.
    Denied,
};

/// One entry as it travels between nodes.
struct QuarantineRecord
{
    RequestFingerprint fingerprint = 0;
    /// Crashes during which the request ran; one suspects, several quarantine.
    std::uint8_t crashes = 0;
    /// Crashes during which it ran alone.
    std::uint8_t exclusiveCrashes = 0;
};

/// Settings of a Quarantine.
struct QuarantineOptions
{
    Duration suspectLifetime = std::chrono::minutes(10);
    Duration quarantineLifetime = std::chrono::hours(1);
    std::size_t capacity = 1024;
};

/// Finds requests that crash backend servers. A crash makes every request then in flight on that
/// server a suspect. A suspect runs only alone; one that finishes is cleared, and one during whose
/// solo run the server crashes again is quarantined. An innocent neighbour is cleared by its solo
/// run, so a poison request costs two servers at most.
class Quarantine
{
public:
    explicit Quarantine(QuarantineOptions options);

    /// How the request may run now.
    [[nodiscard]] RunPermission permission(RequestFingerprint fingerprint, Instant now) const;

    /// Notes a crash of the server that ran the request; `alone` when it ran alone there and
    /// nothing else explains the crash.
    void noteCrash(RequestFingerprint fingerprint, bool alone, Instant now);

    /// Notes that the request ran to its end. A suspect is cleared, also against peers' older
    /// news of it.
    void noteFinished(RequestFingerprint fingerprint, Instant now);

    /// Takes a peer's entry; the worse of both stands.
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
