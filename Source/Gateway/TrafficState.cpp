#include "Gateway/TrafficState.h"

#include <algorithm>
#include <map>

#include "Core/Hashing.h"
#include "Core/Log.h"
#include "Core/WallClock.h"
#include "Gateway/BootClock.h"

namespace jacinthroad {

namespace {

/// Minimum number of entry VMs by which the retry allowance is divided. Larger than a small fleet,
/// because a node that has just started knows few other nodes.
constexpr std::size_t MinNodes = 12;
/// Share of the fleet-wide retry ratio that one node uses, because requests are distributed
/// unevenly.
constexpr double RetryShareUsed = 0.7;
/// Fraction of the time within which a revoked key must be rejected. Exceeds the age that a node
/// connected to the store ever reaches, which stays below that of a stale configuration.
constexpr double OutdatedFraction = 0.5;

/// Subtracted from the weights limit, because a request may wait this long on a server before it
/// starts.
constexpr Duration WeightsMargin = milliseconds(1500);

/// Maximum number of routes whose usual durations are kept, because configurations replace routes.
constexpr std::size_t MaxUsualDurations = 4096;
/// Time in which a node that has started learns the versions that streams may be sent to. Without
/// them it serves all other requests.
constexpr Duration AdmissionTime = milliseconds(1500);

/// Maximum number of parts and groups whose names are kept for the log.
constexpr std::size_t MaxPartNames = 4096;

constexpr std::size_t BytesPerMb = 1000000;
/// Memory for everything but bodies: 32 MB for control, as in docs/CAPACITY.md, and connections. At
/// least a quarter of the memory, on a very small node three quarters.
constexpr std::size_t MinOtherMemory = 40 * BytesPerMb;

void logDesiredWeights(const DesiredWeightsAge &desired, std::string_view witness)
{
    logLine(LogLevel::Info, "weights_desired",
            { { "model", desired.model.text() },
              { "version", std::int64_t { desired.version } },
              { "age_ms", std::int64_t { desired.ageMs } },
              { "witness", witness } });
}

Duration fractionOf(Duration whole, double fraction)
{
    return fromMilliseconds(toMilliseconds(whole) * fraction);
}

/// Memory in bytes that remains for bodies.
std::size_t bodyMemoryLimit(const GatewaySettings &settings)
{
    const auto all = static_cast<std::size_t>(settings.memoryMb * BytesPerMb);
    return all - std::min(std::max(all / 4, MinOtherMemory), all / 4 * 3);
}

/// Requests may take 14 sixteenths of the memory for received data, so that some is left for them
/// whatever servers send.
MemoryBudget::ResponseLimits responseLimits(std::size_t memory)
{
    return { .all = memory / 16 * 11, .longOnes = memory / 2 };
}

AttemptBudget::Options retryBudgetOptions(const GatewaySettings &settings, std::size_t nodes)
{
    return { .retryRatio = settings.retryShare * RetryShareUsed,
             .window = settings.retryWindow,
             .allowance
             = settings.retryAllowance / static_cast<double>(std::max(MinNodes, nodes)) };
}

} // namespace

TrafficState::TrafficState(boost::asio::io_context &ioContext, const GatewaySettings &nodeSettings,
                           GatewayMetrics &gatewayMetrics)
    : context(ioContext)
    , settings(nodeSettings)
    , metrics(gatewayMetrics)
    , freshness(Freshness::limitsFor(settings.keyRevocation))
    , pool({ .zone = ZoneId(settings.zone),
             .outdatedWeightsGrace = settings.weightsLimit - WeightsMargin })
    , forwarding({ .zone = settings.zone })
    , retryBudget(retryBudgetOptions(settings, MinNodes))
    , bodyMemory(std::make_shared<MemoryBudget>(bodyMemoryLimit(settings)))
    , readTurns(std::make_shared<ReadTurns>(ioContext))
    , crashReporter(mix64(hash64(settings.name), static_cast<std::uint64_t>(wallMilliseconds())))
    , crashHistory({ .reporter = crashReporter })
    , crashDetector(ioContext)
    , stopSchedule(settings.stopGrace)
    , currentSettings_(settings)
{
    bodyMemory->setResponseLimits(responseLimits(bodyMemory->limit()));
    pool.onSuspended = [this](const Suspension &suspension, Instant now) {
        suspensionLog_.note(suspension, now);
        metrics.countSuspension(suspensionCauseName(suspension.cause));
    };
    crashDetector.causeOfRefusal = [this](const ServerId &server, Instant refusedAt) {
        return causeOfRefusal(server, refusedAt);
    };
    crashDetector.onCrash
        = [this](const ServerId &server, const LostRequest &loss) { noteCrash(server, loss); };
}

void TrafficState::applySettings(const GatewaySettings &changed)
{
    currentSettings_ = changed;
    bodyMemory->setLimit(bodyMemoryLimit(currentSettings_));
    bodyMemory->setResponseLimits(responseLimits(bodyMemory->limit()));
    freshness.setOptions(Freshness::limitsFor(currentSettings_.keyRevocation));
    retryBudget.setOptions(retryBudgetOptions(currentSettings_, nodeCount_),
                           std::chrono::steady_clock::now());
}

Duration TrafficState::outdatedConfigurationAge() const
{
    return fractionOf(currentSettings_.keyRevocation, OutdatedFraction);
}

void TrafficState::setNodeCount(std::size_t count)
{
    nodeCount_ = count;
    retryBudget.setOptions(retryBudgetOptions(currentSettings_, nodeCount_),
                           std::chrono::steady_clock::now());
}

void TrafficState::applyConfiguration(const ConfigurationIdentity &identity,
                                      std::shared_ptr<const RouteTable> newer,
                                      const ConfigurationTiming &timing)
{
    const Instant began = std::chrono::steady_clock::now();
    switch (decideConfiguration(configuration_, identity, replacedContents_)) {
    case ConfigurationDecision::Keep:
        if (identity.contentHash == configuration_->contentHash
            && identity.era >= configuration_->era) {
            configuration_ = identity;
        }
        return;
    case ConfigurationDecision::KeepNewer:
        if (loggedOlderVersion_ != identity.version) {
            loggedOlderVersion_ = identity.version;
            logLine(
                LogLevel::Error, "configuration_went_back",
                { { "object", "configuration" },
                  { "version", static_cast<std::int64_t>(configuration_->version) },
                  { "version_in_store", static_cast<std::int64_t>(identity.version) },
                  { "reason", "the store has an older configuration than the one in force" },
                  { "remedy", "Write a configuration with a version above the one in force." } });
        }
        return;
    case ConfigurationDecision::ApplyReusedVersion:
        logLine(LogLevel::Warning, "configuration_version_reused",
                { { "object", "configuration" },
                  { "version", static_cast<std::int64_t>(identity.version) },
                  { "reason", "the restored store assigned this version again" },
                  { "remedy", "Check that it holds what the lost one of that version held." } });
        replacedContents_.push_back(configuration_->contentHash);
        break;
    case ConfigurationDecision::Apply:
        replacedContents_.clear();
        break;
    }
    configuration_ = identity;
    routes = std::move(newer);
    pool.applyServices(routes->services());
    metrics.setConfigurationVersion(static_cast<double>(routes->version()));
    logLine(LogLevel::Info, "configuration",
            { { "version", static_cast<std::int64_t>(routes->version()) },
              { "bytes", static_cast<std::int64_t>(timing.bytes) },
              { "read_ms", toMilliseconds(timing.readTime) },
              { "queued_ms",
                timing.postedAt == Instant() ? 0.0 : toMilliseconds(began - timing.postedAt) },
              { "apply_ms", toMilliseconds(std::chrono::steady_clock::now() - began) },
              { "active_requests", std::int64_t { activeRequests() } } });
}

FreshnessLevel TrafficState::configurationTrust() const
{
    const FreshnessLevel level = freshness.level(bootNow());
    return !configurationReadable_ && level == FreshnessLevel::Current ? FreshnessLevel::Stale
                                                                       : level;
}

void TrafficState::notePeerConfiguration(std::uint64_t version)
{
    peerConfigurationVersion_ = std::max(peerConfigurationVersion_, version);
}

void TrafficState::confirmConfiguration(BootInstant moment, bool mayBeRestored)
{
    const std::uint64_t version = configuration_.has_value() ? configuration_->version : 0;
    if (!mayBeRestored || version >= peerConfigurationVersion_) {
        freshness.confirm(moment);
        return;
    }
    // A peer may read a new version a moment earlier; that is no fault.
    const auto age = freshness.age(bootNow());
    if (loggedPeerVersion_ != peerConfigurationVersion_
        && (!age.has_value() || *age >= outdatedConfigurationAge())) {
        loggedPeerVersion_ = peerConfigurationVersion_;
        logLine(LogLevel::Error, "configuration_behind_peers",
                { { "object", "configuration" },
                  { "version", static_cast<std::int64_t>(version) },
                  { "version_of_peers", static_cast<std::int64_t>(peerConfigurationVersion_) },
                  { "reason", "the store lost a version that peers have in force" },
                  { "remedy", "Write a configuration with a version above that of the peers." } });
    }
}

void TrafficState::applyServers(const std::vector<ListedServer> &servers, Instant now)
{
    std::map<ServerId, ServiceId> services;
    for (auto &[id, present] : listedServers_) {
        present = false;
    }
    for (const ListedServer &server : servers) {
        listedServers_[server.id] = true;
        const ListedServer *known = pool.listed(server.id);
        if (known != nullptr && known->instance() != server.instance()) {
            // They lead to another start of the server, which a restored list may have replaced.
            connections.closeIdle(server.id);
            connections.forgetLost(server.id);
        }
        pool.applyServer(server, now);
        services.emplace(server.id, server.service);
        crashDetector.noteListed(server);
    }
    for (auto entry = listedServers_.begin(); entry != listedServers_.end();) {
        if (entry->second) {
            ++entry;
            continue;
        }
        pool.removeServer(entry->first, now);
        crashDetector.noteRemoved(entry->first);
        connections.closeIdle(entry->first);
        connections.forgetLost(entry->first);
        entry = listedServers_.erase(entry);
    }
    paths.setServers(services);
    links.setServers(std::move(services));
    if (!serverListLoadedAt.has_value()) {
        serverListLoadedAt = now;
    }
}

void TrafficState::noteStatement(const ServerInstance &server, const ServerStatement &statement)
{
    const ServerStatements::Changes changes
        = pool.noteStatement(server, statement, std::chrono::steady_clock::now());
    if (!changes.any()) {
        return;
    }
    if (changes.leaving) {
        connections.closeIdle(server.id);
    }
    logLine(LogLevel::Info, "server_statement",
            { { "server", server.id.text() },
              { "boot", server.bootedAt },
              { "leaving", std::int64_t { statement.leaving ? 1 : 0 } },
              { "pause_ms", statement.pause.has_value() ? toMilliseconds(*statement.pause) : 0.0 },
              { "requests_per_second", statement.requestsPerSecond.value_or(0) },
              { "tolerated_rejections",
                std::int64_t { statement.toleratedRejections.has_value()
                                   ? std::int64_t { *statement.toleratedRejections }
                                   : -1 } } });
    if (changes.pause) {
        onServerPaused();
    }
    notifyPeersSoon();
}

void TrafficState::noteDesiredWeights(const DesiredWeights &desired, Instant now)
{
    if (pool.applyDesiredWeights(desired, now)) {
        logDesiredWeights({ .model = desired.model, .version = desired.version }, "store");
    }
}

void TrafficState::mergeDesiredWeights(std::span<const DesiredWeightsAge> ages,
                                       std::string_view witness, Instant now)
{
    for (const DesiredWeightsAge &learned : pool.applyDesiredWeightsAges(ages, now)) {
        logDesiredWeights(learned, witness);
    }
}

void TrafficState::noteConnected(const ServerId &server, Instant now)
{
    links.noteConnected(server, now);
    pool.noteConnected(server, now);
    paths.noteReached(server);
}

void TrafficState::noteConnectFailed(const ServerId &server, Instant now)
{
    links.noteConnectFailed(server, now);
    paths.noteFailed(server, now);
}

void TrafficState::noteReceived(const ServerId &server, Instant now)
{
    pool.noteReceived(server, now);
    links.noteReceived(server, now);
}

RefusalCause TrafficState::causeOfRefusal(const ServerId &server, Instant refusedAt)
{
    const Instant now = std::chrono::steady_clock::now();
    const RefusalCause cause = links.causeOfRefusal(server, refusedAt, now);
    if (cause == RefusalCause::Undecided) {
        links.noteRefused(server, now);
    }
    const ListedServer *listed = pool.listed(server);
    const bool peersReach = listed != nullptr && peersHaveLinks(listed->service);
    return cause == RefusalCause::Link && !peersReach ? RefusalCause::Server : cause;
}

void TrafficState::noteCrash(const ServerId &server, const LostRequest &loss)
{
    const Instant now = std::chrono::steady_clock::now();
    const std::uint64_t serverHash = hash64(server.text());
    const auto denied = [&](RequestFingerprint fingerprint) {
        return crashHistory.assess(fingerprint, now).permission == CrashPermission::Denied;
    };
    const bool requestDenied = denied(loss.fingerprint);
    std::vector<SharedPart> newParts;
    for (const SharedPart &part : loss.suspectParts) {
        rememberPart(part);
        const bool wasDenied = denied(part.fingerprint);
        if (crashHistory.noteCrash(part.fingerprint, serverHash, loss.sentAt, loss.lostAt, now,
                                   part.depth)
            && !wasDenied) {
            newParts.push_back(part);
        }
    }
    const bool newRequest
        = crashHistory.noteCrash(loss.fingerprint, serverHash, loss.sentAt, loss.lostAt, now);
    // Only all crashes together tell which part explains them.
    for (const SharedPart &part : newParts) {
        const CrashAssessment assessment = crashHistory.assess(part.fingerprint, now);
        if (assessment.crashes > 1) {
            const bool group = isRequestGroup(part.depth);
            logLine(LogLevel::Warning, group ? "group_crashed_server" : "part_crashed_server",
                    { { group ? "group" : "shared_part", part.name },
                      { "server", server.text() },
                      { "crashes", std::int64_t { assessment.crashes } } });
        }
        if (assessment.permission == CrashPermission::Denied) {
            logQuarantined(
                { .fingerprint = part.fingerprint, .depth = part.depth, .assessment = assessment });
        }
    }
    if (newRequest) {
        const CrashAssessment assessment = crashHistory.assess(loss.fingerprint, now);
        logLine(LogLevel::Warning, "request_crashed_server",
                { { "fingerprint", hexadecimal(loss.fingerprint) },
                  { "server", server.text() },
                  { "crashes", std::int64_t { assessment.crashes } } });
        if (!requestDenied && assessment.permission == CrashPermission::Denied) {
            logQuarantined({ .fingerprint = loss.fingerprint, .assessment = assessment });
        }
    }
    if (newRequest || !newParts.empty()) {
        notifyPeersSoon();
    }
}

void TrafficState::noteLived(const ServerId &server, Instant since, Instant until)
{
    if (crashHistory.empty()) {
        return;
    }
    const unsigned crashes = crashHistory.noteLived(hash64(server.text()), since, until);
    if (crashes > 0) {
        logLine(LogLevel::Warning, "crash_disproved",
                { { "server", server.text() }, { "crashes", std::int64_t { crashes } } });
        notifyPeersSoon();
    }
}

void TrafficState::rememberPart(const SharedPart &part)
{
    if (partNames_.size() >= MaxPartNames) {
        partNames_.clear();
    }
    partNames_.insert_or_assign(part.fingerprint, part.name);
}

void TrafficState::logQuarantined(const DeniedRequest &denied) const
{
    const std::string_view event = denied.depth == WholeRequestDepth ? "quarantined"
        : isRequestGroup(denied.depth)                               ? "group_quarantined"
                                                                     : "part_quarantined";
    const auto name = partNames_.find(denied.fingerprint);
    logLine(LogLevel::Warning, event,
            { { "fingerprint", hexadecimal(denied.fingerprint) },
              { isRequestGroup(denied.depth) ? "group" : "shared_part",
                name != partNames_.end() ? std::string_view(name->second) : std::string_view() },
              { "crashes", std::int64_t { denied.assessment.crashes } },
              { "remaining_ms", toMilliseconds(denied.assessment.remaining) } });
}

void TrafficState::mergeCrashes(std::span<const CrashRecord> records, Instant now)
{
    for (const DeniedRequest &denied : crashHistory.merge(records, now)) {
        logQuarantined(denied);
    }
}

CallerLimits TrafficState::limits() const
{
    return routes != nullptr ? routes->limits() : CallerLimits();
}

std::optional<Duration> TrafficState::serviceLimit(const Route &route, Duration limit,
                                                   Instant now) const
{
    if (!draining) {
        return limit;
    }
    const auto usual = usualDurations_.find(route.name);
    return stopSchedule.serviceLimit({ .sinceSignal = now - drainingSince,
                                       .limit = limit,
                                       .mayBeEnded = route.kind != RouteKind::Unsafe,
                                       .usualDuration = usual != usualDurations_.end()
                                           ? usual->second.estimate()
                                           : std::nullopt });
}

bool TrafficState::callersMayStay(Instant now) const
{
    return !draining || now - drainingSince < stopSchedule.acceptEnd();
}

bool TrafficState::readsNoFurtherRequests(Instant now) const
{
    return draining && now - drainingSince >= stopSchedule.listenerEnd();
}

void TrafficState::noteCompleted(const Route &route, Duration duration)
{
    if (usualDurations_.size() >= MaxUsualDurations) {
        usualDurations_.clear();
    }
    usualDurations_[route.name].note(duration);
}

bool TrafficState::ready() const
{
    const Instant now = std::chrono::steady_clock::now();
    if (links.lost(now) && othersHaveLinks && !forwarding.hasPeers()) {
        return false;
    }
    return !draining && routes != nullptr && serverListLoadedAt.has_value() && readyForStreams(now)
        && freshness.level(bootNow()) != FreshnessLevel::Expired;
}

bool TrafficState::readyForStreams(Instant now) const
{
    if (streamVersions.hasAdmitted() || !routes->hasResumableStreams()
        || now - *serverListLoadedAt >= AdmissionTime) {
        return true;
    }
    // Without an engine there is no version to wait for.
    return std::none_of(listedServers_.begin(), listedServers_.end(), [this](const auto &entry) {
        const ListedServer *server = pool.listed(entry.first);
        const ServiceDefinition *service
            = server != nullptr ? routes->service(server->service) : nullptr;
        return service != nullptr && service->engine.has_value();
    });
}

} // namespace jacinthroad
