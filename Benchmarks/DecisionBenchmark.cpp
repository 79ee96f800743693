// Measures how the cost of routing decisions grows with the size of the system. docs/CAPACITY.md
// uses the slopes. Run build/Benchmarks/DecisionBenchmark.

#include <memory>
#include <string>

#include <benchmark/benchmark.h>

#include "Claims/ClaimCoordinator.h"
#include "Configuration/Configuration.h"
#include "Node/PeerExchange.h"
#include "PeerLink/PeerMessage.h"
#include "Placement/ServerPool.h"
#include "Routing/Dispatcher.h"

using namespace jacinthroad;

namespace {

const ModelId ModelName { std::string("m") };

std::vector<ServerInfo> servers(std::size_t count)
{
    std::vector<ServerInfo> serverInfos;
    for (std::size_t index = 0; index < count; ++index) {
        serverInfos.push_back({ .id = ServerId("server-" + std::to_string(index)),
                                .model = ModelName,
                                .slots = 64,
                                .prefillTokensPerMs = 16 });
    }
    return serverInfos;
}

RequestArrived request(std::uint64_t number, std::uint64_t teams, std::size_t blocks, Instant now)
{
    RequestArrived arrived;
    arrived.info.id = RequestId("r" + std::to_string(number));
    arrived.info.team = TeamId("t" + std::to_string(number % teams));
    arrived.info.model = ModelName;
    for (std::size_t block = 0; block < blocks; ++block) {
        // One of 1000 shared prefixes, followed by four blocks that are unique to the request.
        const std::uint64_t seed = block + 4 < blocks ? number % 1000 : number + 1000000;
        arrived.info.blocks.push_back((seed + 1) * 0x9e3779b97f4a7c15ULL + block);
    }
    arrived.info.promptTokens = static_cast<std::uint32_t>(blocks * 64);
    arrived.info.maxOutputTokens = 64;
    arrived.info.fingerprint = number;
    arrived.info.arrived = now;
    return arrived;
}

/// The events of one request: arrival, first token, end.
void wholeRequest(benchmark::State &state)
{
    const auto serverCount = static_cast<std::size_t>(state.range(0));
    const auto teams = static_cast<std::uint64_t>(state.range(1));
    Dispatcher dispatcher({});
    dispatcher.configure(servers(serverCount), { { ModelName, ModelSettings {} } });
    Instant now = Instant() + std::chrono::hours(1);
    std::uint64_t number = 0;
    for (auto _ : state) {
        now += std::chrono::milliseconds(5);
        const RequestArrived arrived = request(++number, teams, 64, now);
        for (const auto &effect : dispatcher.handle(arrived, now)) {
            if (const auto *start = std::get_if<StartAttempt>(&effect)) {
                benchmark::DoNotOptimize(dispatcher.handle(
                    FirstTokenReceived { .id = start->id, .attempt = start->attempt }, now));
                benchmark::DoNotOptimize(
                    dispatcher.handle(AttemptEnded { .id = start->id,
                                                     .attempt = start->attempt,
                                                     .end = AttemptEnd::Completed,
                                                     .deliveredTokens = 60,
                                                     .promptTokens = 4096,
                                                     .cachedTokens = 3840 },
                                      now));
            }
        }
        benchmark::DoNotOptimize(dispatcher.takeStoredBlocks());
    }
    state.counters["index_blocks"] = static_cast<double>(dispatcher.index().size());
    state.counters["index_bytes"] = static_cast<double>(dispatcher.index().memoryBytes());
}
BENCHMARK(wholeRequest)
    ->ArgNames({ "servers", "teams" })
    ->Args({ 18, 8 })
    ->Args({ 120, 8 })
    ->Args({ 600, 8 })
    ->Args({ 120, 660 })
    ->Args({ 120, 6600 });

/// Memory of the prefix index per block.
void indexOfBlocks(benchmark::State &state)
{
    const auto blocks = static_cast<std::uint64_t>(state.range(0));
    for (auto _ : state) {
        PrefixIndex index({ .capacityBlocks = blocks * 2 });
        index.resize(120);
        for (std::uint64_t key = 0; key < blocks; ++key) {
            const BlockKey hashed = key * 0x9e3779b97f4a7c15ULL;
            index.noteStored(static_cast<ServerSlot>(key % 120), std::span(&hashed, 1),
                             Instant() + std::chrono::hours(1));
        }
        state.counters["bytes_per_block"]
            = static_cast<double>(index.memoryBytes()) / static_cast<double>(index.size());
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(indexOfBlocks)->Arg(10000)->Arg(100000)->Arg(1000000)->Unit(benchmark::kMillisecond);

/// A tick of the dispatcher with many queued requests, as in a demand peak.
void tickWithWaiting(benchmark::State &state)
{
    Dispatcher dispatcher({});
    dispatcher.configure(servers(18),
                         { { ModelName, ModelSettings { .firstTokenLimitMs = 1e9 } } });
    const Instant now = Instant() + std::chrono::hours(1);
    for (std::uint64_t number = 0; number < static_cast<std::uint64_t>(state.range(0)) + 1500;
         ++number) {
        benchmark::DoNotOptimize(dispatcher.handle(request(number, 64, 64, now), now));
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(dispatcher.handle(Tick {}, now));
    }
    state.counters["waiting"] = static_cast<double>(dispatcher.queuedRequests());
}
BENCHMARK(tickWithWaiting)->Arg(100)->Arg(1000)->Arg(4000)->Unit(benchmark::kMicrosecond);

/// The cost per claim of writes that combine several claims.
void claimInGroup(benchmark::State &state)
{
    const auto group = static_cast<std::uint64_t>(state.range(0));
    const Instant now = Instant() + std::chrono::hours(1);
    std::uint64_t number = 0;
    std::uint64_t version = 0;
    for (auto _ : state) {
        ClaimCoordinator coordinator({});
        std::string text;
        for (std::uint64_t index = 0; index < group; ++index) {
            const std::string name = std::to_string(++number);
            benchmark::DoNotOptimize(
                coordinator.handle(ClaimRequest { .id = RequestId(name),
                                                  .shard = "s",
                                                  .key = "t/" + name,
                                                  .bodyHash = std::string(64, 'b'),
                                                  .nonce = name,
                                                  .nowMs = 1,
                                                  .deadline = now },
                                   now));
        }
        for (const auto &effect :
             coordinator.handle(ShardReadCompleted { .shard = "s", .responded = true }, now)) {
            if (const auto *write = std::get_if<WriteShard>(&effect)) {
                text = write->text;
            }
        }
        benchmark::DoNotOptimize(coordinator.handle(
            ShardWriteCompleted {
                .shard = "s", .writeOutcome = ShardWriteOutcome::Written, .version = ++version },
            now));
        state.counters["bytes_per_claim"] = static_cast<double>(text.size()) / double(group);
        state.counters["writes_per_1000"] = 1000.0 * double(coordinator.writes()) / double(group);
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(claimInGroup)->Arg(1)->Arg(10)->Arg(100)->Unit(benchmark::kMicrosecond);

/// Validating and parsing the complete configuration, as after a patch.
void configurationOfTeams(benchmark::State &state)
{
    Json::Value document;
    for (int team = 0; team < state.range(0); ++team) {
        std::string digest = std::to_string(team);
        digest.insert(0, 64 - digest.size(), '0');
        document["teams"]["team-" + std::to_string(team)]["key_sha256"].append(digest);
    }
    document["models"]["m"]["version"] = "v1";
    for (int server = 0; server < 600; ++server) {
        Json::Value &entry = document["backend_servers"]["s" + std::to_string(server)];
        entry["zone"] = "z";
        entry["url"] = "http://127.0.0.1:1";
        entry["model"] = "m";
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(checkConfiguration(document));
        benchmark::DoNotOptimize(readConfiguration(document, 1));
    }
}
BENCHMARK(configurationOfTeams)->Arg(8)->Arg(660)->Arg(6600)->Unit(benchmark::kMillisecond);

/// Encoding and decoding a peer message that reports the node's load on many busy servers.
void peerDatagram(benchmark::State &state)
{
    PeerMessage message { .identity = { .node = NodeId("entry-100"),
                                        .zone = ZoneId("zone"),
                                        .address = "10.0.0.1:8082",
                                        .operatorUrl = "http://10.0.0.1:8081" } };
    for (int server = 0; server < state.range(0); ++server) {
        message.loads.push_back({ .server = 0x9e3779b9U * static_cast<unsigned>(server + 1),
                                  .inFlight = 3,
                                  .waitingPrefill = 900 });
    }
    std::string encoded;
    for (auto _ : state) {
        encoded = encodePeerMessage(message, "a key of sixteen or more");
        benchmark::DoNotOptimize(decodePeerMessage(encoded, "a key of sixteen or more"));
    }
    state.counters["bytes"] = static_cast<double>(encoded.size());
}
BENCHMARK(peerDatagram)->Arg(0)->Arg(18)->Arg(60)->Arg(120);

/// The gateway's choice of a server for a prompt with several shared parts, and the bookkeeping of
/// the request until its end.
void placing(benchmark::State &state)
{
    const ServiceId service("engines");
    ServerPool pool({ .zone = ZoneId("z") });
    pool.applyServices(std::vector<ServiceDefinition> {
        { .name = service, .engine = EngineCapacity { .slots = 64, .cacheTokens = 126000 } } });
    Instant now = Instant() + std::chrono::hours(1);
    for (int index = 0; index < state.range(0); ++index) {
        const std::string name = "server-" + std::to_string(index);
        pool.applyServer({ .id = ServerId(name),
                           .service = service,
                           .address = name,
                           .zone = ZoneId("z"),
                           .slots = 64,
                           .models = { { ModelName, 1 } },
                           .bootedAt = 1 },
                         now);
    }
    std::uint64_t number = 0;
    for (auto _ : state) {
        ++number;
        now += milliseconds(1);
        std::vector<PromptPart> parts;
        for (std::uint64_t part = 0; part < static_cast<std::uint64_t>(state.range(1)); ++part) {
            parts.push_back({ (number % 1000) * 64 + part, 2000 });
        }
        const PlacementRequest request {
            .service = service, .model = ModelName, .parts = parts, .promptTokens = 9000
        };
        const auto chosen = pool.choose(request, now);
        const auto &placement = std::get<Placement>(chosen);
        pool.noteSent(placement.server, request, placement.cachedPromptTokens, now);
        pool.noteReceived(placement.server, now);
        pool.noteFirstByte(placement.server, request, 1, 9000);
        pool.noteEnd(placement.server, AttemptOutcome::Served, 0, now);
        benchmark::DoNotOptimize(pool.takeServerUpdates(now, 80));
    }
}
BENCHMARK(placing)
    ->ArgNames({ "servers", "parts" })
    ->Args({ 18, 2 })
    ->Args({ 140, 2 })
    ->Args({ 600, 2 })
    ->Args({ 140, 8 })
    ->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
