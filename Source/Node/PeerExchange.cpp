#include "Node/PeerExchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

// Block keys kept for the next rounds; older ones are dropped first.
constexpr std::size_t MostStored = 64;
constexpr std::size_t StoredPerRound = 8;
constexpr std::size_t MostKeysOfOneServer = 16;

std::uint32_t rounded(double number)
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

void PeerExchange::gatherStored(Dispatcher &dispatcher)
{
    for (auto &[server, keys] : dispatcher.takeStored()) {
        if (options_.sampleOneIn == 0) {
            continue;
        }
        // Chosen by the key's own value, so that all nodes tell the same blocks.
        std::erase_if(keys, [&](BlockKey key) { return key % options_.sampleOneIn != 0; });
        if (keys.size() > MostKeysOfOneServer) {
            keys.erase(keys.begin(), keys.end() - static_cast<std::ptrdiff_t>(MostKeysOfOneServer));
        }
        if (!keys.empty()) {
            stored_.push_back({ .server = serverTag(server), .keys = std::move(keys) });
        }
    }
    if (stored_.size() > MostStored) {
        stored_.erase(stored_.begin(), stored_.end() - static_cast<std::ptrdiff_t>(MostStored));
    }
}

PeerMessage PeerExchange::compose(Dispatcher &dispatcher, Instant now)
{
    PeerMessage message { .identity = options_.self,
                          .sequence = ++sequence_,
                          .quarantine = dispatcher.quarantine(now) };
    const ServerTable &servers = dispatcher.servers();
    for (ServerSlot slot = 0; slot < servers.size(); ++slot) {
        const ServerLoad own = servers.ownLoad(slot, now);
        message.loads.push_back({ .server = serverTag(servers.at(slot).facts.id),
                                  .inFlight = rounded(own.inFlight),
                                  .longJobs = rounded(own.longJobs),
                                  .waitingPrefill = rounded(own.waitingPrefill) });
    }
    // The busiest first, since a datagram that is too long loses the last ones.
    std::stable_sort(message.loads.begin(), message.loads.end(),
                     [](const auto &a, const auto &b) { return a.inFlight > b.inFlight; });
    for (const auto &[team, open] : dispatcher.openByTeam()) {
        message.teams.push_back({ .team = teamTag(team), .inFlight = open });
    }
    const std::size_t count = std::min(StoredPerRound, stored_.size());
    message.stored.assign(stored_.end() - static_cast<std::ptrdiff_t>(count), stored_.end());
    stored_.resize(stored_.size() - count);
    return message;
}

void PeerExchange::refillBudget(Instant now)
{
    constexpr double MillisecondsPerSecond = 1000;
    // Nothing is saved up beyond one round, also not before the first.
    const Duration passed = std::min<Duration>(now - budgetAt_.value_or(now), options_.interval);
    budgetBytes_ = std::min(budgetBytes_, 0.0)
        + toMilliseconds(passed) / MillisecondsPerSecond * options_.bytesPerSecond;
    budgetAt_ = now;
}

std::vector<PeerDatagram> PeerExchange::round(Dispatcher &dispatcher, Instant now)
{
    std::vector<PeerDatagram> result;
    const std::vector<std::string> targets = table_.targets();
    gatherStored(dispatcher);
    refillBudget(now);
    if (targets.empty() || budgetBytes_ <= 0) {
        return result;
    }
    const std::string bytes = encodePeerMessage(compose(dispatcher, now), options_.key);
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

std::optional<PeerReported> PeerExchange::take(const PeerMessage &message,
                                               const Dispatcher &dispatcher, Instant now)
{
    if (!table_.noteDatagram(message.identity, message.sequence, now)) {
        return std::nullopt;
    }
    std::map<ServerTag32, ServerId> names;
    const ServerTable &servers = dispatcher.servers();
    for (ServerSlot slot = 0; slot < servers.size(); ++slot) {
        names[serverTag(servers.at(slot).facts.id)] = servers.at(slot).facts.id;
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
    TeamsOfPeer &teams = teams_[message.identity.node];
    teams.at = now;
    teams.inFlight.clear();
    for (const PeerTeamLoad &team : message.teams) {
        teams.inFlight[team.team] = team.inFlight;
    }
    return report;
}

std::uint32_t PeerExchange::teamElsewhere(const TeamId &team, Instant now) const
{
    constexpr Duration Lifetime = std::chrono::seconds(5);
    std::uint32_t sum = 0;
    for (const auto &[peer, teams] : teams_) {
        const auto found = teams.inFlight.find(teamTag(team));
        if (now - teams.at < Lifetime && found != teams.inFlight.end()) {
            sum += found->second;
        }
    }
    return sum;
}

} // namespace jacinthroad
