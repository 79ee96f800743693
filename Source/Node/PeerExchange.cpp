#include "Node/PeerExchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

// Entries of block keys kept for the next rounds; the oldest are dropped first.
constexpr std::size_t MaximumStoredEntries = 64;
constexpr std::size_t StoredEntriesPerMessage = 8;
constexpr std::size_t MaximumKeysPerEntry = 16;

std::uint32_t roundToUnsigned(double number)
{
    return static_cast<std::uint32_t>(std::lround(std::max(0.0, number)));
}

std::uint32_t teamTag(const TeamId &team)
{
    return static_cast<std::uint32_t>(hash64(team.text()));
}

} // namespace

PeerExchange::PeerExchange(PeerExchangeOptions options)
    : options_(std::move(options))
    , table_(options_.self.node, PeerTableOptions {})
{ }

void PeerExchange::setConfigurationVersion(std::uint64_t version)
{
    options_.self.configurationVersion = version;
}

void PeerExchange::collectStoredKeys(Dispatcher &dispatcher)
{
    for (auto &[server, keys] : dispatcher.takeStoredBlocks()) {
        if (options_.sampleOneIn == 0) {
            continue;
        }
        // Sampled by the value of the key, so that all nodes report the same blocks.
        std::erase_if(keys, [&](BlockKey key) { return key % options_.sampleOneIn != 0; });
        if (keys.size() > MaximumKeysPerEntry) {
            keys.erase(keys.begin(), keys.end() - static_cast<std::ptrdiff_t>(MaximumKeysPerEntry));
        }
        if (!keys.empty()) {
            stored_.push_back({ .server = serverTag(server), .keys = std::move(keys) });
        }
    }
    if (stored_.size() > MaximumStoredEntries) {
        stored_.erase(stored_.begin(),
                      stored_.end() - static_cast<std::ptrdiff_t>(MaximumStoredEntries));
    }
}

PeerMessage PeerExchange::buildMessage(Dispatcher &dispatcher, Instant now)
{
    PeerMessage message { .identity = options_.self,
                          .sequence = ++sequence_,
                          .quarantine = dispatcher.quarantineRecords(now) };
    const ServerTable &servers = dispatcher.servers();
    for (ServerSlot slot = 0; slot < servers.size(); ++slot) {
        const ServerLoad own = servers.ownLoad(slot, now);
        message.loads.push_back({ .server = serverTag(servers.at(slot).info.id),
                                  .inFlight = roundToUnsigned(own.inFlight),
                                  .longJobs = roundToUnsigned(own.longJobs),
                                  .waitingPrefill = roundToUnsigned(own.waitingPrefill) });
    }
    // The busiest servers first, since a message that exceeds a datagram loses its last entries.
    std::stable_sort(message.loads.begin(), message.loads.end(),
                     [](const auto &a, const auto &b) { return a.inFlight > b.inFlight; });
    for (const auto &[team, open] : dispatcher.openRequestsByTeam()) {
        message.teams.push_back({ .team = teamTag(team), .inFlight = open });
    }
    const std::size_t count = std::min(StoredEntriesPerMessage, stored_.size());
    message.stored.assign(stored_.end() - static_cast<std::ptrdiff_t>(count), stored_.end());
    stored_.resize(stored_.size() - count);
    return message;
}

void PeerExchange::refillBudget(Instant now)
{
    constexpr double MillisecondsPerSecond = 1000;
    // Unused budget doesn't accumulate beyond one round, nor before the first.
    const Duration elapsed
        = std::min<Duration>(now - budgetRefilledAt_.value_or(now), options_.interval);
    budgetBytes_ = std::min(budgetBytes_, 0.0)
        + toMilliseconds(elapsed) / MillisecondsPerSecond * options_.bytesPerSecond;
    budgetRefilledAt_ = now;
}

std::vector<PeerDatagram> PeerExchange::nextDatagrams(Dispatcher &dispatcher, Instant now)
{
    std::vector<PeerDatagram> result;
    const std::vector<std::string> targets = table_.targets();
    collectStoredKeys(dispatcher);
    refillBudget(now);
    if (targets.empty() || budgetBytes_ <= 0) {
        return result;
    }
    const std::string bytes = encodePeerMessage(buildMessage(dispatcher, now), options_.key);
    for (std::size_t count = 0; count < targets.size() && budgetBytes_ > 0; ++count) {
        const std::string &target = targets[nextTarget_++ % targets.size()];
        if (target == options_.self.address) {
            continue;
        }
        budgetBytes_ -= static_cast<double>(bytes.size());
        result.push_back({ .target = target, .bytes = bytes });
    }
    return result;
}

std::optional<PeerReported> PeerExchange::acceptMessage(const PeerMessage &message,
                                                        const Dispatcher &dispatcher, Instant now)
{
    if (!table_.acceptDatagram(message.identity, message.sequence, now)) {
        return std::nullopt;
    }
    std::map<ServerTag32, ServerId> names;
    const ServerTable &servers = dispatcher.servers();
    for (ServerSlot slot = 0; slot < servers.size(); ++slot) {
        names[serverTag(servers.at(slot).info.id)] = servers.at(slot).info.id;
    }
    PeerReported report { .peer = message.identity.node, .quarantine = message.quarantine };
    for (const PeerServerLoad &load : message.loads) {
        if (const auto name = names.find(load.server); name != names.end()) {
            report.loads.emplace_back(
                name->second,
                ServerLoad { .inFlight = static_cast<double>(load.inFlight),
                             .longJobs = static_cast<double>(load.longJobs),
                             .waitingPrefill = static_cast<double>(load.waitingPrefill) });
        }
    }
    for (const PeerStoredBlocks &stored : message.stored) {
        if (const auto name = names.find(stored.server); name != names.end()) {
            report.stored.emplace_back(name->second, stored.keys);
        }
    }
    ReportedTeamLoads &teams = teamLoads_[message.identity.node];
    teams.receivedAt = now;
    teams.inFlight.clear();
    for (const PeerTeamLoad &team : message.teams) {
        teams.inFlight[team.team] = team.inFlight;
    }
    return report;
}

std::uint32_t PeerExchange::teamRequestsAtPeers(const TeamId &team, Instant now) const
{
    constexpr Duration TeamLoadLifetime = std::chrono::seconds(5);
    std::uint32_t sum = 0;
    for (const auto &[peer, teams] : teamLoads_) {
        const auto found = teams.inFlight.find(teamTag(team));
        if (now - teams.receivedAt < TeamLoadLifetime && found != teams.inFlight.end()) {
            sum += found->second;
        }
    }
    return sum;
}

} // namespace jacinthroad
