#include "Rollout/LeaseKeeper.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace jacinthroad {

namespace {

/// Tokens of an era begin at this multiple of it; an era has fewer revisions than that.
constexpr std::uint64_t TokensPerEra = std::uint64_t { 1 } << 32;

/// The name of the node in a holder's name.
std::string_view nodeOf(std::string_view holder)
{
    return holder.substr(0, holder.rfind('/'));
}

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

bool LeaseKeeper::followsHolder() const
{
    // Builds that don't know the address keep that of an earlier holder.
    return onlyProcess_ && record_.has_value() && !options_.address.empty()
        && record_->address == options_.address
        && nodeOf(record_->holder) == nodeOf(options_.holderId)
        && record_->holder != options_.holderId && isOfThisEra(*record_);
}

bool LeaseKeeper::holds(BootInstant now) const
{
    return wasLastHolder() && !record_->released && renewedAt_.has_value()
        && now - *renewedAt_ < options_.validity;
}

LeaseWait LeaseKeeper::acquirable() const
{
    const Duration silence = options_.handover + options_.validity;
    if (!record_.has_value()) {
        // The holder that wrote an unreadable record may still act.
        if (revision_ != 0) {
            return { .cause = LeaseWait::Cause::UnreadableRecord, .until = seenAt_ + silence };
        }
        return { .cause = LeaseWait::Cause::LostRecord,
                 .until = era_ == 0 ? BootInstant() : eraSeenAt_ + silence };
    }
    if (wasLastHolder() || followsHolder()) {
        return { .until = BootInstant() };
    }
    const bool released = record_->released && isOfThisEra(*record_);
    return { .until = seenAt_ + (released ? options_.handover : silence) };
}

std::optional<LeaseWait> LeaseKeeper::waitAt(BootInstant now) const
{
    if (!known_) {
        return std::nullopt;
    }
    const LeaseWait wait = acquirable();
    return now < wait.until ? std::optional(wait) : std::nullopt;
}

std::string LeaseKeeper::recordedHolder() const
{
    return record_.has_value() ? record_->holder : std::string();
}

std::optional<std::variant<CreateLease, ReplaceLease>> LeaseKeeper::nextWrite(bool wanted,
                                                                              BootInstant now) const
{
    if (!known_) {
        return std::nullopt;
    }
    LeaseRecord next {
        .holder = options_.holderId, .address = options_.address, .token = nextToken(), .era = era_
    };
    if (wasLastHolder()) {
        next.token = record_->token;
        next.renewals = record_->renewals + 1;
        next.released = !wanted;
        const bool due = record_->released || !renewedAt_.has_value()
            || now - *renewedAt_ >= options_.renewAfter;
        if (wanted ? !due : record_->released) {
            return std::nullopt;
        }
        return ReplaceLease { .revision = revision_, .record = next };
    }
    if (!wanted || waitAt(now).has_value()) {
        return std::nullopt;
    }
    if (!record_.has_value() && revision_ == 0) {
        return CreateLease { .record = next };
    }
    next.renewals = record_.has_value() ? record_->renewals + 1 : 0;
    if (followsHolder()) {
        next.token = record_->token;
    }
    return ReplaceLease { .revision = revision_, .record = next };
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
