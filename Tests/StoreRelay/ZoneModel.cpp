#include "ZoneModel.h"

#include <algorithm>
#include <stdexcept>

#include "StoreRelay/ReadPacing.h"
#include "StoreRelay/TransferChoice.h"
#include "StoreRelay/TransferLimits.h"

namespace jacinthroad {

namespace {

constexpr milliseconds Step { 1 };
constexpr double StoreMbps = 1000;
/// Time that a whole core takes to encode a megabyte, and to send one that is encoded.
constexpr double EncodeMsPerMegabyte = 20;
constexpr double SendMsPerMegabyte = 1;
constexpr Duration Wait = RelayedConfigurationWait;
/// Age from which a configuration rejects no key for good.
constexpr Duration StaleAge = milliseconds(2000);

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
    std::size_t size = 0;
    for (const auto &[name, object] : table) {
        size += object.text.size();
    }
    return static_cast<double>(size);
}

} // namespace

ZoneModel::ZoneModel(const Options &options, std::vector<Write> writes)
    : options_(options)
    , writes_(std::move(writes))
    , followers_(options.followers)
    , log_({ .kind = platform::ObjectKind::Configuration, .source = 1 })
    , responder_(log_,
                 { .linkMbps = options.readerMbps,
                   .passingOnLimit = passingOnLimit(options.configurationLimit) })
{
    writes_.insert(writes_.begin(), Write {});
    for (const Write &write : writes_) {
        RelayLog log({ .kind = platform::ObjectKind::Configuration, .source = 2 });
        log.applyTable(write.table, 1, {});
        digests_.push_back(log.digest());
    }
    inForceAt_.resize(writes_.size());
    log_.applyTable({}, 1, {});
    log_.confirm(bootTime(now_), 1);
    for (Follower &follower : followers_) {
        if (!follower.collector.take(log_.pageAfter({}, bootTime(now_)).head, now_).has_value()) {
            throw std::logic_error("an empty page was refused");
        }
        follower.collector.clear();
        follower.confirmedAt = bootTime(now_);
        ask(follower);
    }
}

void ZoneModel::run(milliseconds limit)
{
    const Instant end = now_ + limit;
    while (now_ < end && !inForceAt_.back().has_value()) {
        now_ += Step;
        stepReader();
        encode();
        move(State::Receiving, options_.readerMbps);
        move(State::ReadingStore, StoreMbps);
        std::size_t oldest = writes_.size();
        for (Follower &follower : followers_) {
            receive(follower);
            oldest = std::min(oldest, follower.version);
            const auto unproven = bootTime(now_) - follower.confirmedAt;
            longestUnproven_
                = std::max(longestUnproven_, std::chrono::duration_cast<milliseconds>(unproven));
        }
        for (std::size_t version = 0; version <= oldest && version < writes_.size(); ++version) {
            inForceAt_[version] = inForceAt_[version].value_or(now_);
        }
    }
}

std::optional<milliseconds> ZoneModel::inForceAfter() const
{
    milliseconds longest {};
    for (std::size_t version = 1; version < writes_.size(); ++version) {
        if (!inForceAt_[version].has_value()) {
            return std::nullopt;
        }
        longest = std::max(longest,
                           std::chrono::duration_cast<milliseconds>(
                               inForceAt_[version]->time_since_epoch() - writes_[version].at));
    }
    return longest;
}

std::size_t ZoneModel::versionInStore() const
{
    std::size_t version = 0;
    while (version + 1 < writes_.size() && Instant() + writes_[version + 1].at <= now_) {
        ++version;
    }
    return version;
}

void ZoneModel::stepReader()
{
    const ReadPacing pacing = configurationPacing({ .passesOn = true, .staleAfter = StaleAge });
    if (readLeft_.has_value()) {
        *readLeft_ -= bytesPerStep(options_.readerMbps);
        if (*readLeft_ > 0) {
            return;
        }
        readLeft_.reset();
        versionRead_ = versionBeingRead_;
        responder_.noteExpected(0);
        log_.applyTable(writes_[versionRead_].table, versionRead_ + 1, {});
    } else if (now_ < watchSentAt_) {
        return;
    } else if (versionInStore() > versionRead_) {
        // Each change is an event with the whole object.
        versionBeingRead_ = versionInStore();
        readLeft_ = 0;
        for (std::size_t version = versionRead_ + 1; version <= versionBeingRead_; ++version) {
            *readLeft_ += sizeOf(writes_[version].table);
        }
        if (responder_.noteExpected(static_cast<std::uint64_t>(*readLeft_))) {
            wakeFollowers();
        }
        return;
    } else if (now_ < watchSentAt_ + pacing.wait) {
        return;
    }
    log_.confirm(bootTime(watchSentAt_), versionRead_ + 1);
    watchSentAt_ = now_ + pacing.pause;
    wakeFollowers();
}

void ZoneModel::wakeFollowers()
{
    for (Follower &follower : followers_) {
        if (follower.state == State::Waiting) {
            answer(follower);
        }
    }
}

void ZoneModel::encode()
{
    double left = options_.readerShare;
    while (left > 0 && !encoding_.empty()) {
        Follower &follower = *encoding_.front();
        const double taken = std::min(left, follower.work);
        follower.work -= taken;
        left -= taken;
        if (follower.work <= 0) {
            follower.state = State::Receiving;
            follower.lastProgress = now_;
            encoding_.pop_front();
        }
    }
}

void ZoneModel::move(State state, double mbps)
{
    std::vector<Follower *> moving;
    for (Follower &follower : followers_) {
        if (follower.state == state) {
            moving.push_back(&follower);
        }
    }
    for (Follower *follower : moving) {
        const double share = bytesPerStep(mbps) / static_cast<double>(moving.size());
        const double bytes
            = std::min({ share, bytesPerStep(options_.followerMbps), follower->bytesLeft });
        follower->bytesLeft -= bytes;
        follower->lastProgress = now_;
        if (state == State::Receiving) {
            passedOnBytes_ += bytes;
        }
    }
}

void ZoneModel::receive(Follower &follower)
{
    if (follower.state == State::ReadingStore) {
        if (follower.bytesLeft <= 0) {
            follower.version = follower.versionRead;
            follower.confirmedAt = std::max(follower.confirmedAt, bootTime(follower.sentAt));
            ask(follower);
        }
        return;
    }
    if (follower.state == State::Receiving && follower.bytesLeft <= 0) {
        const auto page = decodeRelayedChanges(follower.response);
        if (page->content == RelayContent::InStore) {
            ++storeReads_;
            follower.state = State::ReadingStore;
            follower.sentAt = now_;
            follower.versionRead = versionInStore();
            follower.bytesLeft = sizeOf(writes_[follower.versionRead].table);
            return;
        }
        const std::size_t version = page->revision - 1;
        const BootInstant moment = bootTime(follower.sentAt) - page->age;
        const auto complete = follower.collector.take(*page, now_);
        if (!complete.has_value()) {
            throw std::logic_error(complete.error().message);
        }
        if (*complete && version >= follower.version) {
            follower.collector.clear();
            follower.version = version;
            follower.confirmedAt = std::max(follower.confirmedAt, moment);
        }
        ask(follower);
        return;
    }
    if (follower.state == State::Waiting && now_ >= follower.sentAt + Wait) {
        answer(follower);
    }
    if (now_ >= transferDeadline(relayLimits(Wait), follower.sentAt, follower.lastProgress)) {
        ++cuts_;
        std::erase(encoding_, &follower);
        ask(follower);
    }
}

RelayQuery ZoneModel::queryOf(const Follower &follower) const
{
    return { .position = follower.collector.position(), .digest = digests_[follower.version] };
}

void ZoneModel::ask(Follower &follower)
{
    follower.sentAt = now_;
    follower.lastProgress = now_;
    follower.state = State::Waiting;
    if (responder_.hasNews(queryOf(follower), followers_.size())) {
        answer(follower);
    }
}

void ZoneModel::answer(Follower &follower)
{
    follower.response
        = encodeRelayPage(responder_.answer(queryOf(follower), followers_.size(), bootTime(now_)));
    follower.bytesLeft = static_cast<double>(follower.response.size());
    follower.work = follower.bytesLeft / 1e6 * SendMsPerMegabyte;
    if (versionEncoded_ != versionRead_) {
        versionEncoded_ = versionRead_;
        follower.work += sizeOf(writes_[versionRead_].table) / 1e6 * EncodeMsPerMegabyte;
    }
    follower.state = State::Encoding;
    encoding_.push_back(&follower);
}

} // namespace jacinthroad
