#include "SoakServers.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include <json/value.h>

#include "Core/Json.h"
#include "ServerResponse.h"
#include "SoakTraffic.h"

namespace jacinthroad {

namespace {

constexpr const char *PlainService = "plain";
constexpr const char *EngineService = "engines";
constexpr int PlainServers = 4;
constexpr int EngineServers = 7;
constexpr int EngineServersWithCacheEvents = 12;
/// A server crashes by chance only if so many others of its service run.
constexpr int LeastRunningServers = 3;

/// Longest wait for a slot of a request that states no time.
constexpr int LongestQueueMs = 3000;
/// Length of a body that doesn't end.
constexpr std::size_t EndlessLength = 1ULL << 50;
/// Longer than the time limit of any request.
/// Time from an order until new weights are loaded.
constexpr Duration LoadTime = milliseconds(1500);
constexpr Duration LongestEndlessResponse = std::chrono::seconds(20);

std::string versionName(int number)
{
    return "v1." + std::to_string(number);
}

} // namespace

std::string soakZone(std::size_t number)
{
    return "zone-" + std::to_string(number);
}

SoakServers::SoakServers(StoreStandIn &store, RunLog &log, const Options &options,
                         std::vector<std::shared_ptr<ServerLinks>> links, std::uint64_t seed)
    : store_(store)
    , log_(log)
    , disturbances_(options.disturbances)
    , zones_(options.zones)
    , links_(std::move(links))
    , seed_(seed)
    , random_(seed)
    , storedParts_(seed)
{
    const bool cacheEvents = disturbances_.contains(Disturbance::CacheEvents);
    if (cacheEvents) {
        startCacheStore();
    }
    for (int number = 0; number < PlainServers; ++number) {
        startBoot(PlainService, "p" + std::to_string(number), 1, versionName(newestVersion_));
    }
    for (int number = 0; number < (cacheEvents ? EngineServersWithCacheEvents : EngineServers);
         ++number) {
        startBoot(EngineService, "e" + std::to_string(number), 1, versionName(newestVersion_));
    }
    maintenance_ = std::thread([this] { maintain(); });
}

SoakServers::~SoakServers()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    maintenance_.join();
    std::vector<std::unique_ptr<Boot>> boots;
    {
        const std::lock_guard lock(mutex_);
        boots = std::move(boots_);
    }
    for (const auto &boot : boots) {
        boot->up = false;
    }
    storeUp_ = false;
}

void SoakServers::startBoot(const std::string &service, const std::string &id, int number,
                            const std::string &version)
{
    auto boot = std::make_unique<Boot>();
    boot->service = service;
    boot->id = id;
    boot->number = number;
    boot->version = version;
    boot->name = id + "/" + std::to_string(number);
    boot->server = std::make_unique<ScriptedServer>(
        [this, boot = boot.get()](ScriptedConnection &connection) { serve(*boot, connection); });
    for (const auto &links : links_) {
        links->addServer(boot->server->address());
    }
    boot->up = true;
    Boot *started = boot.get();
    {
        const std::lock_guard lock(mutex_);
        boots_.push_back(std::move(boot));
    }
    if (service == EngineService) {
        log_.noteServing(started->name, version);
    }
    putEntry(*started);
}

void SoakServers::putEntry(const Boot &boot)
{
    Json::Value spec;
    spec["service"] = boot.service;
    spec["address"] = boot.server->address();
    spec["zone"] = zones_ == 0 ? "z" : soakZone(std::stoul(boot.id.substr(1)) % zones_);
    spec["version"] = boot.version;
    const bool fewSlots
        = boot.service == PlainService && disturbances_.contains(Disturbance::FullServers);
    spec["slotCount"] = fewSlots ? SoakSlots::Count : 8;
    // A server that leaves may not have reported it, or the report may not have arrived.
    spec["state"] = boot.leaving && boot.number % 2 == 0 ? "draining" : "ready";
    spec["coldLeftMs"] = 0;
    spec["born"] = boot.number;
    spec["seq"] = 1;
    if (boot.service == EngineService) {
        Json::Value model;
        model["name"] = "m";
        model["version"] = weightsOf(boot);
        spec["models"].append(model);
    }
    store_.put("servers", boot.id, spec);
}

void SoakServers::registerAgain()
{
    std::vector<const Boot *> up;
    std::vector<std::string> gone;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &boot : boots_) {
            if (boot->up) {
                up.push_back(boot.get());
            }
        }
        for (const auto &boot : boots_) {
            if (std::none_of(up.begin(), up.end(),
                             [&](const Boot *other) { return other->id == boot->id; })) {
                gone.push_back(boot->id);
            }
        }
    }
    for (const std::string &id : gone) {
        store_.remove("servers", id);
    }
    for (const Boot *boot : up) {
        putEntry(*boot);
    }
}

std::string SoakServers::entryName(std::uint64_t choice)
{
    const std::lock_guard lock(mutex_);
    return boots_[choice % boots_.size()]->id;
}

void SoakServers::startAgain(const Start &start)
{
    const Boot &former = *start.former;
    bool sameId = false;
    std::string version = start.version;
    {
        const std::lock_guard lock(mutex_);
        sameId = between(random_, 0, 1) == 0;
        if (version.empty()) {
            const bool other = former.service == EngineService && between(random_, 1, 4) == 1;
            version = other ? versionName(newestVersion_) : former.version;
        }
    }
    const int number = former.number + 1;
    if (!sameId) {
        store_.remove("servers", former.id);
    }
    const std::string id
        = sameId ? former.id : former.id.substr(0, 2) + "-" + std::to_string(number);
    startBoot(former.service, id, number, version);
}

void SoakServers::release(double share, Duration gap, bool overlapping)
{
    const std::lock_guard lock(mutex_);
    const std::string version = versionName(++newestVersion_);
    std::vector<Boot *> older;
    for (const auto &boot : boots_) {
        if (boot->up && !boot->leaving && boot->service == EngineService) {
            older.push_back(boot.get());
        }
    }
    std::shuffle(older.begin(), older.end(), random_);
    older.resize(static_cast<std::size_t>(std::ceil(share * static_cast<double>(older.size()))));
    Instant at = std::chrono::steady_clock::now();
    for (Boot *boot : older) {
        replacements_.push_back(
            { .at = at, .boot = boot, .version = version, .overlapping = overlapping });
        at += gap;
    }
}

void SoakServers::replace(const Replacement &replacement)
{
    Boot &boot = *replacement.boot;
    if (!boot.up || boot.leaving.exchange(true)) {
        return;
    }
    log_.noteServingEnded(boot.name);
    putEntry(boot);
    if (replacement.overlapping) {
        boot.replaced = true;
        startBoot(boot.service, boot.id.substr(0, 2) + "-" + replacement.version, boot.number + 1,
                  replacement.version);
    }
    const std::lock_guard lock(mutex_);
    statementEnds_.push_back({ .at = std::chrono::steady_clock::now() + LeavingTime,
                               .boot = &boot,
                               .version = replacement.version });
}

bool SoakServers::doDue(std::unique_lock<std::mutex> &lock)
{
    const auto takeDue = [now = std::chrono::steady_clock::now()](auto &all) {
        const auto due
            = std::find_if(all.begin(), all.end(), [&](const auto &one) { return one.at <= now; });
        using One = typename std::decay_t<decltype(all)>::value_type;
        std::optional<One> taken;
        if (due != all.end()) {
            taken = *due;
            all.erase(due);
        }
        return taken;
    };
    const auto without = [&](const auto &action) {
        lock.unlock();
        action();
        lock.lock();
        return true;
    };
    if (const auto ended = takeDue(statementEnds_)) {
        return without([&] { endStatement(*ended); });
    }
    if (const auto replacement = takeDue(replacements_)) {
        return without([&] { replace(*replacement); });
    }
    if (const auto start = takeDue(starts_)) {
        return without([&] { startAgain(*start); });
    }
    return false;
}

void SoakServers::maintain()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        beginStatement();
        beginSilence();
        restartCacheStore();
        if (!doDue(lock)) {
            changed_.wait_for(lock, milliseconds(20));
        }
    }
}

bool SoakServers::crash(Boot &boot, bool byDeadlyPart, bool byDeadlyKey,
                        const std::string &nextVersion)
{
    if (!boot.up.exchange(false)) {
        return false;
    }
    log_.noteCrash(boot.name, byDeadlyPart, byDeadlyKey);
    for (const auto &links : links_) {
        links->endServer(boot.server->address());
    }
    boot.server->crash();
    log_.noteProcessEnded(boot.name);
    if (boot.replaced) {
        store_.remove("servers", boot.id);
        return true;
    }
    const std::lock_guard lock(mutex_);
    starts_.push_back(
        { .at = std::chrono::steady_clock::now() + milliseconds(between(random_, 1500, 4000)),
          .former = &boot,
          .version = nextVersion });
    return true;
}

bool SoakServers::mayCrash(const Boot &boot)
{
    const std::lock_guard lock(mutex_);
    return std::count_if(
               boots_.begin(), boots_.end(),
               [&](const auto &other) { return other->up && other->service == boot.service; })
        > LeastRunningServers;
}

void SoakServers::serve(Boot &boot, ScriptedConnection &connection)
{
    ReceivedRequest request;
    LateState late;
    while (connection.read(request) && boot.up) {
        const Instant cameAt = std::chrono::steady_clock::now();
        // A silent server reads nothing: a request that comes begins after the silence.
        write(boot, connection, late.bytes);
        if (late.spoilsNext) {
            log_.noteSpoiled(std::string(request["X-Request-Id"]));
        }
        late = {};
        if (disturbances_.contains(Disturbance::CacheEvents)
            && request.target().starts_with("/-/kv-")) {
            if (request.target().starts_with("/-/kv-events")) {
                log_.noteCacheRead({ .boot = boot.name, .at = std::chrono::steady_clock::now() });
            }
            if (!respondOfCache(boot.cache, boot.up, connection, request)) {
                return;
            }
            continue;
        }
        if (request.target().starts_with("/-/")) {
            respondToControl(boot, connection, request);
            continue;
        }
        if (!respond(boot, connection, request, cameAt, late)) {
            return;
        }
    }
}

int SoakServers::weightsOf(const Boot &boot)
{
    return std::chrono::steady_clock::now() < boot.loadedAt.load() ? boot.weights
                                                                   : boot.orderedWeights;
}

void SoakServers::respondToControl(Boot &boot, ScriptedConnection &connection,
                                   const ReceivedRequest &request)
{
    const bool ordered = request.target() == "/-/order"
        && disturbances_.contains(Disturbance::NewWeights) && boot.service == EngineService;
    const bool busy = std::chrono::steady_clock::now() < boot.loadedAt.load();
    if (ordered && !busy) {
        boot.weights = weightsOf(boot);
        boot.loadedAt = std::chrono::steady_clock::now() + LoadTime;
        boot.orderedWeights = (*parseJson(request.body()))["version"].asInt();
        ++boot.orders;
    }
    if (request.target() != "/-/report") {
        const unsigned refused = busy ? 409 : 404;
        write(boot, connection, responseText(ordered && !busy ? 202 : refused, "", ""));
        return;
    }
    Json::Value report;
    report["born"] = boot.number;
    if (disturbances_.contains(Disturbance::NewWeights) && boot.service == EngineService) {
        Json::Value model;
        model["name"] = "m";
        model["version"] = weightsOf(boot);
        report["models"].append(model);
        report["busy"] = busy;
        report["seq"] = boot.orders.load();
        putEntry(boot);
    }
    write(boot, connection, responseText(200, "", writeJson(report)));
}

bool SoakServers::respond(Boot &boot, ScriptedConnection &connection,
                          const ReceivedRequest &request, Instant cameAt, LateState &late)
{
    const std::string id(request["X-Request-Id"]);
    if (request.count("X-Expect-Version") > 0
        && std::stoi(std::string(request["X-Expect-Version"])) != weightsOf(boot)) {
        write(boot, connection,
              responseText(421, "X-Not-Run: 1\r\nX-Request-Id: " + id + "\r\n", ""));
        return true;
    }
    ServerArrival arrival = statementOf(boot, id);
    arrival.cameAt = cameAt;
    if (arrival.pausedUntil != Instant()) {
        reject(boot, connection, arrival);
        return true;
    }
    if (ownFaults_ && boot.rejectsUntil.load() > arrival.at) {
        std::this_thread::sleep_for(milliseconds(boot.rejectsAfterMs.load()));
        reject(boot, connection, arrival);
        return true;
    }
    const bool byKey = request.count(DeadlyKeyHeader) > 0;
    if (byKey
        || (disturbances_.contains(Disturbance::DeadlyPart)
            && hasDeadlyPart(std::string(request["X-Prompt-Prefix"])))) {
        log_.noteArrival(arrival);
        crashByRequest(boot, connection, request, byKey);
        return false;
    }
    if (boot.service != PlainService || !disturbances_.contains(Disturbance::FullServers)) {
        return run(boot, connection, request, std::move(arrival), late);
    }
    const int limitMs = request.count("X-Deadline-Ms") > 0
        ? std::stoi(std::string(request["X-Deadline-Ms"]))
        : LongestQueueMs;
    const bool taken = boot.slots.take(arrival.at + milliseconds(limitMs), boot.up);
    arrival.load = boot.slots.load();
    if (!taken) {
        reject(boot, connection, arrival);
        return true;
    }
    const bool goesOn = run(boot, connection, request, std::move(arrival), late);
    boot.slots.release();
    return goesOn;
}

bool SoakServers::run(Boot &boot, ScriptedConnection &connection, const ReceivedRequest &request,
                      ServerArrival arrival, LateState &late)
{
    const std::string id = arrival.requestId;
    noteCacheUse(boot, request);
    const bool stream = isStream(std::string(request.target()));
    const std::size_t run = log_.noteStarted(id, boot.name, false);
    if (boot.service == EngineService) {
        log_.noteWeights(run, weightsOf(boot));
    }
    const std::string attempt = id + "/" + std::to_string(log_.runCount(id));
    ResponseFaults faults { .breakOff = ownFaults_ && disturbances_.contains(Disturbance::BreakOff),
                            .secondResponse
                            = ownFaults_ && disturbances_.contains(Disturbance::SecondResponse),
                            .numberEndless = {},
                            .crash = mayCrash(boot) };
    if (ownFaults_ && disturbances_.contains(Disturbance::EndlessResponses)) {
        faults.numberEndless = [&] { return stream ? endlessStreams_++ : endlessBodies_++; };
    }
    const std::string resumeAfter(request["Last-Event-Id"]);
    const std::vector<std::string> pieces
        = piecesOf(streamOfPath(std::string(request.target())), stream, resumeAfter, boot.version);
    ResponsePlan plan
        = planResponse(pieces, stream, faults, seed_ ^ std::hash<std::string>()(attempt));
    if (request.count(PieceTimeHeader) > 0) {
        plan.pieceTime = milliseconds(std::stoi(std::string(request[PieceTimeHeader])));
    }
    if (request.count(WorkTimeHeader) > 0) {
        plan.workTime = milliseconds(std::stoi(std::string(request[WorkTimeHeader])));
    }
    if (plan.delimiter == Delimiter::ConnectionEnd) {
        log_.noteDelimitedByClose(run);
    }
    if (plan.end != ResponseEnd::Whole) {
        log_.noteBrokenOff(run);
    }
    if (plan.endless != nullptr) {
        log_.noteEndless(run, plan.endless - endlessForms().data(), plan.status);
    }
    std::this_thread::sleep_for(plan.workTime);
    if (plan.header) {
        std::size_t length = plan.endless == nullptr ? 0 : EndlessLength;
        for (const std::string &piece : pieces) {
            length += piece.size();
        }
        write(boot, connection, serverHeader(plan, id, stream, length, arrival));
        arrival.answeredAt = std::chrono::steady_clock::now();
    }
    log_.noteArrival(arrival);
    for (const std::string &piece : plan.pieces) {
        std::this_thread::sleep_for(plan.pieceTime);
        write(boot, connection, plan.delimiter == Delimiter::Chunks ? chunkOf(piece) : piece);
    }
    if (!endResponse(boot, connection, run, plan)) {
        return false;
    }
    const std::string bytes = lateBytesText(plan.lateBytes, id);
    late.spoilsNext = !bytes.empty();
    if (plan.lateWithNextResponse) {
        late.bytes = bytes;
    } else if (!bytes.empty()) {
        std::this_thread::sleep_for(plan.lateBy);
        write(boot, connection, bytes);
    }
    return plan.lateBytes != LateBytes::CutSecondResponse && !plan.connectionClose;
}

bool SoakServers::endResponse(Boot &boot, ScriptedConnection &connection, std::size_t run,
                              const ResponsePlan &plan)
{
    switch (plan.end) {
    case ResponseEnd::Reset:
        // A reset discards bytes that the node has not read yet.
        std::this_thread::sleep_for(plan.pieceTime);
        connection.reset();
        return false;
    case ResponseEnd::Close:
        return false;
    case ResponseEnd::Crash:
        crash(boot, false);
        return false;
    case ResponseEnd::Endless:
        writeEndlessly(boot, connection, plan);
        connection.reset();
        return false;
    case ResponseEnd::Whole:
        break;
    }
    if (plan.delimiter == Delimiter::Chunks) {
        write(boot, connection, "0\r\n\r\n");
    }
    log_.noteFinished(run);
    return plan.delimiter != Delimiter::ConnectionEnd;
}

void SoakServers::writeEndlessly(const Boot &boot, ScriptedConnection &connection,
                                 const ResponsePlan &plan) const
{
    constexpr std::size_t EnoughBytes = 256 * 1024 * 1024;
    const Instant end = std::chrono::steady_clock::now() + LongestEndlessResponse;
    const std::string block = endlessBlock(*plan.endless);
    connection.write(std::string(plan.endless->begin));
    for (std::size_t written = 0; written < EnoughBytes && boot.up && ownFaults_
         && std::chrono::steady_clock::now() < end && !connection.waitForClose(milliseconds(0));) {
        const std::string bytes = block.substr(written % block.size(), plan.endlessBytes);
        connection.write(bytes);
        written += bytes.size();
        std::this_thread::sleep_for(plan.endlessTime);
    }
}

void SoakServers::crashByRequest(Boot &boot, ScriptedConnection &connection,
                                 const ReceivedRequest &request, bool byKey)
{
    const std::string id(request["X-Request-Id"]);
    const bool stream = isStream(std::string(request.target()));
    static_cast<void>(log_.noteStarted(id, boot.name, !byKey, byKey));
    const ResponsePlan plan = planResponse(soakResponsePieces(id, stream), stream, {},
                                           seed_ ^ std::hash<std::string>()(id));
    std::this_thread::sleep_for(plan.workTime);
    // Some servers end before their first byte is sent, some after it.
    const auto stage = std::hash<std::string>()(id) % 3;
    if (stage > 0) {
        write(boot, connection,
              serverHeader(plan, id, stream, soakResponseBody(id, stream).size(), {}));
    }
    if (stage > 1) {
        const std::string part = plan.pieces.front().substr(0, plan.pieces.front().size() / 2);
        write(boot, connection, plan.delimiter == Delimiter::Chunks ? chunkOf(part) : part);
    }
    crash(boot, !byKey, byKey);
}

} // namespace jacinthroad
