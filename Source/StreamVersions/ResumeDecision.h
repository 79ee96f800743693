#pragma once

#include <optional>
#include <variant>

#include "StreamVersions/StreamOrigin.h"

namespace jacinthroad {

/// The stream goes on at servers of this version.
struct ResumeAt
{
    SoftwareVersion version;
};

/// Why the version of a stream is unknown.
enum class UnknownOrigin : std::uint8_t {
    /// Several versions may have begun it, and no record names one.
    NoRecord,
    /// The store did not respond in time.
    StoreUnavailable,
};

/// The stream must not go on.
struct ResumeUnknown
{
    UnknownOrigin reason = UnknownOrigin::NoRecord;
};

using ResumeDecision = std::variant<ResumeAt, ResumeUnknown>;

/// What is known of a stream that a caller resumes.
struct ResumeEvidence
{
    /// The version that a record of the stream names, from memory or from the store.
    std::optional<SoftwareVersion> recorded;
    /// True if the version table was read from the store after the caller's request had arrived.
    bool tableRead = false;
    /// All versions that may have begun streams of the service which can still be resumed: those of
    /// the table, those listed now, and those that this node remembers.
    VersionSet versions;
};

/// Decides at which version a stream goes on. A missing record proves nothing.
[[nodiscard]] ResumeDecision decideResume(const ResumeEvidence &evidence);

} // namespace jacinthroad
