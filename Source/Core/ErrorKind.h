#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace jacinthroad {

/// The closed list of error kinds. Every refusal a caller sees and every error between parts
/// carries one of them; the answer to each stands in the table that errorAnswer() reads.
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
    Internal,
};

/// What a caller is told for one error kind.
struct ErrorResponse
{
    ErrorKind kind;
    /// The `kind` member of the JSON refusal; stable across versions.
    std::string_view name;
    /// HTTP status code.
    int status;
    /// Default advice on when to come back, in milliseconds; 0 means that the same request
    /// will not succeed later without a change.
    int retryAfterMs;
    /// What the reader can do about it, one sentence.
    std::string_view remedy;
};

/// The whole table, in the order of the enumeration.
[[nodiscard]] std::span<const ErrorResponse> errorResponses();

/// The answer to one kind.
[[nodiscard]] const ErrorResponse &errorResponse(ErrorKind kind);

} // namespace jacinthroad
