#include "SoakRun.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <memory>
#include <random>
#include <thread>

#include <json/value.h>

#include "Core/Json.h"
#include "NodeProcess.h"
#include "ScriptedServer.h"
#include "SoakClient.h"
#include "SoakJudge.h"
#include "StoreStandIn.h"

namespace jacinthroad {

namespace {

namespace http = boost::beast::http;
using ReceivedRequest = http::request<http::string_body>;

constexpr unsigned ServerCount = 3;
constexpr Duration StopGrace = std::chrono::seconds(5);
/// Time between the end of the faults and the end of the callers. Each caller must be served in it.
/// It covers two of the longest pauses, as the first request may find its idle connection closed.
constexpr Duration RecoveryTime = std::chrono::seconds(6);
constexpr Duration StartTime = std::chrono::seconds(2);
/// Idle limits that configurations set in turn; the longest is that of the first.
constexpr std::array<int, 4> IdleTimeoutsMs { 3000, 300, 1200, 600 };
/// Callers reuse a connection for this part of the longest idle limit.
constexpr double ReuseShare = 0.8;

/// Number between `low` and `high` inclusive.
int between(std::mt19937_64 &random, int low, int high)
{
    return low + static_cast<int>(random() % static_cast<std::uint64_t>(high - low + 1));
}

Json::Value configuration(int version)
{
    Json::Value spec = *parseJson(R"({"routes":[
        {"name":"safe","hostname":"h","pathPrefix":"/safe/","kind":"safe","timeoutMs":3000,
         "targetLatencyMs":300,"priority":1,"service":"plain","maxAttempts":2},
        {"name":"unsafe","hostname":"h","pathPrefix":"/unsafe/","kind":"unsafe","timeoutMs":3000,
         "targetLatencyMs":300,"priority":1,"service":"plain","maxAttempts":1},
        {"name":"once","hostname":"h","pathPrefix":"/once/","kind":"streaming","timeoutMs":3000,
         "targetLatencyMs":300,"priority":0,"service":"plain","maxAttempts":1,"resumable":false}],
        "services":[{"name":"plain"}],"tenants":[],
        "limits":{"maxHeaderBytes":8192,"maxBodyBytes":100000,"headerTimeoutMs":1000,
        "idleTimeoutMs":3000}})");
    spec["version"] = version;
    spec["limits"]["idleTimeoutMs"]
        = IdleTimeoutsMs[static_cast<std::size_t>(version - 1) % IdleTimeoutsMs.size()];
    return spec;
}

/// A backend server that works on each request for a short time and responds to it.
std::unique_ptr<ScriptedServer> makeServer(RunCounter &runs, std::uint64_t seed)
{
    return std::make_unique<ScriptedServer>([&runs, seed](ScriptedConnection &connection) {
        std::mt19937_64 random(seed);
        ReceivedRequest request;
        while (connection.read(request)) {
            const std::string id(request["X-Request-Id"]);
            runs.noteStarted(id);
            std::this_thread::sleep_for(milliseconds(between(random, 1, 40)));
            const std::string headers = "X-Request-Id: " + id + "\r\nX-Response-Stamp: stamp\r\n"
                + (request.target().starts_with("/once/") ? "Content-Type: text/event-stream\r\n"
                                                          : "");
            connection.write(responseText(200, headers, soakResponseBody(id)));
        }
    });
}

/// Counts of injected faults, shared by the threads that inject them.
struct FaultCounts
{
    std::atomic<unsigned> stops { 0 };
    std::atomic<unsigned> kills { 0 };
    std::atomic<unsigned> pauses { 0 };
    std::atomic<unsigned> reloads { 0 };
    std::atomic<unsigned> configurations { 0 };
    std::atomic<unsigned> overdueStops { 0 };
};

/// Injects one random fault at a node and waits for its end.
void injectFault(NodeProcess &node, std::mt19937_64 &random, FaultCounts &counts)
{
    switch (between(random, 0, 7)) {
    case 0:
        ++counts.kills;
        node.kill();
        node.start();
        break;
    case 1:
    case 2:
        ++counts.stops;
        node.signal(SIGTERM);
        if (!node.waitForEnd(StopGrace)) {
            ++counts.overdueStops;
            node.kill();
        }
        node.start();
        break;
    case 3:
    case 4:
        ++counts.reloads;
        node.changeSettings(between(random, 10, 30));
        node.signal(SIGHUP);
        break;
    default:
        ++counts.pauses;
        node.signal(SIGSTOP);
        std::this_thread::sleep_for(milliseconds(between(random, 50, 2000)));
        node.signal(SIGCONT);
        break;
    }
}

void injectFaults(NodeProcess &node, std::uint64_t seed, Instant until, FaultCounts &counts)
{
    std::mt19937_64 random(seed);
    for (;;) {
        std::this_thread::sleep_for(milliseconds(between(random, 100, 1500)));
        if (std::chrono::steady_clock::now() >= until) {
            return;
        }
        injectFault(node, random, counts);
    }
}

void changeConfigurations(StoreStandIn &store, std::uint64_t seed, Instant until,
                          FaultCounts &counts)
{
    std::mt19937_64 random(seed);
    for (int version = 2; std::chrono::steady_clock::now() < until; ++version) {
        std::this_thread::sleep_for(milliseconds(between(random, 300, 2500)));
        ++counts.configurations;
        store.put("config", "main", configuration(version));
    }
}

Json::Value serverSpec(const std::string &address)
{
    Json::Value spec;
    spec["service"] = "plain";
    spec["address"] = address;
    spec["zone"] = "z";
    spec["slotCount"] = 64;
    spec["state"] = "ready";
    spec["coldLeftMs"] = 0;
    spec["born"] = 1;
    spec["seq"] = 1;
    return spec;
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
            text += " " + record.id + " at " + record.node + " after "
                + std::to_string(static_cast<int>(toMilliseconds(record.sentAt - moment)))
                + " ms, outcome " + std::to_string(static_cast<int>(record.outcome)) + ", status "
                + std::to_string(record.status) + ";";
        }
    }
    return text;
}

} // namespace

SoakReport runSoak(const SoakOptions &options)
{
    std::filesystem::create_directories(options.folder);
    RunCounter runs;
    StoreStandIn store;
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    for (unsigned number = 0; number < ServerCount; ++number) {
        servers.push_back(makeServer(runs, options.seed + number));
        store.put("servers", "s" + std::to_string(number), serverSpec(servers.back()->address()));
    }
    store.put("config", "main", configuration(1));
    std::vector<std::shared_ptr<NodeProcess>> nodes;
    for (unsigned number = 0; number < options.nodes; ++number) {
        nodes.push_back(std::make_shared<NodeProcess>(
            NodeProcess::Options { .program = options.program,
                                   .folder = options.folder,
                                   .name = "node-" + std::to_string(number),
                                   .storeAddress = store.address(),
                                   .stopGrace = StopGrace }));
        nodes.back()->start();
    }
    std::this_thread::sleep_for(StartTime);

    std::mt19937_64 random(options.seed);
    std::atomic<bool> stopping { false };
    FaultCounts counts;
    std::vector<std::unique_ptr<SoakClient>> clients;
    std::vector<std::thread> callerThreads;
    std::vector<std::thread> faultThreads;
    const Instant until = std::chrono::steady_clock::now() + options.faultTime;
    for (unsigned number = 0; number < options.clients; ++number) {
        clients.push_back(std::make_unique<SoakClient>(
            "c" + std::to_string(number), nodes,
            fromMilliseconds(IdleTimeoutsMs.front() * ReuseShare), random()));
        callerThreads.emplace_back(
            [client = clients.back().get(), &stopping] { client->run(stopping); });
    }
    for (const auto &node : nodes) {
        faultThreads.emplace_back(
            [&node, seed = random(), until, &counts] { injectFaults(*node, seed, until, counts); });
    }
    faultThreads.emplace_back([&store, seed = random(), until, &counts] {
        changeConfigurations(store, seed, until, counts);
    });
    for (std::thread &thread : faultThreads) {
        thread.join();
    }
    const Instant faultsEnded = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(RecoveryTime);
    stopping = true;
    for (std::thread &thread : callerThreads) {
        thread.join();
    }

    SoakReport report { .stops = counts.stops,
                        .kills = counts.kills,
                        .pauses = counts.pauses,
                        .reloads = counts.reloads,
                        .configurations = counts.configurations };
    std::vector<CallerRecord> records;
    for (const auto &client : clients) {
        records.insert(records.end(), client->records().begin(), client->records().end());
        if (!servedSince(client->records(), faultsEnded)) {
            report.violations.push_back(unservedCaller(client->records(), faultsEnded));
        }
    }
    for (const CallerRecord &record : records) {
        ++report.requests;
        report.served += record.status == 200 ? 1 : 0;
        const bool closed = record.outcome == CallerOutcome::ConnectionClosed;
        report.closedNotRun += closed && runs.runs(record.id) == 0 ? 1 : 0;
    }
    for (unsigned number = 0; number < counts.overdueStops; ++number) {
        report.violations.push_back("a node still runs at the end of its grace period");
    }
    const auto found = findViolations(records, runs);
    report.violations.insert(report.violations.end(), found.begin(), found.end());
    return report;
}

} // namespace jacinthroad
