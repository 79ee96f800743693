#include "StreamVersions/OriginLog.h"

#include <algorithm>
#include <utility>

namespace jacinthroad {

namespace {

/// Streams that were sent within this time share a batch.
constexpr Duration BatchSpan = std::chrono::seconds(1);

} // namespace

OriginLog::OriginLog()
    : OriginLog(Options {})
{ }

OriginLog::OriginLog(const Options &options)
    : options_(options)
{ }

void OriginLog::setNodeCount(std::size_t count)
{
    nodes_ = std::max<std::size_t>(count, 1);
}

void OriginLog::record(std::span<const StreamOrigin> origins, Instant now)
{
    prune(now);
    for (const StreamOrigin &origin : origins) {
        auto found = std::find_if(batches_.rbegin(), batches_.rend(), [&](const Batch &batch) {
            return now - batch.at < BatchSpan && batch.service == origin.service
                && batch.version == origin.version;
        });
        if (found == batches_.rend()) {
            batches_.push_back(
                { .at = now, .service = origin.service, .version = origin.version, .streams = {} });
            found = batches_.rbegin();
        }
        if (add(*found, origin.stream)) {
            ++changes_;
        }
    }
    std::erase_if(batches_, [](const Batch &batch) { return batch.streams.empty(); });
    while (size_ > options_.maxStreams) {
        removeOldest();
    }
}

void OriginLog::merge(std::span<const OriginBatch> batches, Instant now, std::int64_t wallMs)
{
    for (const OriginBatch &stored : batches) {
        // The time may lie in the future if a wall clock was set back.
        const std::int64_t retentionMs
            = std::chrono::duration_cast<milliseconds>(options_.retention).count();
        const std::int64_t ageMs = stored.atMs >= wallMs ? 0
            : stored.atMs <= wallMs - retentionMs        ? retentionMs
                                                         : wallMs - stored.atMs;
        if (ageMs >= retentionMs) {
            continue;
        }
        Batch batch { .at = now - milliseconds(ageMs),
                      .service = stored.service,
                      .version = stored.version,
                      .streams = {} };
        for (const StreamId stream : stored.streams) {
            static_cast<void>(add(batch, stream));
        }
        if (!batch.streams.empty()) {
            batches_.push_back(std::move(batch));
        }
    }
    std::stable_sort(batches_.begin(), batches_.end(),
                     [](const Batch &left, const Batch &right) { return left.at < right.at; });
    prune(now);
    while (size_ > options_.maxStreams) {
        removeOldest();
    }
}

bool OriginLog::add(Batch &batch, StreamId stream)
{
    Entry &entry = entries_[stream];
    const bool same = entry.service == batch.service && entry.version == batch.version;
    if (entry.batches > 0
        && ((same && !entry.ambiguous)
            || std::find(batch.streams.begin(), batch.streams.end(), stream)
                != batch.streams.end())) {
        return false;
    }
    if (entry.batches == 0) {
        entry.service = batch.service;
        entry.version = batch.version;
    } else if (!same) {
        entry.ambiguous = true;
    }
    ++entry.batches;
    batch.streams.push_back(stream);
    ++size_;
    return true;
}

void OriginLog::prune(Instant now)
{
    while (!batches_.empty() && now - batches_.front().at >= options_.retention) {
        for (const StreamId stream : batches_.front().streams) {
            const auto entry = entries_.find(stream);
            if (--entry->second.batches == 0) {
                entries_.erase(entry);
            }
        }
        size_ -= batches_.front().streams.size();
        batches_.pop_front();
    }
}

void OriginLog::removeOldest()
{
    Batch &oldest = batches_.front();
    const auto entry = entries_.find(oldest.streams.back());
    if (--entry->second.batches == 0) {
        entries_.erase(entry);
    }
    oldest.streams.pop_back();
    --size_;
    ++omitted_;
    if (oldest.streams.empty()) {
        batches_.pop_front();
    }
}

Duration OriginLog::pause() const
{
    return std::max<Duration>(options_.minimumPause,
                              options_.pausePerNode * static_cast<std::int64_t>(nodes_));
}

void OriginLog::noteLost()
{
    if (!batches_.empty()) {
        ++changes_;
    }
}

std::optional<Instant> OriginLog::writeDueAt() const
{
    if (written_ == changes_) {
        return std::nullopt;
    }
    const Instant paced = writeBeganAt_.has_value() ? *writeBeganAt_ + pause() : Instant::min();
    return std::max(paced, pausedUntil_.value_or(Instant::min()));
}

std::vector<OriginBatch> OriginLog::beginWrite(Instant now, std::int64_t wallMs)
{
    prune(now);
    writeBeganAt_ = now;
    writing_ = changes_;
    std::vector<OriginBatch> content;
    content.reserve(batches_.size());
    for (const Batch &batch : batches_) {
        const std::int64_t ageMs = std::chrono::duration_cast<milliseconds>(now - batch.at).count();
        content.push_back({ .atMs = wallMs - ageMs,
                            .service = batch.service,
                            .version = batch.version,
                            .streams = batch.streams });
    }
    return content;
}

void OriginLog::noteWritten()
{
    written_ = writing_;
    rejections_ = 0;
    pausedUntil_.reset();
}

void OriginLog::noteWriteUnanswered()
{
    writing_ = written_;
}

void OriginLog::noteWriteRejected(Instant now)
{
    constexpr unsigned MaxDoublings = 10;
    writing_ = written_;
    const Duration pause = options_.firstPause * (1U << std::min(rejections_, MaxDoublings));
    pausedUntil_ = now + std::min(pause, options_.longestPause);
    ++rejections_;
}

std::optional<SoftwareVersion> OriginLog::find(StreamId stream, const ServiceId &service) const
{
    const auto found = entries_.find(stream);
    if (found == entries_.end() || found->second.ambiguous || found->second.service != service) {
        return std::nullopt;
    }
    return found->second.version;
}

} // namespace jacinthroad
