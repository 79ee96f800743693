#include "Core/Refusal.h"

#include <json/value.h>

#include "Core/Json.h"
#include "Core/MemoryReserve.h"

namespace jacinthroad {

namespace {

Json::Value notRunValue(NotRun value)
{
    switch (value) {
    case NotRun::True:
        return true;
    case NotRun::False:
        return false;
    case NotRun::Unknown:
        break;
    }
    return "unknown";
}

std::string tryWriteRefusal(const Refusal &refusal)
{
    const ErrorResponse &response = errorResponse(refusal.kind);
    Json::Value body;
    body["kind"] = std::string(response.name);
    body["message"] = refusal.message.empty() ? std::string(response.name) : refusal.message;
    body["remedy"] = refusal.remedy.empty() ? std::string(response.remedy) : refusal.remedy;
    body["request_id"] = refusal.requestId;
    body["not_run"] = notRunValue(refusal.notRun);
    body["retry_after_ms"] = Json::Int64(retryAfterMsOf(refusal));
    Json::Value document;
    document["error"] = body;
    return writeJson(document);
}

} // namespace

std::int64_t retryAfterMsOf(const Refusal &refusal)
{
    return refusal.retryAfterMs >= 0 ? refusal.retryAfterMs
                                     : errorResponse(refusal.kind).retryAfterMs;
}

std::string refusalJson(const Refusal &refusal)
{
    for (;;) {
        try {
            return tryWriteRefusal(refusal);
        } catch (const Json::Exception &) {
            // The library allocates strings with malloc, to which the reserve isn't given by
            // itself.
            if (!releaseReservedMemory()) {
                throw;
            }
        }
    }
}

} // namespace jacinthroad
