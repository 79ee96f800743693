#include "StreamVersions/ServedVersions.h"

#include <algorithm>
#include <utility>

namespace jacinthroad {

namespace {

bool contains(const VersionTable &table, const ServiceId &service, const SoftwareVersion &version)
{
    const auto row = table.find(service);
    return row != table.end() && row->second.contains(version);
}

void erase(VersionTable &table, const ServiceId &service, const SoftwareVersion &version)
{
    const auto row = table.find(service);
    if (row != table.end()) {
        row->second.erase(version);
        if (row->second.empty()) {
            table.erase(row);
        }
    }
}

const VersionSet &rowOf(const VersionTable &table, const ServiceId &service)
{
    static const VersionSet Empty;
    const auto row = table.find(service);
    return row == table.end() ? Empty : row->second;
}

} // namespace

ServedVersions::ServedVersions()
    : ServedVersions(Options {})
{ }

ServedVersions::ServedVersions(const Options &options)
    : options_(options)
{ }

void ServedVersions::setListed(VersionTable listed, Instant now)
{
    const VersionTable before = std::exchange(listed_, std::move(listed));
    for (const auto &[service, versions] : before) {
        for (const SoftwareVersion &version : versions) {
            if (!isListed(service, version)) {
                sightings_[service][version].missingSince = now;
            }
        }
    }
    for (const auto &[service, versions] : listed_) {
        for (const SoftwareVersion &version : versions) {
            Sighting &seen = sightings_[service][version];
            if (!seen.listedAt.has_value() || now - *seen.listedAt >= options_.listValidity) {
                seen.unprovenSince = now;
            }
            seen.listedAt = now;
            seen.missingSince.reset();
        }
    }
}

void ServedVersions::confirmList(Instant at)
{
    const bool gap = !confirmedAt_.has_value() || at - *confirmedAt_ >= options_.listValidity;
    confirmedAt_ = std::max(confirmedAt_.value_or(at), at);
    for (const auto &[service, versions] : table_.versions) {
        for (const SoftwareVersion &version : versions) {
            Sighting &seen = sightings_[service][version];
            const bool listed = isListed(service, version);
            if (gap && listed) {
                seen.unprovenSince = std::max(seen.unprovenSince.value_or(at), at);
            }
            if (!listed && (gap || !seen.missingSince.has_value())) {
                seen.missingSince = at;
            }
        }
    }
    for (const auto &[service, versions] : listed_) {
        for (const SoftwareVersion &version : versions) {
            sightings_[service][version].listedAt = at;
        }
    }
    for (auto &row : sightings_) {
        std::erase_if(row.second, [&](const auto &item) {
            return !isListed(row.first, item.first)
                && !contains(table_.versions, row.first, item.first)
                && (!item.second.listedAt.has_value()
                    || at - *item.second.listedAt >= options_.retention);
        });
    }
    std::erase_if(sightings_, [](const auto &item) { return item.second.empty(); });
}

void ServedVersions::rememberTable()
{
    for (const auto &[service, versions] : table_.versions) {
        lost_[service].insert(versions.begin(), versions.end());
    }
}

void ServedVersions::noteRestored()
{
    rememberTable();
    table_ = {};
    revision_.reset();
    revisionSince_.reset();
    readAt_.reset();
    current_ = false;
    pausedUntil_.reset();
}

bool ServedVersions::isListed(const ServiceId &service, const SoftwareVersion &version) const
{
    return contains(listed_, service, version);
}

const ServedVersions::Sighting *ServedVersions::sighting(const ServiceId &service,
                                                         const SoftwareVersion &version) const
{
    const auto row = sightings_.find(service);
    if (row == sightings_.end()) {
        return nullptr;
    }
    const auto found = row->second.find(version);
    return found == row->second.end() ? nullptr : &found->second;
}

bool ServedVersions::listValid(Instant now) const
{
    return confirmedAt_.has_value() && now - *confirmedAt_ < options_.listValidity;
}

bool ServedVersions::needsRead() const
{
    return std::any_of(services_.begin(), services_.end(), [&](const ServiceId &service) {
        const VersionSet &listed = rowOf(listed_, service);
        return std::any_of(listed.begin(), listed.end(), [&](const SoftwareVersion &version) {
            const Sighting *seen = sighting(service, version);
            return seen != nullptr && seen->unprovenSince.has_value()
                && (!readAt_.has_value() || *readAt_ < *seen->unprovenSince);
        });
    });
}

void ServedVersions::addMissing(const ServiceId &service, KeptVersions &content, Instant now) const
{
    const VersionSet &listed = rowOf(listed_, service);
    const VersionSet &lost = rowOf(lost_, service);
    VersionSet versions = listed;
    versions.insert(lost.begin(), lost.end());
    const auto row = sightings_.find(service);
    if (row != sightings_.end()) {
        for (const auto &[version, seen] : row->second) {
            if (seen.listedAt.has_value() && now - *seen.listedAt < options_.listValidity) {
                versions.insert(version);
            }
        }
    }
    if (!versions.empty()) {
        content.versions[service].insert(versions.begin(), versions.end());
    }
    for (const SoftwareVersion &version : listed) {
        erase(content.leaving, service, version);
    }
}

bool ServedVersions::isOld(const ServiceId &service, const SoftwareVersion &version) const
{
    const Sighting *seen = sighting(service, version);
    return !isListed(service, version) && seen != nullptr && seen->missingSince.has_value()
        && confirmedAt_.has_value() && *confirmedAt_ - *seen->missingSince >= options_.retention;
}

void ServedVersions::removeOld(const ServiceId &service, KeptVersions &content) const
{
    // The last version stays, for it is the proof of the streams that it began.
    if (rowOf(listed_, service).empty()) {
        return;
    }
    for (const SoftwareVersion &version : rowOf(table_.versions, service)) {
        if (!isOld(service, version)) {
            continue;
        }
        if (!contains(table_.leaving, service, version)) {
            content.leaving[service].insert(version);
        } else if (revisionSince_.has_value() && *confirmedAt_ > *revisionSince_) {
            // The list, confirmed after the announcement, still lacks the version. A node that has
            // used it meanwhile has changed the revision.
            erase(content.versions, service, version);
            erase(content.leaving, service, version);
        }
    }
}

KeptVersions ServedVersions::target(Instant now) const
{
    KeptVersions content = table_;
    for (const ServiceId &service : services_) {
        addMissing(service, content, now);
        removeOld(service, content);
    }
    return content;
}

std::optional<VersionTableCall> ServedVersions::nextCall(Instant now) const
{
    if (services_.empty() || (pausedUntil_.has_value() && now < *pausedUntil_)) {
        return std::nullopt;
    }
    if (!current_ || needsRead()) {
        return ReadVersionTable {};
    }
    KeptVersions content = target(now);
    if (content == table_) {
        return std::nullopt;
    }
    if (!readAt_.has_value() || now - *readAt_ >= options_.readValidity) {
        return ReadVersionTable {};
    }
    return WriteVersionTable { .revision = revision_, .content = std::move(content) };
}

std::optional<Instant> ServedVersions::nextChange(Instant now) const
{
    std::optional<Instant> next;
    const auto consider = [&](Instant time) {
        if (time > now && (!next.has_value() || time < *next)) {
            next = time;
        }
    };
    if (pausedUntil_.has_value()) {
        consider(*pausedUntil_);
    }
    if (confirmedAt_.has_value()) {
        consider(*confirmedAt_ + options_.listValidity);
    }
    return next;
}

void ServedVersions::applyContent(KeptVersions content, std::optional<std::uint64_t> revision,
                                  Instant startedAt, Instant now)
{
    if (revision != revision_ || !revisionSince_.has_value()) {
        revisionSince_ = now;
    }
    table_ = std::move(content);
    revision_ = revision;
    readAt_ = std::max(readAt_.value_or(startedAt), startedAt);
    current_ = true;
    failures_ = 0;
    pausedUntil_.reset();
    for (const auto &[service, versions] : table_.versions) {
        for (const SoftwareVersion &version : versions) {
            erase(lost_, service, version);
            const auto row = sightings_.find(service);
            if (row == sightings_.end() || contains(table_.leaving, service, version)) {
                continue;
            }
            const auto seen = row->second.find(version);
            if (seen != row->second.end() && seen->second.unprovenSince.has_value()
                && startedAt >= *seen->second.unprovenSince) {
                seen->second.unprovenSince.reset();
            }
        }
    }
}

void ServedVersions::noteRead(const std::optional<KeptVersions> &content, std::uint64_t revision,
                              Instant startedAt, Instant now)
{
    if (revision_.has_value() && revision < *revision_ && startedAt <= *revisionSince_) {
        return;
    }
    if (!content.has_value()) {
        rememberTable();
    }
    applyContent(content.value_or(KeptVersions {}), revision, startedAt, now);
}

void ServedVersions::noteMissing(Instant startedAt, Instant now)
{
    if (revision_.has_value() && startedAt <= *revisionSince_) {
        return;
    }
    rememberTable();
    applyContent({}, std::nullopt, startedAt, now);
}

void ServedVersions::noteFailed(Instant now)
{
    constexpr unsigned MaxDoublings = 10;
    current_ = false;
    const Duration pause = options_.firstPause * (1U << std::min(failures_, MaxDoublings));
    pausedUntil_ = now + std::min(pause, options_.longestPause);
    ++failures_;
}

VersionTable ServedVersions::admitted(Instant now) const
{
    VersionTable result;
    if (!listValid(now)) {
        return result;
    }
    for (const ServiceId &service : services_) {
        for (const SoftwareVersion &version : rowOf(table_.versions, service)) {
            const Sighting *seen = sighting(service, version);
            if (seen == nullptr || !seen->unprovenSince.has_value()) {
                result[service].insert(version);
            }
        }
    }
    return result;
}

VersionSet ServedVersions::known(const ServiceId &service, Instant now) const
{
    KeptVersions content = table_;
    addMissing(service, content, now);
    return rowOf(content.versions, service);
}

} // namespace jacinthroad
