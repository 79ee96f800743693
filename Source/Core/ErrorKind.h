#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace jacinthroad {

/// All error kinds. Every rejection that a caller receives and every internal error has one of
/// them; errorResponse() returns the response to each.
enum class ErrorKind : std::uint8_t {
    InvalidRequest,
    Unauthorized,
    NotFound,
    MethodNotAllowed,
    PayloadTooLarge,
    UnknownModel,
    UnknownService,
    TeamLimit,
    Overloaded,
    DeadlineUnreachable,
    Draining,
    NoBackendServer,
    StreamOriginUnknown,
    PlatformUnavailable,
    IdempotencyKeyMissing,
    IdempotencyKeyReused,
    IdempotencyKeyExpired,
    RequestInProgress,
    OutcomeUnknown,
    BackendFailed,
    Quarantined,
    VersionConflict,
    InvalidSettings,
    NotReady,
    TimedOut,
    HeaderTooLarge,
    /// The bodies of other requests take the memory that this one's body needs.
    BodyMemoryFull,
    /// The caller closed its sending side before its request had a response.
    CallerClosed,
    Internal,
};

/// Response to the caller for an error kind.
struct ErrorResponse
{
    ErrorKind kind;
    /// The `kind` member of the JSON error object; stable across versions.
    std::string_view name;
    /// HTTP status code.
    int status;
    /// Default retry delay in milliseconds; 0 means that the same request will not succeed later
    /// without a change.
    int retryAfterMs;
    /// What the reader can do about the error, in one sentence.
    std::string_view remedy;
};

/// Returns the responses to all kinds, in the order of the enumeration.
[[nodiscard]] std::span<const ErrorResponse> errorResponses();

/// Returns the response to a kind.
[[nodiscard]] const ErrorResponse &errorResponse(ErrorKind kind);

} // namespace jacinthroad
