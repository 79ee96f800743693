#include "SoakRun.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <barrier>
#include <filesystem>
#include <memory>
#include <numeric>
#include <random>
#include <set>
#include <thread>

#include <json/value.h>

#include "EndlessCallers.h"
#include "LinkCuts.h"
#include "LogLimits.h"
#include "LogStandstills.h"
#include "NewWeights.h"
#include "NodeAllotment.h"
#include "NodeFaults.h"
#include "NodeLogJudge.h"
#include "NodeProcess.h"
#include "OddEntries.h"
#include "Releases.h"
#include "Replacements.h"
#include "RequestTrace.h"
#include "SoakClient.h"
#include "SoakConfigurations.h"
#include "SoakServers.h"
#include "SoakTraffic.h"
#include "StoreStandIn.h"

namespace jacinthroad {

namespace {

constexpr Duration StopGrace = std::chrono::seconds(5);
/// Time between the end of the faults and the end of the callers. Each caller must be served in it.
/// It covers two of the longest pauses, as the first request may find its idle connection closed.
constexpr Duration RecoveryTime = std::chrono::seconds(6);
/// A node that starts waits until the era of the store is settled.
constexpr Duration StartTime = std::chrono::seconds(4);
/// Time before the end of the faults from which the store isn't restored any more. It covers the
/// time until a node has recorded the era as settled; until then, nodes that start serve no keys.
constexpr Duration RestoreMargin = std::chrono::seconds(7);
constexpr Duration LongestDeadlyKeyPause = milliseconds(2000);
/// The longest pause between the requests of a caller, as a part of the longest idle limit.
constexpr double LongestPauseShare = 0.8;
constexpr unsigned DeadlyCallers = 2;
constexpr unsigned NewKeyCallers = 4;
constexpr Duration LongestDeadlyPause = milliseconds(1200);
/// Longest pause of the callers that keep their nodes' connections to servers in use.
constexpr Duration LongestBusyPause = milliseconds(400);
/// One in so many callers is busy.
constexpr unsigned BusyOneIn = 3;
/// One in so many callers never closes a connection.
constexpr unsigned HoldingOneIn = 4;
/// For so many callers there is one more that takes streams up again.
constexpr unsigned TakingUpOneIn = 3;
/// For so many callers there is one more that sends long requests.
constexpr unsigned LongOneIn = 4;
constexpr Duration LongestPauseAfterLong = milliseconds(100);
/// Parts of the time with faults, in percent, in which all nodes are killed at once.
constexpr std::array<std::pair<int, int>, 2> CommonKillPercents { { { 20, 30 }, { 70, 80 } } };

/// Restores the store from a copy, again and again; operators and servers write their objects again
/// some time after each.
void restoreStore(StoreStandIn &store, SoakServers &servers, LastConfiguration &last,
                  std::uint64_t seed, Instant until, FaultCounts &counts)
{
    std::mt19937_64 random(seed);
    for (;;) {
        std::this_thread::sleep_for(milliseconds(between(random, 500, 3000)));
        store.snapshot();
        const auto age = milliseconds(between(random, 300, 3000));
        if (std::chrono::steady_clock::now() + age >= until - RestoreMargin) {
            return;
        }
        std::this_thread::sleep_for(age);
        const Instant begin = std::chrono::steady_clock::now();
        store.stopResponding();
        std::this_thread::sleep_for(milliseconds(between(random, 100, 1500)));
        store.restore();
        store.resumeResponding();
        ++counts.storeRestores;
        std::this_thread::sleep_for(milliseconds(between(random, 0, 1500)));
        servers.registerAgain();
        const std::lock_guard lock(last.mutex);
        store.put("config", "main", last.spec);
        counts.storeDisturbances.push_back(
            { .begin = begin, .end = std::chrono::steady_clock::now() });
    }
}

bool servedSince(const std::vector<CallerRecord> &records, Instant moment)
{
    return std::any_of(records.begin(), records.end(), [&](const CallerRecord &record) {
        return record.sentAt >= moment && record.status == 200;
    });
}

/// Describes a caller that was not served after `moment`, with what it saw since.
std::string unservedCaller(const std::vector<CallerRecord> &records, Instant moment)
{
    std::string text = "caller not served after the end of the faults; its requests since:";
    for (const CallerRecord &record : records) {
        if (record.sentAt >= moment) {
            text += " " + record.id + " on " + record.route + " at "
                + withBuild(record.node, record.build) + " after "
                + std::to_string(static_cast<int>(toMilliseconds(record.sentAt - moment)))
                + " ms, outcome " + std::to_string(static_cast<int>(record.outcome)) + ", status "
                + std::to_string(record.status) + ", on a connection idle for "
                + std::to_string(static_cast<int>(toMilliseconds(record.idle)))
                + " ms at a limit of "
                + std::to_string(static_cast<int>(toMilliseconds(record.idleLimit))) + " ms;";
        }
    }
    return text;
}

std::string nodeName(unsigned number)
{
    return "node-" + std::to_string(number);
}

/// Links of all nodes that can be cut; none if they are not to be.
std::vector<NodeLinks> makeLinks(const SoakOptions &options)
{
    std::vector<NodeLinks> links;
    if (options.disturbances.contains(Disturbance::LinkCuts)) {
        for (unsigned number = 0; number < options.nodes; ++number) {
            links.push_back({ .node = nodeName(number), .links = std::make_shared<ServerLinks>() });
        }
    }
    return links;
}

/// The zone of a node; nodes beyond the sum of all zones begin with the first again.
std::string zoneOf(const SoakOptions &options, unsigned number)
{
    const unsigned all = std::accumulate(options.zones.begin(), options.zones.end(), 0U);
    if (all == 0) {
        return "z";
    }
    unsigned rest = number % all;
    std::size_t zone = 0;
    while (rest >= options.zones[zone]) {
        rest -= options.zones[zone++];
    }
    return soakZone(zone);
}

std::vector<std::shared_ptr<NodeProcess>> startNodes(const SoakOptions &options,
                                                     const std::vector<std::string> &storeAddresses)
{
    std::vector<std::shared_ptr<NodeProcess>> nodes;
    for (unsigned number = 0; number < options.nodes; ++number) {
        nodes.push_back(std::make_shared<NodeProcess>(NodeProcess::Options {
            .program = options.program,
            .earlierProgram = options.earlierProgram,
            .withoutSettings = options.withoutSettings,
            .folder = options.folder,
            .name = nodeName(number),
            .storeAddress = storeAddresses[number],
            .stopGrace = options.stopGrace.value_or(StopGrace),
            .zone = zoneOf(options, number),
            .memoryMb = options.memoryMb,
            .descriptors = options.descriptors,
            .weightsLimit = options.disturbances.contains(Disturbance::NewWeights)
                ? std::optional(SoakWeightsLimit)
                : std::nullopt,
            .logHasHole = options.disturbances.contains(Disturbance::LogLimit)
                && !options.earlierProgram.empty(),
            .logIsPipe = options.disturbances.contains(Disturbance::LogPipe) }));
        nodes.back()->start();
        const Instant now = std::chrono::steady_clock::now();
        nodes.back()->noteDisturbance({ .begin = now, .end = now });
    }
    return nodes;
}

/// Longest pause of a caller between two requests.
Duration longestPause(const SoakOptions &options, unsigned caller)
{
    const Duration longest = fromMilliseconds(longestIdleLimit() * LongestPauseShare);
    if (options.rates.has_value()) {
        // The mean pause is a third of the longest one.
        const double rate = std::accumulate(options.rates->begin(), options.rates->end(), 0.0);
        return std::min(longest, fromMilliseconds(3 * 1000 * options.clients / rate));
    }
    return caller % BusyOneIn == 0 ? LongestBusyPause : longest;
}

/// Makes the callers of sound requests and, after them, those of deadly ones.
std::vector<std::unique_ptr<SoakClient>>
makeClients(const SoakOptions &options, const std::vector<std::shared_ptr<NodeProcess>> &nodes,
            LastConfiguration &last, std::mt19937_64 &random)
{
    std::vector<std::unique_ptr<SoakClient>> clients;
    const bool holding = options.disturbances.contains(Disturbance::HeldConnections);
    for (unsigned number = 0; number < options.clients; ++number) {
        clients.push_back(std::make_unique<SoakClient>(
            SoakClient::Options { .name = "c" + std::to_string(number),
                                  .nodes = nodes,
                                  .idleLimitMs = last.idleLimitMs,
                                  .longestPause = longestPause(options, number),
                                  .holdsConnections = holding && number % HoldingOneIn == 0,
                                  .rates = options.rates,
                                  .longBodies = options.longBodies,
                                  .seed = random() }));
    }
    if (options.disturbances.contains(Disturbance::TakeUps)
        || options.disturbances.contains(Disturbance::PausesBesideRejections)) {
        for (unsigned number = 0; number < options.clients / TakingUpOneIn; ++number) {
            clients.push_back(std::make_unique<SoakClient>(
                SoakClient::Options { .name = "t" + std::to_string(number),
                                      .nodes = nodes,
                                      .idleLimitMs = last.idleLimitMs,
                                      .longestPause = LongestBusyPause,
                                      .takesUp = true,
                                      .seed = random() }));
        }
    }
    const bool full = options.disturbances.contains(Disturbance::FullServers);
    if (full || options.disturbances.contains(Disturbance::LateRequests)) {
        const unsigned callers = full ? options.clients / 2 : options.clients / LongOneIn;
        for (unsigned number = 0; number < callers; ++number) {
            clients.push_back(std::make_unique<SoakClient>(
                SoakClient::Options { .name = "l" + std::to_string(number),
                                      .nodes = nodes,
                                      .idleLimitMs = last.idleLimitMs,
                                      .longestPause = LongestPauseAfterLong,
                                      .holdsConnections = true,
                                      .sendsLongRequests = true,
                                      .endsWithFaults = full,
                                      .seed = random() }));
        }
    }
    if (options.disturbances.contains(Disturbance::DeadlyPart)) {
        for (unsigned number = 0; number < DeadlyCallers; ++number) {
            clients.push_back(std::make_unique<SoakClient>(
                SoakClient::Options { .name = "d" + std::to_string(number),
                                      .nodes = nodes,
                                      .idleLimitMs = last.idleLimitMs,
                                      .longestPause = LongestDeadlyPause,
                                      .deadlyRoute = deadlyRoute(options.seed),
                                      .seed = random() }));
        }
    }
    if (options.disturbances.contains(Disturbance::DeadlyKey)) {
        clients.push_back(std::make_unique<SoakClient>(
            SoakClient::Options { .name = "k",
                                  .nodes = nodes,
                                  .idleLimitMs = last.idleLimitMs,
                                  .longestPause = LongestDeadlyKeyPause,
                                  .deadlyRoute = DeadlyKeyRoute,
                                  .seed = random() }));
    }
    if (last.keepsKeys) {
        for (unsigned number = 0; number < NewKeyCallers; ++number) {
            clients.push_back(std::make_unique<SoakClient>(SoakClient::Options {
                .name = "n" + std::to_string(number),
                .nodes = nodes,
                .idleLimitMs = last.idleLimitMs,
                .longestPause = LongestBusyPause,
                .newKey = [&last] { return newestKey(last, ConfigurationTime); },
                .seed = random() }));
        }
    }
    return clients;
}

std::vector<CommonRestart> commonRestarts(const SoakOptions &options, Instant begin,
                                          std::mt19937_64 &random)
{
    const auto moment = [&](int lowPercent, int highPercent) {
        return begin + options.faultTime * between(random, lowPercent, highPercent) / 100;
    };
    std::vector<CommonRestart> restarts;
    if (options.disturbances.contains(Disturbance::RestartAll)) {
        restarts.push_back({ .at = moment(40, 60) });
    }
    if (options.disturbances.contains(Disturbance::TakeUps)) {
        for (const auto &[low, high] : CommonKillPercents) {
            restarts.push_back({ .at = moment(low, high), .killsAll = true });
        }
    }
    if (options.disturbances.contains(Disturbance::NewWeights)) {
        restarts = restartsBesideNewWeights(begin, random);
    }
    std::sort(restarts.begin(), restarts.end(),
              [](const auto &left, const auto &right) { return left.at < right.at; });
    return restarts;
}

/// Injects the faults and waits for their end.
void injectFaults(const SoakOptions &options,
                  const std::vector<std::shared_ptr<NodeProcess>> &nodes,
                  const std::vector<NodeLinks> &links, StoreStandIn &store, SoakServers &servers,
                  LastConfiguration &last, std::mt19937_64 &random, FaultCounts &counts)
{
    const Instant begin = std::chrono::steady_clock::now();
    const Instant until = begin + options.faultTime;
    const std::vector<CommonRestart> restarts = commonRestarts(options, begin, random);
    std::barrier<> allStopped(static_cast<std::ptrdiff_t>(nodes.size()));
    const auto replaced
        = options.earlierProgram.empty() || !options.disturbances.contains(Disturbance::Upgrade)
        ? std::vector<std::vector<Replacement>>(nodes.size())
        : planReplacements(nodes.size(), options.seed, begin, until);
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < nodes.size(); ++number) {
        NodeFaults faults(*nodes[number],
                          { .disturbances = options.disturbances,
                            .stopGrace = options.stopGrace,
                            .seed = random(),
                            .until = until,
                            .commonRestarts = restarts,
                            .replacements = replaced[number] },
                          allStopped, counts);
        threads.emplace_back([faults = std::move(faults)]() mutable { faults.run(); });
    }
    if (options.disturbances.contains(Disturbance::Configuration)) {
        threads.emplace_back([&store, &last, seed = random(), until, &counts] {
            changeConfigurations(store, last, seed, until, counts);
        });
    }
    if (options.disturbances.contains(Disturbance::NewWeights)) {
        threads.emplace_back([&store, begin, &counts] { setNewWeights(store, begin, counts); });
    }
    if (options.disturbances.contains(Disturbance::SoftwareVersions)) {
        threads.emplace_back([&servers, seed = random(), until, &counts] {
            releaseVersions(servers, seed, until, counts.releases);
        });
    }
    if (options.disturbances.contains(Disturbance::OddEntries)) {
        threads.emplace_back([&store, &servers, seed = random(), until, &counts] {
            writeOddEntries(store, servers, seed, until, counts.oddEntries);
        });
    }
    if (!links.empty()) {
        threads.emplace_back([&links, seed = random(), until, &counts] {
            counts.linkCuts = cutLinks(links, seed, until);
        });
    }
    if (options.disturbances.contains(Disturbance::StoreRestore)) {
        threads.emplace_back([&store, &servers, &last, seed = random(), until, &counts] {
            restoreStore(store, servers, last, seed, until, counts);
        });
    }
    if (options.disturbances.contains(Disturbance::LogLimit)) {
        threads.emplace_back([&nodes, seed = random(), until, &counts] {
            counts.logLimits = limitLogs(nodes, seed, until);
        });
    }
    if (options.disturbances.contains(Disturbance::LogPipe)) {
        threads.emplace_back([&nodes, seed = random(), until, &counts] {
            counts.logStandstills = holdLogReaders(nodes, seed, until);
        });
    }
    if (options.disturbances.contains(Disturbance::EndlessResponses)) {
        threads.emplace_back([&nodes, seed = random(), until, &counts] {
            counts.endlessRequests = sendEndlessRequests(nodes, seed, until);
        });
    }
    if (options.disturbances.contains(Disturbance::FullDisk)) {
        threads.emplace_back([&nodes, seed = random(), until] { fillDisks(nodes, seed, until); });
    }
    if (options.disturbances.contains(Disturbance::PausesBesideRejections)) {
        threads.emplace_back([&store, &servers, &last, seed = random(), until, &counts] {
            pauseBesideRejections(store, servers, last, seed, until, counts);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::this_thread::sleep_until(until);
}

SoakReport makeReport(const SoakObservations &observations, const FaultCounts &counts)
{
    SoakReport report { .requests = static_cast<unsigned>(observations.records.size()),
                        .serverCrashes = static_cast<unsigned>(observations.crashes.size()),
                        .stops = counts.stops,
                        .kills = counts.kills,
                        .pauses = counts.pauses,
                        .reloads = counts.reloads,
                        .earlySignals = counts.earlySignals,
                        .commonRestarts = counts.commonRestarts,
                        .configurations = counts.configurations,
                        .storeRestores = counts.storeRestores,
                        .deadlyPart = countDeadlyPart(observations),
                        .deadlyKey = countDeadlyKey(observations),
                        .releases = counts.releases,
                        .oddEntries = counts.oddEntries,
                        .replacements = counts.replacements,
                        .logLimits = counts.logLimits,
                        .logStandstills = counts.logStandstills,
                        .storeCalls = counts.storeCalls,
                        .builds = countByBuild(observations),
                        .pausesBesideRejections = counts.pausesBesideRejections,
                        .silences = static_cast<unsigned>(observations.silences.size()),
                        .cacheReads = static_cast<unsigned>(observations.cacheReads.size()),
                        .cacheFetches = static_cast<unsigned>(std::count_if(
                            observations.cacheUses.begin(), observations.cacheUses.end(),
                            [](const CacheUse &use) { return !use.fetchFrom.empty(); })),
                        .cacheSaves = static_cast<unsigned>(std::count_if(
                            observations.cacheUses.begin(), observations.cacheUses.end(),
                            [](const CacheUse &use) { return !use.saveTo.empty(); })),
                        .linkCuts = static_cast<unsigned>(observations.linkCuts.size()),
                        .withoutLinks = countLinkCuts(observations),
                        .streamVersions = countStreamVersions(observations) };
    std::map<std::string, unsigned> runs;
    std::set<std::pair<std::size_t, unsigned>> forms;
    for (const ServerRun &run : observations.runs) {
        ++runs[run.requestId];
        report.brokenOff += run.brokenOff ? 1 : 0;
        if (run.endlessForm.has_value()) {
            ++report.endlessResponses;
            forms.emplace(*run.endlessForm, run.status);
        }
    }
    report.endlessForms = static_cast<unsigned>(forms.size());
    for (const auto &[node, count] : observations.endlessRequests) {
        report.endlessRequests += static_cast<unsigned>(count);
    }
    for (const CallerRecord &record : observations.records) {
        const bool closed = record.outcome == CallerOutcome::ConnectionClosed;
        report.served += record.outcome == CallerOutcome::Answered && record.status == 200 ? 1 : 0;
        report.closedNotRun += closed && !runs.contains(record.id) ? 1 : 0;
        report.closedPastIdleLimit
            += closed && !runs.contains(record.id) && record.idle > record.idleLimit ? 1 : 0;
    }
    for (const ServerArrival &arrival : observations.arrivals) {
        report.statements.leaving += arrival.leaving ? 1 : 0;
        report.statements.pauses += arrival.pausedUntil != Instant() ? 1 : 0;
        report.statements.limits += arrival.limit > 0 ? 1 : 0;
    }
    report.violations = findViolations(observations);
    nameBuilds(observations, report.violations);
    for (const std::string &node : counts.overdueStops) {
        report.violations.push_back(
            { .check = "overdue-stop",
              .text = node + " still runs at the end of its grace period" });
    }
    for (const std::string &node : counts.unexpectedEnds) {
        report.violations.push_back(
            { .check = "unexpected-end", .text = "the process of " + node + " ended by itself" });
    }
    return report;
}

} // namespace

SoakReport runSoak(const SoakOptions &options)
{
    std::filesystem::create_directories(options.folder);
    std::mt19937_64 random(options.seed);
    RunLog log;
    StoreStandIn store;
    const std::vector<NodeLinks> links = makeLinks(options);
    std::vector<std::shared_ptr<ServerLinks>> serverLinks;
    std::vector<std::string> storeAddresses(options.nodes, store.address());
    for (std::size_t number = 0; number < links.size(); ++number) {
        serverLinks.push_back(links[number].links);
        storeAddresses[number]
            = store.addressThrough([links = links[number].links](std::string text) {
                  return links->throughProxies(std::move(text));
              });
    }
    SoakServers servers(store, log,
                        { .disturbances = options.disturbances, .zones = options.zones.size() },
                        serverLinks, random());
    LastConfiguration last;
    last.keepsKeys = !options.earlierProgram.empty();
    last.longBodies = options.longBodies;
    last.cacheStore = servers.cacheStoreAddress();
    store.sendEra(1);
    {
        const std::lock_guard lock(last.mutex);
        writeConfiguration(store, last, soakConfiguration(1, random));
    }
    const std::vector<std::shared_ptr<NodeProcess>> nodes = startNodes(options, storeAddresses);
    ServerLinks callerLinks(options.callerDelay);
    for (const auto &node : nodes) {
        if (options.callerDelay > Duration::zero()) {
            callerLinks.addServer(node->listenAddress());
            node->setReachedAt(callerLinks.proxyAddress(node->listenAddress()));
        }
    }
    std::optional<NodeAllotment> allotment;
    if (options.processorShare < 1 || options.memoryMb > 0) {
        allotment.emplace(nodes,
                          NodeAllotment::Options { .processorShare = options.processorShare,
                                                   .memoryMb = options.memoryMb });
    }
    std::this_thread::sleep_for(StartTime);

    std::atomic<bool> stopping { false };
    std::atomic<bool> faultsOver { false };
    FaultCounts counts;
    const int storeCalls = store.calls();
    const std::vector<std::unique_ptr<SoakClient>> clients
        = makeClients(options, nodes, last, random);
    std::vector<std::thread> callerThreads;
    callerThreads.reserve(clients.size());
    for (const auto &client : clients) {
        const std::atomic<bool> &end = client->endsWithFaults() ? faultsOver : stopping;
        callerThreads.emplace_back([client = client.get(), &end] { client->run(end); });
    }
    injectFaults(options, nodes, links, store, servers, last, random, counts);
    servers.endOwnFaults();
    faultsOver = true;
    const Instant faultsEnded = std::chrono::steady_clock::now();
    counts.storeCalls = store.calls() - storeCalls;
    std::this_thread::sleep_for(RecoveryTime);
    stopping = true;
    for (std::thread &thread : callerThreads) {
        thread.join();
    }

    SoakObservations observations { .runs = log.runs(),
                                    .crashes = log.crashes(),
                                    .arrivals = log.arrivals(),
                                    .servingSpans = log.servingSpans(),
                                    .silences = log.silences(),
                                    .spoiled = log.spoiled(),
                                    .routeTimeouts = routeTimeouts(last),
                                    .linkCuts = counts.linkCuts,
                                    .cacheUses = log.cacheUses(),
                                    .cacheReads = log.cacheReads(),
                                    .cacheAddresses = servers.cacheAddresses(),
                                    .cacheStoreAddress = servers.cacheStoreAddress(),
                                    .callersEnded = faultsEnded + RecoveryTime,
                                    .storeDisturbances = counts.storeDisturbances,
                                    .weightsSet = counts.weightsSet,
                                    .endlessRequests = counts.endlessRequests };
    for (const auto &node : nodes) {
        observations.disturbances[node->name()] = node->disturbances();
        observations.stops[node->name()] = node->stops();
        observations.kills[node->name()] = node->killMoments();
        observations.logGaps[node->name()] = node->logGaps();
        observations.logLosses[node->name()] = node->logLosses();
        readNodeLog(node->name(), node->loggedLines(), observations.nodeLog);
    }
    std::vector<Violation> unserved;
    for (std::size_t number = 0; number < clients.size(); ++number) {
        const std::vector<CallerRecord> &records = clients[number]->records();
        observations.records.insert(observations.records.end(), records.begin(), records.end());
        if (number < options.clients && !servedSince(records, faultsEnded)) {
            unserved.push_back(
                { .check = "unserved-caller", .text = unservedCaller(records, faultsEnded) });
        }
    }
    writeRequestTrace(options.folder + "/requests.jsonl", observations);
    SoakReport report = makeReport(observations, counts);
    report.largestMb = allotment.has_value() ? allotment->largestMb() : 0;
    report.longestStop = allotment.has_value() ? allotment->longestStop() : Duration::zero();
    for (const auto &node : nodes) {
        for (unsigned number = 0; number < node->endsOverMemory(); ++number) {
            report.violations.push_back({ .check = "over-memory",
                                          .text = "a process of " + node->nameWithBuild()
                                              + " took more than "
                                              + std::to_string(options.memoryMb) + " MB" });
        }
        for (const int signal : node->fatalSignals()) {
            report.violations.push_back({ .check = "unexpected-end",
                                          .text = "a process of " + node->nameWithBuild()
                                              + " ended by signal " + std::to_string(signal) });
        }
    }
    report.violations.insert(report.violations.end(), unserved.begin(), unserved.end());
    return report;
}

} // namespace jacinthroad
