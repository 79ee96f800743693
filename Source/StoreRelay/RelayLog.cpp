#include "StoreRelay/RelayLog.h"

#include <algorithm>
#include <vector>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

std::uint64_t objectDigest(const platform::StoredObject &object)
{
    return mix64(hash64(object.name), object.revision);
}

} // namespace

std::uint64_t objectsDigest(const ObjectTable &table, std::optional<std::uint64_t> era)
{
    std::uint64_t sum = 0;
    for (const auto &[name, object] : table) {
        sum += objectDigest(object);
    }
    return mix64(sum, era.value_or(0));
}

bool RelayLog::applyTable(const ObjectTable &table, std::uint64_t revision,
                          std::optional<std::uint64_t> era)
{
    const std::uint64_t before = sequence_;
    if (era != era_) {
        // Revisions of different eras can't be compared, so everybody gets all objects.
        era_ = era;
        objects_.clear();
        removedAt_.clear();
        changes_.clear();
        objectsDigest_ = 0;
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
    if (!added && entry.revision == object.revision) {
        return;
    }
    entry.revision = object.revision;
    if (!added && platform::meansTheSame(options_.kind, entry.object, object)) {
        return;
    }
    if (!added) {
        objectsDigest_ -= objectDigest(entry.object);
    }
    objectsDigest_ += objectDigest(object);
    entry.object = object;
    changes_.erase(entry.changedAt);
    entry.changedAt = ++sequence_;
    changes_.emplace(sequence_, Change { .name = object.name });
    const auto removal = removedAt_.find(object.name);
    if (removal != removedAt_.end()) {
        changes_.erase(removal->second);
        removedAt_.erase(removal);
    }
}

void RelayLog::remove(const std::string &name)
{
    const auto entry = objects_.find(name);
    objectsDigest_ -= objectDigest(entry->second.object);
    changes_.erase(entry->second.changedAt);
    objects_.erase(entry);
    if (removedAt_.size() >= options_.maxRemovals) {
        for (const auto &[forgotten, number] : removedAt_) {
            changes_.erase(number);
        }
        removedAt_.clear();
        forgottenUntil_ = sequence_;
    }
    removedAt_[name] = ++sequence_;
    changes_.emplace(sequence_, Change { .name = name, .removed = true });
}

void RelayLog::confirm(BootInstant moment, std::uint64_t revision)
{
    revision_ = revision;
    confirmedAt_ = std::max(confirmedAt_.value_or(moment), moment);
}

std::uint64_t RelayLog::digest() const
{
    return mix64(objectsDigest_, era_.value_or(0));
}

bool RelayLog::knows(const RelayPosition &position) const
{
    // Whoever began with all objects needs no removals from before.
    return position.source == options_.source
        && std::max(position.sequence, position.began) > forgottenUntil_
        && position.sequence <= sequence_ && position.began <= sequence_;
}

bool RelayLog::hasChanges(const RelayPosition &position) const
{
    return filled() && (!knows(position) || position.sequence < sequence_);
}

const std::string &RelayLog::encodedEvent(const Change &change) const
{
    if (change.encoded.empty()) {
        platform::ObjectEvent event { .object = {}, .removed = change.removed };
        event.object.name = change.name;
        change.encoded = encodeRelayedEvent(
            change.removed ? event.object : objects_.at(change.name).object, change.removed);
    }
    return change.encoded;
}

std::size_t RelayLog::bytesAfter(const RelayPosition &position) const
{
    std::size_t bytes = 0;
    const std::uint64_t after = knows(position) ? position.sequence : 0;
    for (auto change = changes_.upper_bound(after); change != changes_.end(); ++change) {
        bytes += encodedEvent(change->second).size();
    }
    return bytes;
}

RelayPage RelayLog::emptyPage(RelayContent content, BootInstant now) const
{
    return { .head = { .position
                       = { .source = options_.source, .sequence = sequence_, .began = sequence_ },
                       .content = content,
                       .revision = revision_,
                       .era = era_,
                       .age = age(now),
                       .digest = digest(),
                       .events = {} },
             .events = {} };
}

RelayPage RelayLog::pageAfter(const RelayPosition &position, BootInstant now) const
{
    const bool known = knows(position);
    RelayPage page = emptyPage(known ? RelayContent::Changes : RelayContent::All, now);
    if (known) {
        page.head.position.began = position.began;
    }
    auto change = changes_.upper_bound(known ? position.sequence : 0);
    std::size_t bytes = 0;
    for (; change != changes_.end(); ++change) {
        const std::string &event = encodedEvent(change->second);
        if (bytes > 0 && bytes + event.size() > options_.pageBytes) {
            break;
        }
        if (known || !change->second.removed) {
            page.events.push_back(event);
            bytes += event.size();
        }
        page.head.position.sequence = change->first;
    }
    if (change == changes_.end()) {
        page.head.position.sequence = sequence_;
    }
    for (; change != changes_.end(); ++change) {
        page.head.bytesLeft += encodedEvent(change->second).size();
    }
    return page;
}

} // namespace jacinthroad
