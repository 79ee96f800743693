#include "Routing/ServerTable.h"

#include <algorithm>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

constexpr Duration PeerLoadLifetime = std::chrono::seconds(3);
constexpr Duration ReportLifetime = std::chrono::seconds(10);
constexpr double TokenGapSmoothing = 0.3;
constexpr double MinimumBacklogShare = 0.5;

ServerLoad afterPrefill(ServerLoad load, Duration age, double tokensPerMs)
{
    const double done = std::max(0.0, toMilliseconds(age)) * tokensPerMs;
    load.waitingPrefill = std::max(0.0, load.waitingPrefill - done);
    return load;
}

ServerLoad withoutNegatives(ServerLoad load)
{
    load.inFlight = std::max(0.0, load.inFlight);
    load.longJobs = std::max(0.0, load.longJobs);
    load.waitingPrefill = std::max(0.0, load.waitingPrefill);
    return load;
}

} // namespace

ServerLoad &ServerLoad::operator+=(const ServerLoad &other)
{
    inFlight += other.inFlight;
    longJobs += other.longJobs;
    waitingPrefill += other.waitingPrefill;
    return *this;
}

ServerLoad &ServerLoad::operator-=(const ServerLoad &other)
{
    inFlight -= other.inFlight;
    longJobs -= other.longJobs;
    waitingPrefill -= other.waitingPrefill;
    return *this;
}

ServerTable::ServerTable(ServerHealthOptions healthOptions)
    : healthOptions_(healthOptions)
{ }

void ServerTable::configure(std::span<const ServerInfo> servers)
{
    for (ServerState &row : rows_) {
        row.configured = false;
    }
    for (const ServerInfo &info : servers) {
        const auto [place, added]
            = byId_.try_emplace(info.id, static_cast<ServerSlot>(rows_.size()));
        if (added) {
            rows_.push_back(
                { .hash = hash64(info.id.text()), .health = ServerHealth(healthOptions_) });
        }
        rows_[place->second].info = info;
        rows_[place->second].configured = true;
    }
    byModel_.clear();
    for (ServerSlot slot = 0; slot < size(); ++slot) {
        if (rows_[slot].configured) {
            byModel_[rows_[slot].info.model].push_back(slot);
        }
    }
}

std::optional<ServerSlot> ServerTable::find(const ServerId &id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? std::nullopt : std::optional(found->second);
}

std::span<const ServerSlot> ServerTable::serversOfModel(const ModelId &model) const
{
    const auto found = byModel_.find(model);
    return found == byModel_.end() ? std::span<const ServerSlot>() : found->second;
}

bool ServerTable::acceptsNewWork(ServerSlot slot, Instant now) const
{
    const ServerState &row = rows_[slot];
    return row.configured && !row.info.leaving && row.health.available(now);
}

bool ServerTable::noteReport(ServerSlot slot, const LoadReport &report, Instant now)
{
    ServerState &row = rows_[slot];
    const bool restarted
        = report.incarnation != 0 && row.incarnation != 0 && report.incarnation != row.incarnation;
    const bool reweighted
        = !report.weights.empty() && !row.weights.empty() && report.weights != row.weights;
    if (report.incarnation != 0) {
        row.incarnation = report.incarnation;
    }
    if (!report.weights.empty()) {
        row.weights = report.weights;
    }
    ServerLoad others = report.load;
    others -= row.own;
    row.reported = withoutNegatives(others);
    row.reportedAt = now;
    if (restarted || reweighted) {
        row.epochChangedAt = now;
        row.epochChangedByWeights = reweighted;
    }
    return restarted || reweighted;
}

void ServerTable::notePeerLoad(const NodeId &peer, ServerSlot slot, const ServerLoad &load,
                               Instant now)
{
    peers_[peer][slot] = { .load = load, .at = now };
}

void ServerTable::dropPeer(const NodeId &peer)
{
    peers_.erase(peer);
}

double ServerTable::prefillRate(const ServerState &row) const
{
    const auto learned = prefillTimes_.find(row.info.model);
    return learned == prefillTimes_.end() || learned->second <= 0 ? row.info.prefillTokensPerMs
                                                                  : 1 / learned->second;
}

ServerLoad ServerTable::othersLoad(ServerSlot slot, Instant now) const
{
    const ServerState &row = rows_[slot];
    const double rate = prefillRate(row);
    ServerLoad total;
    bool anyPeer = false;
    for (const auto &[peer, loads] : peers_) {
        const auto found = loads.find(slot);
        if (found != loads.end() && now - found->second.at < PeerLoadLifetime) {
            total += afterPrefill(found->second.load, now - found->second.at, rate);
            anyPeer = true;
        }
    }
    if (!anyPeer && now - row.reportedAt < ReportLifetime) {
        total = afterPrefill(row.reported, now - row.reportedAt, rate);
    }
    return total;
}

ServerLoad ServerTable::ownLoad(ServerSlot slot, Instant now) const
{
    const ServerState &row = rows_[slot];
    ServerLoad load = row.own;
    // The engine divides its time between this node's prompts and those of other nodes.
    const double others = othersLoad(slot, now).waitingPrefill;
    const double share = row.ownBacklog / std::max(1.0, row.ownBacklog + others);
    const double done
        = std::max(0.0, toMilliseconds(now - row.ownBacklogAt)) * prefillRate(row) * share;
    // Prompts without a first token are unfinished whatever the rate predicts; on average, half
    // of a prompt in progress remains.
    const double least = MinimumBacklogShare * row.own.waitingPrefill;
    load.waitingPrefill = std::clamp(row.ownBacklog - done, least, row.own.waitingPrefill);
    return load;
}

void ServerTable::notePrefillSent(ServerSlot slot, double prefillTokens, Instant firstTokenDue,
                                  Instant now)
{
    ServerState &row = rows_[slot];
    row.ownBacklog = ownLoad(slot, now).waitingPrefill + prefillTokens;
    row.ownBacklogAt = now;
    row.own.waitingPrefill += prefillTokens;
    row.firstTokensDue.insert(firstTokenDue);
}

void ServerTable::notePrefillFinished(ServerSlot slot, double prefillTokens, Instant firstTokenDue,
                                      Instant now)
{
    ServerState &row = rows_[slot];
    row.own.waitingPrefill = std::max(0.0, row.own.waitingPrefill - prefillTokens);
    if (const auto place = row.firstTokensDue.find(firstTokenDue);
        place != row.firstTokensDue.end()) {
        row.firstTokensDue.erase(place);
    }
    row.ownBacklog = ownLoad(slot, now).waitingPrefill;
    row.ownBacklogAt = now;
}

double ServerTable::overdueMs(ServerSlot slot, Instant now) const
{
    const auto &due = rows_[slot].firstTokensDue;
    return due.empty() ? 0 : std::max(0.0, toMilliseconds(now - *due.begin()));
}

ServerLoad ServerTable::totalLoad(ServerSlot slot, Instant now) const
{
    ServerLoad total = ownLoad(slot, now);
    total += othersLoad(slot, now);
    return total;
}

void ServerTable::setPrefillTime(const ModelId &model, double msPerToken)
{
    prefillTimes_[model] = msPerToken;
}

void ServerTable::noteTokenGap(ServerSlot slot, double gapMs, Instant now)
{
    ServerState &row = rows_[slot];
    row.lastReceivedAt = now;
    row.tokenGapMs = row.tokenGapMs == 0
        ? gapMs
        : row.tokenGapMs + TokenGapSmoothing * (gapMs - row.tokenGapMs);
    const double usual = medianTokenGapMs(row.info.model);
    if (usual > 0) {
        row.health.noteRelativeGap(gapMs / usual, now);
    }
}

double ServerTable::medianTokenGapMs(const ModelId &model) const
{
    std::vector<double> gaps;
    for (const ServerSlot slot : serversOfModel(model)) {
        if (rows_[slot].tokenGapMs > 0) {
            gaps.push_back(rows_[slot].tokenGapMs);
        }
    }
    if (gaps.empty()) {
        return 0;
    }
    const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
    std::nth_element(gaps.begin(), middle, gaps.end());
    return *middle;
}

} // namespace jacinthroad
