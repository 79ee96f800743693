#include "Core/Refusal.h"

#include <json/value.h>

#include "Core/Json.h"

namespace jacinthroad {

namespace {

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

std::int64_t retryAfterMsOf(const Refusal &refusal)
{
    return refusal.retryAfterMs >= 0 ? refusal.retryAfterMs
                                     : errorResponse(refusal.kind).retryAfterMs;
}

std::string refusalJson(const Refusal &refusal)
{
    const ErrorResponse &answer = errorResponse(refusal.kind);
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

} // namespace jacinthroad
