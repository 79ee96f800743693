#include "Fleet/RestoredServerList.h"

#include <algorithm>
#include <utility>

namespace jacinthroad {

RestoredServerList::RestoredServerList(const Options &options)
    : options_(options)
{ }

std::vector<ListedServer> RestoredServerList::apply(std::span<const ServerEntry> entries,
                                                    std::uint64_t era, Instant now)
{
    std::map<ServerId, ListedServer> listed;
    for (const ServerEntry &entry : entries) {
        listed[entry.server.id] = entry.server;
    }
    if (era_ != 0 && era > era_) {
        restoredAt_ = now;
        missing_.insert(listed_.begin(), listed_.end());
        restoredRevisions_.clear();
        for (const ServerEntry &entry : entries) {
            restoredRevisions_[entry.server.id] = entry.revision;
        }
    } else {
        noteDepartures(listed, now);
    }
    era_ = std::max(era_, era);
    listed_ = std::move(listed);
    if (now - restoredAt_ >= options_.missingGrace) {
        missing_.clear();
    }
    std::erase_if(missing_, [this](const auto &one) { return listed_.contains(one.first); });

    std::vector<ListedServer> servers;
    for (const ServerEntry &entry : entries) {
        servers.push_back(entry.server);
        servers.back().leaving = entry.server.leaving || hadLeft(entry);
    }
    for (const auto &[id, server] : missing_) {
        servers.push_back(server);
    }
    return servers;
}

std::optional<Instant> RestoredServerList::applyAgainAt() const
{
    return missing_.empty() ? std::nullopt : std::optional(restoredAt_ + options_.missingGrace);
}

void RestoredServerList::noteDepartures(const std::map<ServerId, ListedServer> &listed, Instant now)
{
    for (const auto &[id, server] : listed_) {
        const auto departure = departures_.find(id);
        const bool known
            = departure != departures_.end() && departure->second.bootedAt == server.bootedAt;
        if (!listed.contains(id) && !known) {
            departures_[id] = { .bootedAt = server.bootedAt, .reported = false, .seenAt = now };
        }
    }
    for (const auto &[id, server] : listed) {
        if (server.leaving) {
            departures_[id] = { .bootedAt = server.bootedAt, .reported = true, .seenAt = now };
        }
    }
    std::erase_if(departures_, [&](const auto &one) {
        return now - one.second.seenAt >= options_.leftMemory && !listed.contains(one.first);
    });
}

bool RestoredServerList::hadLeft(const ServerEntry &entry) const
{
    const auto departure = departures_.find(entry.server.id);
    const auto restored = restoredRevisions_.find(entry.server.id);
    if (departure == departures_.end() || restored == restoredRevisions_.end()
        || departure->second.bootedAt != entry.server.bootedAt) {
        return false;
    }
    return departure->second.reported || restored->second == entry.revision;
}

} // namespace jacinthroad
