#include "Node/Refusal.h"

#include <json/value.h>

#include "Core/Json.h"

namespace jacinthroad {

namespace {

std::int64_t retryAfterMsOf(const Refusal &refusal)
{
    return refusal.retryAfterMs >= 0 ? refusal.retryAfterMs
                                     : errorAnswer(refusal.kind).retryAfterMs;
}

Json::Value notRunValue(NotRun verdict)
{
    switch (verdict) {
    case NotRun::True:
        return true;
    case NotRun::False:
        return false;
    case NotRun::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

std::string refusalJson(const Refusal &refusal)
{
    const ErrorAnswer &answer = errorAnswer(refusal.kind);
    Json::Value body;
    body["kind"] = std::string(answer.name);
    body["message"] = refusal.message.empty() ? std::string(answer.name) : refusal.message;
    body["remedy"] = refusal.remedy.empty() ? std::string(answer.remedy) : refusal.remedy;
    body["request_id"] = refusal.requestId;
    body["not_run"] = notRunValue(refusal.notRun);
    body["retry_after_ms"] = Json::Int64(retryAfterMsOf(refusal));
    Json::Value whole;
    whole["error"] = body;
    return writeJson(whole);
}

HttpResponse refusalResponse(const Refusal &refusal)
{
    constexpr std::int64_t MillisecondsPerSecond = 1000;
    HttpResponse response { .status = errorAnswer(refusal.kind).status,
                            .headers = { { "Content-Type", "application/json" } },
                            .body = refusalJson(refusal) };
    const std::int64_t retryAfterMs = retryAfterMsOf(refusal);
    if (retryAfterMs > 0) {
        const std::int64_t seconds
            = (retryAfterMs + MillisecondsPerSecond - 1) / MillisecondsPerSecond;
        response.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    return response;
}

} // namespace jacinthroad
