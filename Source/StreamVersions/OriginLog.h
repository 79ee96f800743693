#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "Core/Time.h"
#include "StreamVersions/StreamOrigin.h"

namespace jacinthroad {

/// Streams that were sent to one version of a service within about a second.
struct OriginBatch
{
    /// Wall-clock time of the first of them in Unix milliseconds.
    std::int64_t atMs = 0;
    ServiceId service;
    SoftwareVersion version;
    std::vector<StreamId> streams;
};

/// The streams that this node has sent lately, and when to write them to the platform's store. What
/// an earlier process of the node left there is kept until it is too old. Does no I/O; the caller
/// passes the times and makes one write at a time.
class OriginLog
{
public:
    struct Options
    {
        /// Longer than any caller resumes a stream: twice the longest time limit of callers, 15 s.
        Duration retention = std::chrono::seconds(30);
        /// Minimum time between the beginnings of two writes, in which streams are batched.
        Duration minimumPause = milliseconds(30);
        /// The same for each node: all nodes together write at most 200 times a second, half the
        /// rate that the platforms' stores accept.
        Duration pausePerNode = milliseconds(5);
        /// Pause after a write that the store rejected; doubles with each further one up to
        /// longestPause.
        Duration firstPause = milliseconds(100);
        Duration longestPause = std::chrono::seconds(2);
        /// Maximum number of streams, 16 bytes each in the store. The oldest are left out.
        std::size_t maxStreams = 8192;
    };

    OriginLog();
    explicit OriginLog(const Options &options);

    /// Sets the number of nodes, among which the writes are divided.
    void setNodeCount(std::size_t count);
    /// Adds streams that are being sent. Those already recorded with the same version are skipped.
    void record(std::span<const StreamOrigin> origins, Instant now);
    /// Adds what the store holds of an earlier process of this node, or of this one.
    void merge(std::span<const OriginBatch> batches, Instant now, std::int64_t wallMs);

    /// Notes that the store may have lost what was written.
    void noteLost();
    /// Returns when the next write is due; nothing if there is nothing to write.
    [[nodiscard]] std::optional<Instant> writeDueAt() const;
    /// Begins a write: returns all that the store should hold.
    [[nodiscard]] std::vector<OriginBatch> beginWrite(Instant now, std::int64_t wallMs);
    /// Records that the write was applied.
    void noteWritten();
    /// Records that the write got no usable response, or found an object that has changed; it is
    /// due again.
    void noteWriteUnanswered();
    /// Records that the store rejected the write.
    void noteWriteRejected(Instant now);

    /// Returns the version that a stream was sent to; nothing if it isn't recorded, or with
    /// several versions.
    [[nodiscard]] std::optional<SoftwareVersion> find(StreamId stream,
                                                      const ServiceId &service) const;
    /// Number of streams that were left out because there were too many.
    [[nodiscard]] std::uint64_t omitted() const { return omitted_; }
    /// Number of streams recorded now.
    [[nodiscard]] std::size_t size() const { return size_; }

private:
    struct Batch
    {
        Instant at;
        ServiceId service;
        SoftwareVersion version;
        std::vector<StreamId> streams;
    };
    /// The version of a recorded stream, and in how many batches it is.
    struct Entry
    {
        ServiceId service;
        SoftwareVersion version;
        unsigned batches = 0;
        bool ambiguous = false;
    };

    [[nodiscard]] Duration pause() const;
    /// Adds a stream to a batch; returns false if it is already recorded so.
    [[nodiscard]] bool add(Batch &batch, StreamId stream);
    void prune(Instant now);
    void removeOldest();

    Options options_;
    std::size_t nodes_ = 1;
    /// Oldest first.
    std::deque<Batch> batches_;
    std::unordered_map<StreamId, Entry> entries_;
    std::size_t size_ = 0;
    std::uint64_t omitted_ = 0;
    /// Number of changes, and of those that the store holds or a write under way contains.
    std::uint64_t changes_ = 0;
    std::uint64_t written_ = 0;
    std::uint64_t writing_ = 0;
    std::optional<Instant> writeBeganAt_;
    std::optional<Instant> pausedUntil_;
    unsigned rejections_ = 0;
};

} // namespace jacinthroad
