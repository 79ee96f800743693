#include "StandIns/PlatformStandIn.h"

#include <charconv>
#include <utility>

#include <json/value.h>

#include "Core/Json.h"

namespace jacinthroad {

namespace {

constexpr Duration WatcherInterval = milliseconds(50);
constexpr std::string_view ObjectPath = "/objects/";
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusPreconditionFailed = 412;
constexpr int StatusTooManyRequests = 429;

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    while (!text.empty() && text.front() == '"') {
        text.remove_prefix(1);
    }
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::uint64_t queryParameterNumber(const HttpRequest &request, std::string_view name)
{
    return parseNumber(findHeader(request.query, name).value_or("0"));
}

/// Memory of the requests and responses of a stand-in.
constexpr std::size_t MemoryBytes = 256 * 1024 * 1024;

HttpResponse jsonResponse(int status, const Json::Value &body)
{
    return { .status = status,
             .headers = { { "Content-Type", "application/json" } },
             .body = writeJson(body) };
}

} // namespace

PlatformStandIn::PlatformStandIn(std::uint16_t port)
{
    auto server = HttpServer::start(
        { .port = port }, std::make_shared<MemoryBudget>(MemoryBytes),
        [this](const HttpRequest &request, const std::shared_ptr<ResponseWriter> &writer) {
            handle(request, writer);
        });
    if (server.has_value()) {
        server_ = std::move(*server);
    }
    thread_ = std::thread([this] { run(); });
}

PlatformStandIn::~PlatformStandIn()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
    server_.reset();
}

std::string PlatformStandIn::url() const
{
    return "http://127.0.0.1:" + std::to_string(server_ == nullptr ? 0 : server_->port());
}

void PlatformStandIn::setOutage(bool outage)
{
    outage_ = outage;
    const std::scoped_lock lock(mutex_);
    if (outage) {
        for (const Watcher &watcher : watchers_) {
            watcher.writer->abort();
        }
        watchers_.clear();
    }
}

void PlatformStandIn::setVm(const std::string &name, const std::string &state)
{
    const std::scoped_lock lock(mutex_);
    vms_[name] = state;
}

void PlatformStandIn::restoreTo(std::uint64_t revision)
{
    const std::scoped_lock lock(mutex_);
    std::erase_if(objects_, [&](const auto &entry) { return entry.second.version > revision; });
}

bool PlatformStandIn::exceedsCallLimit()
{
    const std::scoped_lock lock(mutex_);
    const Instant now = std::chrono::steady_clock::now();
    if (now - windowStart_ > std::chrono::seconds(1)) {
        windowStart_ = now;
        callsInWindow_ = 0;
    }
    const std::uint64_t limit = callLimit_;
    return limit != 0 && ++callsInWindow_ > limit;
}

void PlatformStandIn::handle(const HttpRequest &request,
                             const std::shared_ptr<ResponseWriter> &writer)
{
    ++calls_;
    if (outage_) {
        writer->abort();
        return;
    }
    if (exceedsCallLimit()) {
        ++rejected_;
        writer->respond({ .status = StatusTooManyRequests, .body = "{}" });
        return;
    }
    const std::string &path = request.path;
    if (path.starts_with(ObjectPath)) {
        const std::string key = path.substr(ObjectPath.size());
        if (request.method == "PUT") {
            write(key, request, *writer);
        } else {
            read(key, *writer);
        }
    } else if (path == "/objects") {
        const std::scoped_lock lock(mutex_);
        list(std::string(findHeader(request.query, "prefix").value_or("")), 0, *writer);
    } else if (path == "/watch") {
        watch(request, writer);
    } else if (path == "/vms") {
        listVms(*writer);
    } else {
        writer->respond({ .status = StatusNotFound, .body = "{}" });
    }
}

void PlatformStandIn::read(const std::string &key, ResponseWriter &writer)
{
    const std::scoped_lock lock(mutex_);
    const auto found = objects_.find(key);
    if (found == objects_.end()) {
        writer.respond({ .status = StatusNotFound, .body = "{}" });
        return;
    }
    Json::Value body;
    body["key"] = key;
    body["version"] = Json::UInt64(found->second.version);
    body["value"] = found->second.value;
    writer.respond(jsonResponse(StatusOk, body));
}

void PlatformStandIn::write(const std::string &key, const HttpRequest &request,
                            ResponseWriter &writer)
{
    std::uint64_t version = 0;
    {
        const std::scoped_lock lock(mutex_);
        const auto found = objects_.find(key);
        const std::uint64_t current = found == objects_.end() ? 0 : found->second.version;
        const auto match = findHeader(request.headers, "if-match");
        const bool create = findHeader(request.headers, "if-none-match").has_value();
        if ((create && current != 0) || (match.has_value() && parseNumber(*match) != current)) {
            writer.respond({ .status = StatusPreconditionFailed, .body = "{}" });
            return;
        }
        version = ++revision_;
        objects_[key] = { .version = version, .value = request.body };
        ++writes_;
        respondToWatchers(std::chrono::steady_clock::now());
    }
    if (dropNext_ > 0 && dropNext_-- > 0) {
        writer.abort();
        return;
    }
    Json::Value body;
    body["version"] = Json::UInt64(version);
    writer.respond(jsonResponse(StatusOk, body));
}

void PlatformStandIn::list(const std::string &prefix, std::uint64_t after,
                           ResponseWriter &writer) const
{
    Json::Value body;
    body["revision"] = Json::UInt64(revision_);
    body["objects"] = Json::Value(Json::arrayValue);
    for (auto position = objects_.lower_bound(prefix);
         position != objects_.end() && position->first.starts_with(prefix); ++position) {
        if (position->second.version <= after) {
            continue;
        }
        Json::Value entry;
        entry["key"] = position->first;
        entry["version"] = Json::UInt64(position->second.version);
        entry["value"] = position->second.value;
        body["objects"].append(entry);
    }
    writer.respond(jsonResponse(StatusOk, body));
}

bool PlatformStandIn::changedSince(const std::string &prefix, std::uint64_t after) const
{
    for (auto position = objects_.lower_bound(prefix);
         position != objects_.end() && position->first.starts_with(prefix); ++position) {
        if (position->second.version > after) {
            return true;
        }
    }
    return false;
}

void PlatformStandIn::watch(const HttpRequest &request,
                            const std::shared_ptr<ResponseWriter> &writer)
{
    const std::scoped_lock lock(mutex_);
    const Instant now = std::chrono::steady_clock::now();
    watchers_.push_back({ .prefix = std::string(findHeader(request.query, "prefix").value_or("")),
                          .after = queryParameterNumber(request, "after"),
                          .expires = now + milliseconds(queryParameterNumber(request, "wait_ms")),
                          .writer = writer });
    respondToWatchers(now);
}

void PlatformStandIn::respondToWatchers(Instant now)
{
    std::erase_if(watchers_, [&](const Watcher &watcher) {
        if (!changedSince(watcher.prefix, watcher.after) && now < watcher.expires) {
            return false;
        }
        list(watcher.prefix, watcher.after, *watcher.writer);
        return true;
    });
}

void PlatformStandIn::listVms(ResponseWriter &writer) const
{
    const std::scoped_lock lock(mutex_);
    Json::Value body;
    body["vms"] = Json::Value(Json::arrayValue);
    for (const auto &[name, state] : vms_) {
        Json::Value vm;
        vm["name"] = name;
        vm["state"] = state;
        body["vms"].append(vm);
    }
    writer.respond(jsonResponse(StatusOk, body));
}

void PlatformStandIn::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        wake_.wait_for(lock, WatcherInterval);
        respondToWatchers(std::chrono::steady_clock::now());
    }
    for (const Watcher &watcher : watchers_) {
        watcher.writer->abort();
    }
    watchers_.clear();
}

} // namespace jacinthroad
