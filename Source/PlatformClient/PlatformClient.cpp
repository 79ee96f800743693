#include "PlatformClient/PlatformClient.h"

#include <memory>
#include <utility>

#include <json/value.h>

#include "Core/Json.h"

namespace jacinthroad {

namespace {

/// Maximum sizes in bytes of responses.
constexpr std::size_t MaximumListBytes = 16 * 1024 * 1024;
constexpr std::size_t MaximumWriteResponseBytes = 2 * 1024 * 1024;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusPreconditionFailed = 412;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;

Json::Value parseObject(const HttpResponse &response)
{
    auto parsed = parseJson(response.body);
    return parsed.has_value() && parsed->isObject() ? std::move(*parsed) : Json::Value();
}

std::uint64_t unsignedFieldOrZero(const Json::Value &object, const char *name)
{
    const Json::Value &member = object.isObject() ? object[name] : object;
    return member.isUInt64() ? member.asUInt64() : 0;
}

std::string stringFieldOrEmpty(const Json::Value &object, const char *name)
{
    const Json::Value &member = object.isObject() ? object[name] : object;
    return member.isString() ? member.asString() : std::string();
}

PlatformObject readObject(const Json::Value &entry)
{
    return { .key = stringFieldOrEmpty(entry, "key"),
             .version = unsignedFieldOrZero(entry, "version"),
             .value = stringFieldOrEmpty(entry, "value") };
}

PlatformListResult readList(CallOutcome outcome, const HttpResponse &response)
{
    PlatformListResult result;
    const Json::Value body = parseObject(response);
    if (outcome != CallOutcome::Completed || response.status != StatusOk
        || !body["revision"].isUInt64() || !body["objects"].isArray()) {
        return result;
    }
    result.responded = true;
    result.revision = body["revision"].asUInt64();
    for (const Json::Value &entry : body["objects"]) {
        result.objects.push_back(readObject(entry));
    }
    return result;
}

PlatformWriteResult readWriteResult(CallOutcome outcome, const HttpResponse &response)
{
    if (outcome == CallOutcome::NotSent) {
        return { .outcome = PlatformWriteOutcome::Rejected };
    }
    if (outcome != CallOutcome::Completed) {
        return { .outcome = PlatformWriteOutcome::NoResponse };
    }
    switch (response.status) {
    case StatusOk:
        return { .outcome = PlatformWriteOutcome::Written,
                 .version = unsignedFieldOrZero(parseObject(response), "version") };
    case StatusPreconditionFailed:
        return { .outcome = PlatformWriteOutcome::Conflict };
    case StatusTooManyRequests:
    case StatusUnavailable:
        return { .outcome = PlatformWriteOutcome::Rejected };
    default:
        return { .outcome = PlatformWriteOutcome::NoResponse };
    }
}

} // namespace

PlatformClient::PlatformClient(PlatformClientOptions options, HttpClient &http)
    : options_(std::move(options))
    , http_(http)
{ }

void PlatformClient::get(const std::string &path, Duration timeout,
                         std::function<void(CallOutcome, const HttpResponse &)> done)
{
    ++calls_;
    http_.collect(
        { .url = options_.url + path, .totalTimeout = timeout }, MaximumListBytes,
        [done = std::move(done)](CallOutcome outcome, const CollectedResponse &collected) {
            done(outcome, collected.response);
        });
}

void PlatformClient::read(const std::string &key, std::function<void(PlatformReadResult)> done)
{
    get("/objects/" + key, options_.timeout,
        [done = std::move(done)](CallOutcome outcome, const HttpResponse &response) {
            PlatformReadResult result;
            const bool completed = outcome == CallOutcome::Completed;
            result.responded
                = completed && (response.status == StatusOk || response.status == StatusNotFound);
            if (completed && response.status == StatusOk) {
                const Json::Value body = parseObject(response);
                result.responded = body["version"].isUInt64();
                result.object = readObject(body);
            }
            done(std::move(result));
        });
}

void PlatformClient::write(const std::string &key, const std::string &value,
                           std::uint64_t expectedVersion,
                           std::function<void(PlatformWriteResult)> done)
{
    ++calls_;
    HttpHeaders headers;
    if (expectedVersion == 0) {
        headers.emplace_back("If-None-Match", "*");
    } else {
        headers.emplace_back("If-Match", "\"" + std::to_string(expectedVersion) + "\"");
    }
    http_.collect(
        { .method = "PUT",
          .url = options_.url + "/objects/" + key,
          .headers = std::move(headers),
          .body = value,
          .totalTimeout = options_.timeout },
        MaximumWriteResponseBytes,
        [done = std::move(done)](CallOutcome outcome, const CollectedResponse &collected) {
            done(readWriteResult(outcome, collected.response));
        });
}

void PlatformClient::list(const std::string &prefix, std::function<void(PlatformListResult)> done)
{
    get("/objects?prefix=" + prefix, options_.timeout,
        [done = std::move(done)](CallOutcome outcome, const HttpResponse &response) {
            done(readList(outcome, response));
        });
}

void PlatformClient::watch(const std::string &prefix, std::uint64_t afterRevision,
                           std::function<void(PlatformListResult)> done)
{
    const auto waitMs = std::chrono::duration_cast<milliseconds>(options_.watchTime).count();
    get("/watch?prefix=" + prefix + "&after=" + std::to_string(afterRevision)
            + "&wait_ms=" + std::to_string(waitMs),
        options_.watchTime + options_.timeout,
        [done = std::move(done)](CallOutcome outcome, const HttpResponse &response) {
            done(readList(outcome, response));
        });
}

void PlatformClient::listVms(std::function<void(PlatformVmListResult)> done)
{
    get("/vms", options_.timeout,
        [done = std::move(done)](CallOutcome outcome, const HttpResponse &response) {
            PlatformVmListResult result;
            const Json::Value body = parseObject(response);
            if (outcome == CallOutcome::Completed && response.status == StatusOk
                && body["vms"].isArray()) {
                result.responded = true;
                for (const Json::Value &vm : body["vms"]) {
                    const bool leaving = stringFieldOrEmpty(vm, "state") == "leaving";
                    result.vms.push_back({ .name = stringFieldOrEmpty(vm, "name"),
                                           .state = leaving ? VmState::Leaving : VmState::Live });
                }
            }
            done(std::move(result));
        });
}

} // namespace jacinthroad
