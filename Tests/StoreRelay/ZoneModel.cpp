#include "ZoneModel.h"

#include <algorithm>

#include "StoreRelay/ReadPacing.h"
#include "StoreRelay/TransferLimits.h"

namespace jacinthroad {

namespace {

constexpr milliseconds Step { 1 };
/// Time that a whole core takes to write a megabyte as JSON.
constexpr double EncodeMsPerMegabyte = 20;
constexpr Duration Wait = RelayedConfigurationWait;

double bytesPerStep(double mbps)
{
    return mbps * 125;
}

BootInstant bootTime(Instant now)
{
    return BootInstant(now.time_since_epoch());
}

double sizeOf(const ObjectTable &table)
{
    double size = 0;
    for (const auto &[name, object] : table) {
        size += static_cast<double>(object.spec.asString().size());
    }
    return size;
}

} // namespace

ZoneModel::ZoneModel(const Options &options, std::vector<Write> writes)
    : options_(options)
    , writes_(std::move(writes))
    , followers_(options.followers)
    , log_({ .kind = platform::ObjectKind::Configuration, .source = 1 })
{
    log_.applyTable({}, 1, {});
    log_.confirm(bootTime(now_), 1);
    const RelayPosition position = log_.changesAfter({}, bootTime(now_)).position;
    for (Follower &follower : followers_) {
        follower.position = position;
        follower.confirmedAt = bootTime(now_);
        ask(follower);
    }
}

void ZoneModel::run(milliseconds limit)
{
    const Instant end = now_ + limit;
    const std::uint64_t last = writes_.size() + 1;
    while (now_ < end && !allDone_.has_value()) {
        now_ += Step;
        readStore();
        encode();
        send();
        bool done = true;
        for (Follower &follower : followers_) {
            receive(follower);
            done = done && follower.revision == last;
            longestUnproven_ = std::max(
                longestUnproven_,
                std::chrono::duration_cast<milliseconds>(bootTime(now_) - follower.confirmedAt));
        }
        if (done) {
            allDone_ = now_;
        }
    }
}

std::optional<milliseconds> ZoneModel::inForceAfter() const
{
    if (!allDone_.has_value()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(allDone_->time_since_epoch()
                                                    - writes_.back().at);
}

void ZoneModel::readStore()
{
    // A watch begins right before the write, or after the pause of the reader.
    const ReadPacing pacing = configurationPacing({ .passesOn = true });
    if (now_ < readDone_ || writesRead_ == writes_.size()) {
        if (now_ >= readDone_) {
            log_.confirm(bootTime(now_), writesRead_ + 1);
        }
        return;
    }
    const Write &write = writes_[writesRead_];
    const Instant seen = Instant() + write.at + pacing.pause;
    const Instant read = seen
        + milliseconds(static_cast<int>(sizeOf(write.table) / bytesPerStep(options_.readerMbps)));
    if (now_ < seen) {
        log_.confirm(bootTime(now_), writesRead_ + 1);
    } else if (now_ >= read) {
        ++writesRead_;
        log_.applyTable(write.table, writesRead_ + 1, {});
        log_.confirm(bootTime(now_), writesRead_ + 1);
        for (Follower &follower : followers_) {
            if (follower.waiting) {
                answer(follower);
            }
        }
    }
}

void ZoneModel::encode()
{
    double left = options_.readerShare;
    while (left > 0 && !encoding_.empty()) {
        Follower &follower = followers_[encoding_.front()];
        const double taken = std::min(left, follower.encodeLeft);
        follower.encodeLeft -= taken;
        left -= taken;
        if (follower.encodeLeft <= 0) {
            encoding_.pop_front();
        }
    }
}

void ZoneModel::send()
{
    std::vector<Follower *> sending;
    for (Follower &follower : followers_) {
        if (!follower.response.empty() && follower.encodeLeft <= 0) {
            sending.push_back(&follower);
        }
    }
    for (Follower *follower : sending) {
        const double share
            = bytesPerStep(options_.readerMbps) / static_cast<double>(sending.size());
        const double bytes
            = std::min({ share, bytesPerStep(options_.followerMbps),
                         static_cast<double>(follower->response.size()) - follower->received });
        follower->received += bytes;
        follower->lastProgress = now_;
        sentBytes_ += bytes;
    }
}

void ZoneModel::receive(Follower &follower)
{
    if (!follower.response.empty()
        && follower.received >= static_cast<double>(follower.response.size())) {
        const auto changes = decodeRelayedChanges(follower.response);
        follower.position = changes->position;
        follower.revision = changes->revision;
        follower.confirmedAt
            = std::max(follower.confirmedAt, bootTime(follower.sentAt) - changes->age);
        follower.response.clear();
        ask(follower);
        return;
    }
    if (follower.waiting && now_ >= follower.sentAt + Wait) {
        answer(follower);
    }
    if (now_ >= transferDeadline(relayLimits(Wait), follower.sentAt, follower.lastProgress)) {
        ++cuts_;
        follower.response.clear();
        std::erase_if(encoding_,
                      [&](std::size_t index) { return &followers_[index] == &follower; });
        ask(follower);
    }
}

void ZoneModel::ask(Follower &follower)
{
    follower.sentAt = now_;
    follower.lastProgress = now_;
    follower.waiting = true;
    if (log_.hasChanges(follower.position)) {
        answer(follower);
    }
}

void ZoneModel::answer(Follower &follower)
{
    follower.waiting = false;
    follower.response = encodeRelayedChanges(log_.changesAfter(follower.position, bootTime(now_)));
    follower.received = 0;
    follower.encodeLeft = static_cast<double>(follower.response.size()) / 1e6 * EncodeMsPerMegabyte;
    encoding_.push_back(static_cast<std::size_t>(&follower - followers_.data()));
}

} // namespace jacinthroad
