#include "Rollout/LeaseKeeper.h"

#include <utility>

namespace jacinthroad {

LeaseKeeper::LeaseKeeper(Options options)
    : options_(std::move(options))
{ }

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
    if (!record.has_value() || record->holder != options_.holderId || record->released) {
        renewedAt_.reset();
    }
}

bool LeaseKeeper::wasLastHolder() const
{
    return record_.has_value() && record_->holder == options_.holderId;
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
    if (!record_.has_value()) {
        if (!wanted) {
            return std::nullopt;
        }
        return CreateLease { .record = { .holder = options_.holderId, .token = 1 } };
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
                                              .renewals = record_->renewals + 1 } };
        }
        const bool due = record_->released || !renewedAt_.has_value()
            || now - *renewedAt_ >= options_.renewAfter;
        if (!due) {
            return std::nullopt;
        }
        return ReplaceLease { .revision = revision_,
                              .record = { .holder = options_.holderId,
                                          .token = record_->token,
                                          .renewals = record_->renewals + 1 } };
    }
    const Duration wait
        = record_->released ? options_.handover : options_.handover + options_.validity;
    if (!wanted || now - seenAt_ < wait) {
        return std::nullopt;
    }
    return ReplaceLease { .revision = revision_,
                          .record = { .holder = options_.holderId,
                                      .token = record_->token + 1,
                                      .renewals = record_->renewals + 1 } };
}

void LeaseKeeper::noteWritten(const LeaseRecord &record, std::uint64_t revision, BootInstant sentAt)
{
    known_ = true;
    record_ = record;
    revision_ = revision;
    seenAt_ = sentAt;
    heldToken_ = record.token;
    if (record.released) {
        renewedAt_.reset();
    } else {
        renewedAt_ = sentAt;
    }
}

} // namespace jacinthroad
