#include "Runners.h"

#include <algorithm>
#include <sstream>

namespace review {

namespace {

constexpr Ms Heartbeat { 1200 };
constexpr int PlainSlots = 6;
constexpr int PlainQueue = 24;
constexpr unsigned PlainBodyBytes = 800;
constexpr double PromptTokensPerMs = 74.8;

Json::Value entryOf(const std::string &service, const std::string &zone, const std::string &address,
                    int slots)
{
    Json::Value spec;
    spec["service"] = service;
    spec["address"] = address;
    spec["zone"] = zone;
    spec["version"] = "v1";
    spec["slotCount"] = slots;
    spec["state"] = "ready";
    spec["coldLeftMs"] = 0;
    spec["born"] = Json::Int64(wallMs());
    spec["seq"] = 1;
    return spec;
}

Json::Value modelList(const std::map<std::string, unsigned> &versions)
{
    Json::Value list(Json::arrayValue);
    for (const auto &[name, version] : versions) {
        Json::Value model;
        model["name"] = name;
        model["version"] = version;
        model["adapters"] = Json::Value(Json::arrayValue);
        list.append(model);
    }
    return list;
}

std::map<std::string, unsigned> firstVersions(const std::vector<std::string> &models)
{
    std::map<std::string, unsigned> versions;
    for (const std::string &model : models) {
        versions[model] = 1;
    }
    return versions;
}

Json::Value engineEntry(const std::string &zone, const std::string &address,
                        const std::vector<std::string> &models)
{
    Json::Value spec = entryOf("orientador", zone, address, 128);
    spec["stage"] = "both";
    spec["models"] = modelList(firstVersions(models));
    return spec;
}

Run runOf(const Message &request, const std::string &runner)
{
    return { .id = headerOf(request.headers, "X-Request-Id"),
             .method = request.method,
             .target = request.target,
             .tenant = headerOf(request.headers, "X-Tenant"),
             .authorization = headerOf(request.headers, "Authorization"),
             .runner = runner,
             .bodyBytes = request.body.size(),
             .at = Clock::now() };
}

/// The rejection of a request that is not for this back end; empty if it is.
std::string rejection(const Message &request, const std::string &id)
{
    const std::string requestId = headerOf(request.headers, "X-Request-Id");
    const std::string expected = headerOf(request.headers, "X-Expect-Instance");
    if (!expected.empty() && expected != id) {
        return responseText(421, { { "X-Request-Id", requestId }, { "X-Instance-Id", id } }, "");
    }
    if (requestId.empty()) {
        return responseText(400, { { "X-Not-Run", "1" } }, "");
    }
    return {};
}

std::string newStamp(const std::string &runner, const std::string &request)
{
    static std::atomic<std::uint64_t> counter { 0 };
    return "s." + std::to_string(++counter) + '.' + runner + '.' + request;
}

} // namespace

std::int64_t wallMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Registration::Registration(Store &store, std::string id, Json::Value spec)
    : store_(store)
    , id_(std::move(id))
    , spec_(std::move(spec))
{
    store_.put("servers", id_, spec_);
    thread_ = std::thread([this] {
        for (auto next = Clock::now() + Heartbeat; !stopping_;) {
            std::this_thread::sleep_for(Ms(50));
            if (Clock::now() >= next) {
                const std::lock_guard lock(mutex_);
                next += Heartbeat;
                spec_["seq"] = spec_["seq"].asUInt64() + 1;
                store_.put("servers", id_, spec_);
            }
        }
    });
}

void Registration::setModels(const Json::Value &models)
{
    const std::lock_guard lock(mutex_);
    spec_["models"] = models;
    spec_["seq"] = spec_["seq"].asUInt64() + 1;
    store_.put("servers", id_, spec_);
}

Registration::~Registration()
{
    stopping_ = true;
    thread_.join();
}

PlainRunner::PlainRunner(Store &store, const Options &options, Record &record)
    : options_(options)
    , record_(record)
    , server_([this](Connection &connection) { serve(connection); })
    , registration_(store, options.id,
                    entryOf(options.service, options.zone, server_.address(), PlainSlots))
{ }

std::vector<Run> PlainRunner::runs()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

void PlainRunner::serve(Connection &connection)
{
    Message request;
    while (connection.readRequest(request)) {
        const std::string id = headerOf(request.headers, "X-Request-Id");
        const auto load = [this] {
            return std::to_string(running_) + ',' + std::to_string(waiting_) + ','
                + std::to_string(PlainSlots);
        };
        if (request.target == "/health") {
            const std::lock_guard lock(mutex_);
            connection.write(responseText(
                200, { { "X-Instance-Id", options_.id }, { "X-Instance-Load", load() } }, ""));
            continue;
        }
        if (const std::string refusal = rejection(request, options_.id); !refusal.empty()) {
            connection.write(refusal);
            continue;
        }
        std::string shown;
        {
            std::unique_lock lock(mutex_);
            if (waiting_ >= PlainQueue) {
                lock.unlock();
                connection.write(responseText(
                    503, { { "X-Request-Id", id }, { "X-Not-Run", "1" } }, ""));
                continue;
            }
            ++waiting_;
            freed_.wait(lock, [this] { return running_ < PlainSlots; });
            --waiting_;
            if (connection.closedByPeer()) {
                freed_.notify_one();
                return;
            }
            ++running_;
            shown = load();
            runs_.push_back(runOf(request, options_.id));
        }
        record_.line("ran  " + id + " " + request.method + ' ' + request.target + " at "
                     + options_.id + ", X-Tenant '" + headerOf(request.headers, "X-Tenant") + "', "
                     + std::to_string(request.body.size()) + " bytes");
        std::this_thread::sleep_for(options_.work);
        {
            const std::lock_guard lock(mutex_);
            --running_;
            freed_.notify_one();
        }
        connection.write(responseText(200,
                                      { { "X-Request-Id", id },
                                        { "X-Response-Stamp", newStamp(options_.id, id) },
                                        { "X-Instance-Load", shown } },
                                      std::string(PlainBodyBytes, 'r')));
    }
}

Engine::Engine(Store &store, const Options &options, Record &record)
    : options_(options)
    , record_(record)
    , versions_(firstVersions(options.models))
    , server_([this](Connection &connection) { serve(connection); })
    , registration_(store, options.id,
                    engineEntry(options.zone, server_.address(), options.models))
{ }

unsigned Engine::version(const std::string &model)
{
    const std::lock_guard lock(mutex_);
    return versions_[model];
}

std::vector<Run> Engine::runs()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::vector<ForeignUse> Engine::foreignUses()
{
    const std::lock_guard lock(mutex_);
    return foreignUses_;
}

void Engine::serve(Connection &connection)
{
    Message request;
    while (connection.readRequest(request)) {
        const std::string path = request.target.substr(0, request.target.find('?'));
        if (path == "/health") {
            connection.write(responseText(200, { { "X-Instance-Id", options_.id } }, ""));
        } else if (path == "/-/report") {
            connection.write(report());
        } else if (path == "/-/kv-events") {
            connection.write(events(request));
        } else if (path == "/-/order") {
            connection.write(order(request));
        } else if (path.starts_with("/-/")) {
            connection.write(responseText(404, {}, "{}"));
        } else if (!stream(connection, request)) {
            return;
        }
    }
}

std::string Engine::report()
{
    const std::lock_guard lock(mutex_);
    Json::Value body;
    body["stage"] = "both";
    body["models"] = modelList(versions_);
    body["busy"] = busy_;
    body["seq"] = Json::UInt64(orders_);
    body["waiting"] = 0;
    body["running"] = running_;
    body["kvUsed"] = 0;
    body["kvTotal"] = 129948;
    body["handles"] = 0;
    return responseText(200, { { "Content-Type", "application/json" } }, writeJson(body));
}

std::string Engine::events(const Message &request)
{
    const auto since = request.target.find("since=");
    const std::uint64_t from
        = since == std::string::npos ? 0 : std::stoull(request.target.substr(since + 6));
    const std::string waitText = headerOf(request.headers, "Wait-Ms");
    const Ms wait(waitText.empty() ? 0 : std::min(1000, std::stoi(waitText)));
    std::unique_lock lock(mutex_);
    noted_.wait_for(lock, wait,
                    [&] { return !notes_.empty() && notes_.back().number >= from + 1; });
    Json::Value body;
    body["epoch"] = 1;
    body["lost"] = false;
    body["events"] = Json::Value(Json::arrayValue);
    std::uint64_t next = from;
    for (const Note &note : notes_) {
        if (note.number > from) {
            Json::Value event(Json::arrayValue);
            event.append(Json::UInt64(note.number));
            event.append(note.sign);
            event.append(note.salt);
            event.append(note.part);
            event.append(note.tokens);
            event.append("m0");
            body["events"].append(event);
            next = note.number;
        }
    }
    body["next"] = Json::UInt64(next);
    return responseText(200, { { "Content-Type", "application/json" } }, writeJson(body));
}

std::string Engine::order(const Message &request)
{
    const Json::Value body = parseJson(request.body);
    const std::lock_guard lock(mutex_);
    record_.line("order at " + options_.id + ": " + request.body);
    if (busy_ || (body.isMember("expected") && body["expected"].asUInt64() != orders_)) {
        return responseText(409, {}, "{}");
    }
    const std::string model = body["model"].asString();
    const unsigned version = body["version"].asUInt();
    if (!versions_.contains(model)) {
        return responseText(400, {}, "{}");
    }
    if (version == versions_[model]) {
        return responseText(200, {}, "{}");
    }
    ++orders_;
    busy_ = true;
    std::thread([this, model, version] {
        std::this_thread::sleep_for(Ms(1900));
        Json::Value models;
        {
            const std::lock_guard inner(mutex_);
            versions_[model] = version;
            busy_ = false;
            kept_.clear();
            models = modelList(versions_);
            record_.line(options_.id + " has version " + std::to_string(version) + " of " + model);
        }
        registration_.setModels(models);
    }).detach();
    return responseText(202, {}, "{}");
}

bool Engine::stream(Connection &connection, const Message &request)
{
    const std::string id = headerOf(request.headers, "X-Request-Id");
    if (const std::string refusal = rejection(request, options_.id); !refusal.empty()) {
        return connection.write(refusal);
    }
    const std::string salt = headerOf(request.headers, "X-Cache-Salt");
    const std::string tenant = headerOf(request.headers, "X-Tenant");
    double toRead = 0;
    unsigned version = 0;
    std::string found;
    std::vector<std::pair<std::string, unsigned>> parts;
    {
        const std::lock_guard lock(mutex_);
        const std::string wanted = headerOf(request.headers, "X-Expect-Version");
        const std::string had = std::to_string(versions_[headerOf(request.headers, "X-Model")]);
        if (!wanted.empty() && wanted != had) {
            return connection.write(responseText(
                421, { { "X-Request-Id", id }, { "X-Weight-Versions", had } }, ""));
        }
        if (busy_) {
            return connection.write(
                responseText(503, { { "X-Request-Id", id }, { "X-Not-Run", "1" } }, ""));
        }
        version = versions_[headerOf(request.headers, "X-Model")];
        runs_.push_back(runOf(request, options_.id));
        ++running_;
        std::istringstream list(headerOf(request.headers, "X-Prompt-Prefix"));
        std::string entry;
        while (std::getline(list, entry, ',')) {
            const auto colon = entry.find(':');
            parts.emplace_back(entry.substr(0, colon),
                               static_cast<unsigned>(std::stoul(entry.substr(colon + 1))));
        }
        bool cached = true;
        for (const auto &[part, tokens] : parts) {
            const auto kept = kept_[salt].find(part);
            cached = cached && kept != kept_[salt].end();
            if (!cached) {
                toRead += tokens;
                continue;
            }
            found += (found.empty() ? "" : " ") + part + " (made by " + kept->second.madeBy
                + " of " + kept->second.tenant + ")";
            if (kept->second.tenant != tenant) {
                foreignUses_.push_back({ .id = id,
                                         .tenant = tenant,
                                         .part = part,
                                         .maker = kept->second.tenant,
                                         .madeBy = kept->second.madeBy,
                                         .salt = salt });
            }
        }
    }
    record_.line("ran  " + id + ' ' + request.target + " at " + options_.id + ", X-Tenant '"
                 + tenant + "', X-Cache-Salt '" + salt + "', found in memory: "
                 + (found.empty() ? "nothing" : found));
    std::this_thread::sleep_for(Ms(static_cast<int>(toRead / PromptTokensPerMs) + 5));
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[part, tokens] : parts) {
            if (!kept_[salt].contains(part)) {
                kept_[salt][part] = { .tokens = tokens, .tenant = tenant, .madeBy = id };
                notes_.push_back({ .number = notes_.size() + 1,
                                   .sign = "+",
                                   .salt = salt,
                                   .part = part,
                                   .tokens = tokens });
            }
        }
        noted_.notify_all();
    }
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\nX-Request-Id: "
        + id + "\r\nX-Response-Stamp: " + newStamp(options_.id, id)
        + "\r\nX-Weight-Versions: " + std::to_string(version) + "\r\n\r\n";
    bool written = connection.write(text);
    const std::string resume = headerOf(request.headers, "Last-Event-Id");
    for (int number = resume.empty() ? 1 : std::stoi(resume) + 1;
         written && number <= options_.events; ++number) {
        const std::string event = "id: " + std::to_string(number) + "\ndata: piece "
            + std::to_string(number) + " of " + id + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        written = connection.write(size + event + "\r\n");
        std::this_thread::sleep_for(options_.gap);
    }
    written = written && connection.write("0\r\n\r\n");
    const std::lock_guard lock(mutex_);
    --running_;
    return written;
}

MortalRunners::MortalRunners(Store &store, const Options &options, Record &record)
    : store_(store)
    , options_(options)
    , record_(record)
{
    for (int index = 0; index < options.count; ++index) {
        start();
    }
}

std::vector<Run> MortalRunners::deadlyRuns()
{
    const std::lock_guard lock(mutex_);
    return deadlyRuns_;
}

std::vector<Clock::time_point> MortalRunners::ends()
{
    const std::lock_guard lock(mutex_);
    return ends_;
}

int MortalRunners::alive()
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(
        std::count_if(processes_.begin(), processes_.end(),
                      [](const auto &process) { return !process->ended; }));
}

void MortalRunners::start()
{
    auto process = std::make_shared<Process>();
    {
        const std::lock_guard lock(mutex_);
        process->id = "i-turnos-" + std::to_string(++started_);
        processes_.push_back(process);
    }
    process->server = std::make_unique<Server>(
        [this, process](Connection &connection) { serve(*process, connection); });
    process->registration = std::make_unique<Registration>(
        store_, process->id,
        entryOf("turnos-prestamo", "aburra-norte", process->server->address(), PlainSlots));
}

void MortalRunners::crash(Process &process)
{
    if (process.ended.exchange(true)) {
        return;
    }
    record_.line(process.id + " ends");
    {
        const std::lock_guard lock(mutex_);
        ends_.push_back(Clock::now());
    }
    // Its thread serves a connection of the process that ends.
    std::thread([this, &process] {
        process.server->end();
        process.registration.reset();
        std::this_thread::sleep_for(options_.backAfter);
        start();
        // The platform removes an entry after three heartbeats of silence.
        const auto removed = Heartbeat * 3;
        std::this_thread::sleep_for(removed - std::min<Ms>(removed, options_.backAfter));
        store_.remove("servers", process.id);
    }).detach();
}

void MortalRunners::serve(Process &process, Connection &connection)
{
    Message request;
    while (!process.ended && connection.readRequest(request)) {
        const std::string id = headerOf(request.headers, "X-Request-Id");
        if (request.target == "/health") {
            connection.write(responseText(200, { { "X-Instance-Id", process.id } }, ""));
            continue;
        }
        if (const std::string refusal = rejection(request, process.id); !refusal.empty()) {
            connection.write(refusal);
            continue;
        }
        if (request.target.find(options_.deadly) != std::string::npos) {
            {
                const std::lock_guard lock(mutex_);
                deadlyRuns_.push_back(runOf(request, process.id));
            }
            record_.line("ran  " + id + ' ' + request.method + ' ' + request.target + " at "
                         + process.id);
            std::this_thread::sleep_for(options_.crashAfter);
            crash(process);
            return;
        }
        std::this_thread::sleep_for(Ms(30));
        if (process.ended
            || !connection.write(responseText(200,
                                              { { "X-Request-Id", id },
                                                { "X-Response-Stamp", newStamp(process.id, id) } },
                                              std::string(PlainBodyBytes, 'r')))) {
            return;
        }
    }
}

} // namespace review
