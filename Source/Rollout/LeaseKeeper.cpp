#include "Rollout/LeaseKeeper.h"

#include <algorithm>
#include <utility>

namespace jacinthroad {

namespace {

/// Tokens of an era begin at this multiple of it; an era has fewer revisions than that.
constexpr std::uint64_t TokensPerEra = std::uint64_t { 1 } << 32;

} // namespace

LeaseKeeper::LeaseKeeper(Options options)
    : options_(std::move(options))
{ }

void LeaseKeeper::enterEra(std::uint64_t era, BootInstant now)
{
    if (era <= era_) {
        return;
    }
    era_ = era;
    eraSeenAt_ = now;
    known_ = false;
    record_.reset();
    revision_ = 0;
    renewedAt_.reset();
}

std::uint64_t LeaseKeeper::nextToken() const
{
    // Revisions only rise within an era. A late write of an earlier era may hide the record of the
    // last holder, so that its token is not enough.
    return std::max(highestToken_, era_ == 0 ? 0 : era_ * TokensPerEra + revision_) + 1;
}

void LeaseKeeper::observe(const std::optional<LeaseRecord> &record, std::uint64_t revision,
                          BootInstant now)
{
    if (known_ && (revision < revision_ || (revision == revision_ && record == record_))) {
        return;
    }
    known_ = true;
    record_ = record;
    revision_ = revision;
    seenAt_ = now;
    if (record.has_value()) {
        highestToken_ = std::max(highestToken_, record->token);
    }
    if (!wasLastHolder() || record->released) {
        renewedAt_.reset();
    }
}

bool LeaseKeeper::wasLastHolder() const
{
    return record_.has_value() && record_->holder == options_.holderId && isOfThisEra(*record_);
}

bool LeaseKeeper::holds(BootInstant now) const
{
    return wasLastHolder() && !record_->released && renewedAt_.has_value()
        && now - *renewedAt_ < options_.validity;
}

std::optional<std::variant<CreateLease, ReplaceLease>> LeaseKeeper::nextWrite(bool wanted,
                                                                              BootInstant now) const
{
    if (!known_) {
        return std::nullopt;
    }
    if (!record_.has_value() && revision_ != 0) {
        // The object is unreadable; the holder that wrote it before may still act.
        if (!wanted || now - seenAt_ < options_.handover + options_.validity) {
            return std::nullopt;
        }
        return ReplaceLease {
            .revision = revision_,
            .record = { .holder = options_.holderId, .token = nextToken(), .era = era_ }
        };
    }
    if (!record_.has_value()) {
        const bool lostHolderMayAct
            = era_ != 0 && now - eraSeenAt_ < options_.handover + options_.validity;
        if (!wanted || lostHolderMayAct) {
            return std::nullopt;
        }
        return CreateLease { .record
                             = { .holder = options_.holderId, .token = nextToken(), .era = era_ } };
    }
    if (wasLastHolder()) {
        if (!wanted) {
            if (record_->released) {
                return std::nullopt;
            }
            return ReplaceLease { .revision = revision_,
                                  .record = { .holder = options_.holderId,
                                              .token = record_->token,
                                              .released = true,
                                              .renewals = record_->renewals + 1,
                                              .era = era_ } };
        }
        const bool due = record_->released || !renewedAt_.has_value()
            || now - *renewedAt_ >= options_.renewAfter;
        if (!due) {
            return std::nullopt;
        }
        return ReplaceLease { .revision = revision_,
                              .record = { .holder = options_.holderId,
                                          .token = record_->token,
                                          .renewals = record_->renewals + 1,
                                          .era = era_ } };
    }
    const Duration wait = record_->released && isOfThisEra(*record_)
        ? options_.handover
        : options_.handover + options_.validity;
    if (!wanted || now - seenAt_ < wait) {
        return std::nullopt;
    }
    return ReplaceLease { .revision = revision_,
                          .record = { .holder = options_.holderId,
                                      .token = nextToken(),
                                      .renewals = record_->renewals + 1,
                                      .era = era_ } };
}

void LeaseKeeper::noteWritten(const LeaseRecord &record, std::uint64_t revision, BootInstant sentAt)
{
    if (!isOfThisEra(record)) {
        // The revision it was conditional on may belong to another record by now.
        return;
    }
    known_ = true;
    record_ = record;
    revision_ = revision;
    seenAt_ = sentAt;
    highestToken_ = std::max(highestToken_, record.token);
    heldToken_ = record.token;
    if (record.released) {
        renewedAt_.reset();
    } else {
        renewedAt_ = sentAt;
    }
}

} // namespace jacinthroad
