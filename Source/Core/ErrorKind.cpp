#include "Core/ErrorKind.h"

#include <array>

namespace jacinthroad {

namespace {

constexpr std::array<ErrorResponse, 29> Responses { {
    { ErrorKind::InvalidRequest, "invalid_request", 400, 0,
      "Correct the named field and send the request again." },
    { ErrorKind::Unauthorized, "unauthorized", 401, 0,
      "Send 'Authorization: Bearer KEY' with a key of your team." },
    { ErrorKind::NotFound, "not_found", 404, 0,
      "Check the path; the API reference lists every path." },
    { ErrorKind::MethodNotAllowed, "method_not_allowed", 405, 0,
      "Use the method that the API reference names for this path." },
    { ErrorKind::PayloadTooLarge, "payload_too_large", 413, 0,
      "Shorten the request body below the limit named in the message." },
    { ErrorKind::UnknownModel, "unknown_model", 404, 0,
      "Ask GET /v1/models for the models in service." },
    { ErrorKind::UnknownService, "unknown_service", 404, 0,
      "Ask the operators for the services in the configuration." },
    { ErrorKind::TeamLimit, "team_limit", 429, 500,
      "Send fewer requests at once, or ask the operators to raise the team's limit." },
    { ErrorKind::Overloaded, "overloaded", 503, 1000,
      "Send the request again after retry_after_ms." },
    { ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503, 1000,
      "Send the request again later or with a longer deadline." },
    { ErrorKind::Draining, "draining", 503, 100,
      "Send the request again; the balancer will pick another node." },
    { ErrorKind::NoBackendServer, "no_backend_server", 503, 2000,
      "Send the request again later; operators see the reason in 'jacinthroad status'." },
    { ErrorKind::StreamOriginUnknown, "stream_origin_unknown", 503, 500,
      "Send the request again, or start the stream anew without Last-Event-Id." },
    { ErrorKind::PlatformUnavailable, "platform_unavailable", 503, 2000,
      "Calls that may not be repeated wait for the platform; send it again later." },
    { ErrorKind::IdempotencyKeyMissing, "idempotency_key_missing", 400, 0,
      "Add an 'Idempotency-Key' header, one key for each operation." },
    { ErrorKind::IdempotencyKeyReused, "idempotency_key_reused", 422, 0,
      "Use a new Idempotency-Key for a different request body." },
    { ErrorKind::IdempotencyKeyExpired, "idempotency_key_expired", 422, 0,
      "The key is older than the retention horizon; check the outcome with the service." },
    { ErrorKind::RequestInProgress, "request_in_progress", 409, 500,
      "The first request with this key is still running; ask again after retry_after_ms." },
    { ErrorKind::OutcomeUnknown, "outcome_unknown", 502, 0,
      "The call may have run. Check with the service before sending a new key." },
    { ErrorKind::BackendFailed, "backend_failed", 502, 500,
      "Send the request again if it may be repeated." },
    { ErrorKind::Quarantined, "quarantined", 422, 0,
      "This request crashed the backend servers that ran it; change it before sending it." },
    { ErrorKind::VersionConflict, "version_conflict", 409, 0,
      "Read the current version, look at what changed, and rebase the patch." },
    { ErrorKind::InvalidSettings, "invalid_settings", 400, 0,
      "Correct every field named and check again." },
    { ErrorKind::NotReady, "not_ready", 503, 500, "Wait until /readyz answers 200." },
    { ErrorKind::TimedOut, "timed_out", 504, 0,
      "The time that the route or the caller allows ran out; the request may have run." },
    { ErrorKind::HeaderTooLarge, "header_too_large", 431, 0,
      "Shorten the request line and headers below the configured limit." },
    { ErrorKind::BodyMemoryFull, "body_memory_full", 503, 500,
      "Send the request again after retry_after_ms; operators raise memory.total_mb." },
    { ErrorKind::CallerClosed, "caller_closed", 503, 100,
      "Keep the connection open in both directions until the response is complete." },
    { ErrorKind::Internal, "internal", 500, 1000, "Report the request_id to the operators." },
} };

consteval bool tableMatchesEnumeration()
{
    for (std::size_t index = 0; index < Responses.size(); ++index) {
        if (static_cast<std::size_t>(Responses[index].kind) != index) {
            return false;
        }
    }
    return Responses.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1;
}
static_assert(tableMatchesEnumeration(), "the table has one response per error kind, in order");

} // namespace

std::span<const ErrorResponse> errorResponses()
{
    return Responses;
}

const ErrorResponse &errorResponse(ErrorKind kind)
{
    return Responses[static_cast<std::size_t>(kind)];
}

} // namespace jacinthroad
