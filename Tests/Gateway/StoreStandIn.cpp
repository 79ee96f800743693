#include "StoreStandIn.h"

#include <utility>

#include "Core/Json.h"

namespace jacinthroad {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view Prefix = "/-/objects/";

std::string kindOf(const std::string &target)
{
    const std::string path = target.substr(0, target.find('?')).substr(Prefix.size());
    return path.substr(0, path.find('/'));
}

std::string parameter(const std::string &target, const std::string &name)
{
    const auto query = target.find('?');
    const auto at = target.find(name + "=", query);
    if (query == std::string::npos || at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

} // namespace

StoreStandIn::StoreStandIn()
    : server_([this](ScriptedConnection &connection) { serve(connection, false); })
    , rejectingServer_([this](ScriptedConnection &connection) { serve(connection, true); })
{ }

StoreStandIn::~StoreStandIn()
{
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
}

void StoreStandIn::put(const std::string &kind, const std::string &name, const Json::Value &spec)
{
    static_cast<void>(write(kind, name, spec, std::nullopt, false));
}

void StoreStandIn::putText(const std::string &kind, const std::string &name,
                           const std::string &text)
{
    const std::string standIn = "text-" + std::to_string(std::hash<std::string>()(text));
    {
        const std::lock_guard lock(mutex_);
        texts_["\"" + standIn + "\""] = text;
    }
    put(kind, name, standIn);
}

void StoreStandIn::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    Json::Value object = objects_[kind][name];
    object["metadata"]["revision"] = Json::UInt64(++revision_);
    objects_[kind].erase(name);
    changes_.push_back({ revision_, kind, object, true });
    changed_.notify_all();
}

void StoreStandIn::sendEra(std::uint64_t era)
{
    const std::lock_guard lock(mutex_);
    era_ = era;
}

void StoreStandIn::snapshot()
{
    const std::lock_guard lock(mutex_);
    savedObjects_ = objects_;
    savedRevision_ = revision_;
}

void StoreStandIn::restore()
{
    const std::lock_guard lock(mutex_);
    objects_ = savedObjects_;
    revision_ = savedRevision_;
    std::erase_if(changes_, [this](const Change &change) { return change.revision > revision_; });
    era_ += era_ == 0 ? 0 : 1;
    changed_.notify_all();
}

void StoreStandIn::hideChanges(const std::string &kind)
{
    const std::lock_guard lock(mutex_);
    hiddenKinds_.insert(kind);
}

void StoreStandIn::delayWatches(std::chrono::milliseconds delay)
{
    const std::lock_guard lock(mutex_);
    watchDelay_ = delay;
}

void StoreStandIn::stopResponding()
{
    const std::lock_guard lock(mutex_);
    unresponsive_ = true;
}

void StoreStandIn::resumeResponding()
{
    const std::lock_guard lock(mutex_);
    unresponsive_ = false;
}

void StoreStandIn::loseResponses(const std::string &kind, int count)
{
    const std::lock_guard lock(mutex_);
    responsesToLose_[kind] = count;
}

int StoreStandIn::writes(const std::string &kind)
{
    const std::lock_guard lock(mutex_);
    return writes_[kind];
}

int StoreStandIn::calls()
{
    const std::lock_guard lock(mutex_);
    return calls_;
}

Json::Value StoreStandIn::spec(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    return objects_[kind].contains(name) ? objects_[kind][name]["spec"] : Json::Value();
}

std::string StoreStandIn::response(unsigned status, const std::string &body) const
{
    std::string sent = body;
    for (const auto &[standIn, text] : texts_) {
        for (std::size_t at = sent.find(standIn); at != std::string::npos;
             at = sent.find(standIn, at + text.size())) {
            sent.replace(at, standIn.size(), text);
        }
    }
    return responseText(status, era_ == 0 ? "" : "Store-Era: " + std::to_string(era_) + "\r\n",
                        sent);
}

bool StoreStandIn::noteWrite(const http::request<http::string_body> &request)
{
    const std::string kind = kindOf(std::string(request.target().data(), request.target().size()));
    const std::lock_guard lock(mutex_);
    ++writes_[kind];
    if (responsesToLose_[kind] == 0) {
        return false;
    }
    --responsesToLose_[kind];
    return true;
}

std::string StoreStandIn::addressThrough(std::function<std::string(std::string)> rewrite)
{
    rewritingServers_.push_back(std::make_unique<ScriptedServer>(
        [this, rewrite = std::move(rewrite)](ScriptedConnection &connection) {
            serve(connection, false, rewrite);
        }));
    return rewritingServers_.back()->address();
}

void StoreStandIn::serve(ScriptedConnection &connection, bool rejectsWrites,
                         const std::function<std::string(std::string)> &rewrite)
{
    http::request<http::string_body> request;
    while (connection.read(request)) {
        {
            const std::lock_guard lock(mutex_);
            ++calls_;
            if (unresponsive_) {
                continue;
            }
        }
        const bool isWrite = request.method() != http::verb::get;
        const bool loseResponse = isWrite && noteWrite(request);
        const std::string response = isWrite && rejectsWrites ? responseText(503, "", "{}")
                                                              : respond(request, rejectsWrites);
        if (!loseResponse) {
            connection.write(rewrite ? rewrite(response) : response);
        }
    }
}

std::string StoreStandIn::respond(const http::request<http::string_body> &request,
                                  bool hidesChanges)
{
    const std::string target(request.target().data(), request.target().size());
    std::string path = target.substr(0, target.find('?')).substr(Prefix.size());
    const auto slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (request.method() == http::verb::get && !parameter(target, "watch").empty()) {
        return watch(kind, std::stoull(parameter(target, "watch")),
                     std::chrono::milliseconds(std::stoll(parameter(target, "waitMs"))),
                     hidesChanges);
    }
    if (request.method() == http::verb::get) {
        const std::lock_guard lock(mutex_);
        if (!name.empty()) {
            return objects_[kind].contains(name) ? response(200, writeJson(objects_[kind][name]))
                                                 : response(404, "{}");
        }
        Json::Value page;
        page["items"] = Json::Value(Json::arrayValue);
        for (const auto &[key, object] : objects_[kind]) {
            page["items"].append(object);
        }
        page["hasMore"] = false;
        page["currentRev"] = Json::UInt64(revision_);
        return response(200, writeJson(page));
    }
    const Json::Value body = *parseJson(request.body());
    const std::string condition = parameter(target, "revision");
    const bool create = request.method() == http::verb::post;
    return write(kind, create ? body["metadata"]["name"].asString() : name, body["spec"],
                 condition.empty() ? std::nullopt : std::optional(std::stoull(condition)), create);
}

std::string StoreStandIn::watch(const std::string &kind, std::uint64_t revision,
                                std::chrono::milliseconds wait, bool hidesChanges)
{
    std::unique_lock lock(mutex_);
    if (revision > revision_) {
        return response(410, "{}");
    }
    Json::Value events(Json::arrayValue);
    const auto collectEvents = [&] {
        events = Json::Value(Json::arrayValue);
        if (hidesChanges && hiddenKinds_.contains(kind)) {
            return stopping_;
        }
        for (const Change &change : changes_) {
            if (change.revision > revision && change.kind == kind) {
                Json::Value event;
                event["object"] = change.object;
                event["deleted"] = change.removed;
                events.append(event);
            }
        }
        return stopping_ || !events.empty();
    };
    changed_.wait_for(lock, wait, collectEvents);
    Json::Value body;
    body["events"] = events;
    body["currentRev"] = Json::UInt64(revision_);
    changed_.wait_for(lock, watchDelay_, [this] { return stopping_; });
    return response(200, writeJson(body));
}

std::string StoreStandIn::write(const std::string &kind, const std::string &name,
                                const Json::Value &spec, std::optional<std::uint64_t> condition,
                                bool create)
{
    const std::lock_guard lock(mutex_);
    auto &objects = objects_[kind];
    const auto found = objects.find(name);
    const bool conflict = (create && found != objects.end())
        || (condition.has_value()
            && (found == objects.end()
                || found->second["metadata"]["revision"].asUInt64() != *condition));
    if (conflict) {
        return response(409, found == objects.end() ? "{}" : writeJson(found->second));
    }
    if (found != objects.end() && found->second["spec"] == spec) {
        return response(200, writeJson(found->second));
    }
    Json::Value object;
    object["metadata"]["name"] = name;
    object["metadata"]["revision"] = Json::UInt64(++revision_);
    object["spec"] = spec;
    objects[name] = object;
    changes_.push_back({ revision_, kind, object, false });
    changed_.notify_all();
    return response(200, writeJson(object));
}

} // namespace jacinthroad
