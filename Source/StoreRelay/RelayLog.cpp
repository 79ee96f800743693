#include "StoreRelay/RelayLog.h"

#include <algorithm>
#include <vector>

namespace jacinthroad {

bool RelayLog::applyTable(const ObjectTable &table, std::uint64_t revision,
                          std::optional<std::uint64_t> era)
{
    const std::uint64_t before = sequence_;
    if (era != era_) {
        // Revisions of different eras can't be compared, so everybody gets all objects.
        era_ = era;
        objects_.clear();
        removedAt_.clear();
        forgottenUntil_ = sequence_++;
        confirmedAt_.reset();
    }
    for (const auto &[name, object] : table) {
        note(object);
    }
    std::vector<std::string> gone;
    for (const auto &[name, entry] : objects_) {
        if (!table.contains(name)) {
            gone.push_back(name);
        }
    }
    for (const std::string &name : gone) {
        remove(name);
    }
    revision_ = revision;
    return sequence_ != before;
}

void RelayLog::note(const platform::StoredObject &object)
{
    const auto [found, added] = objects_.try_emplace(object.name);
    Entry &entry = found->second;
    if (!added && entry.object.revision == object.revision) {
        return;
    }
    const bool changed = added || !platform::meansTheSame(options_.kind, entry.object, object);
    entry.object = object;
    if (changed) {
        entry.changedAt = ++sequence_;
        removedAt_.erase(object.name);
    }
}

void RelayLog::remove(const std::string &name)
{
    objects_.erase(name);
    if (removedAt_.size() >= options_.maxRemovals) {
        removedAt_.clear();
        forgottenUntil_ = sequence_;
    }
    removedAt_[name] = ++sequence_;
}

void RelayLog::confirm(BootInstant moment, std::uint64_t revision)
{
    revision_ = revision;
    confirmedAt_ = std::max(confirmedAt_.value_or(moment), moment);
}

bool RelayLog::knows(const RelayPosition &position) const
{
    return position.source == options_.source && position.sequence > forgottenUntil_
        && position.sequence <= sequence_;
}

bool RelayLog::hasChanges(const RelayPosition &position) const
{
    return filled() && (!knows(position) || position.sequence < sequence_);
}

RelayedChanges RelayLog::changesAfter(const RelayPosition &position, BootInstant now) const
{
    RelayedChanges changes { .position = { .source = options_.source, .sequence = sequence_ },
                             .complete = !knows(position),
                             .revision = revision_,
                             .era = era_,
                             .age = now - *confirmedAt_,
                             .events = {} };
    for (const auto &[name, entry] : objects_) {
        if (changes.complete || entry.changedAt > position.sequence) {
            changes.events.push_back({ .object = entry.object, .removed = false });
        }
    }
    if (!changes.complete) {
        for (const auto &[name, removedAt] : removedAt_) {
            if (removedAt > position.sequence) {
                platform::StoredObject object;
                object.name = name;
                changes.events.push_back({ .object = std::move(object), .removed = true });
            }
        }
    }
    return changes;
}

} // namespace jacinthroad
