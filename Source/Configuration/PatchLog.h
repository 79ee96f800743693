#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <json/value.h>

#include "Configuration/Configuration.h"
#include "Core/Error.h"
#include "Core/Time.h"

namespace jacinthroad {

/// Identifies a submitted patch until its submission is answered.
using SubmissionToken = std::uint64_t;

/// Message: an operator submits a patch.
struct SubmitPatch
{
    SubmissionToken token = 0;
    /// The version that the patch is based on.
    std::uint64_t base = 0;
    std::string author;
    std::string reason;
    /// Unique string in the patch object. If the response to a write is lost, it shows whether the
    /// stored object is this patch.
    std::string nonce;
    /// Wall-clock time in RFC 3339 format, for the history.
    std::string at;
    Json::Value patch;
    /// Only validate the patch; write nothing.
    bool dryRun = false;
};

/// Message: a patch object was received, by a watch, by a list or from a peer.
struct PatchReceived
{
    std::uint64_t version = 0;
    std::string text;
};

/// Outcome of a conditional create.
enum class CreateOutcome : std::uint8_t {
    Created,
    /// The object existed already.
    Exists,
    /// No response; the write may have taken effect.
    NoResponse,
    /// Certainly not written.
    Rejected,
};

/// Message: CreatePatchObject completed.
struct PatchCreateCompleted
{
    std::uint64_t version = 0;
    CreateOutcome createOutcome = CreateOutcome::NoResponse;
};

/// Message: ReadPatchObject completed.
struct PatchReadCompleted
{
    std::uint64_t version = 0;
    /// False if the platform did not respond.
    bool responded = false;
    /// Unset if the object does not exist.
    std::optional<std::string> text;
};

/// Message: a list showed the highest version that the platform stores.
struct PlatformVersionReceived
{
    std::uint64_t version = 0;
};

/// Message: periodic tick. Submissions with an unknown outcome are read again or time out.
struct PatchLogTick
{ };

using PatchLogMessage = std::variant<SubmitPatch, PatchReceived, PatchCreateCompleted,
                                     PatchReadCompleted, PlatformVersionReceived, PatchLogTick>;

/// Effect: create the object of a version unless it exists.
struct CreatePatchObject
{
    std::uint64_t version = 0;
    std::string text;
};

/// Effect: read the object of a version.
struct ReadPatchObject
{
    std::uint64_t version = 0;
};

/// Effect: a new version became active.
struct ConfigurationActivated
{
    std::shared_ptr<const Configuration> configuration;
};

/// Effect: answer a submission, which was accepted as this version.
struct PatchAccepted
{
    SubmissionToken token = 0;
    std::uint64_t version = 0;
};

/// Effect: answer a submission that was not accepted or whose outcome is unknown.
struct PatchRejected
{
    SubmissionToken token = 0;
    Error error;
};

/// Effect: the platform stores an older version than the active one, for example after a restore
/// from a backup.
struct PlatformVersionRegressed
{
    /// The active version.
    std::uint64_t activeVersion = 0;
    /// The highest version that the platform stores.
    std::uint64_t platformVersion = 0;
};

using PatchLogEffect = std::variant<CreatePatchObject, ReadPatchObject, ConfigurationActivated,
                                    PatchAccepted, PatchRejected, PlatformVersionRegressed>;

/// History entry of an accepted patch.
struct PatchRecord
{
    std::uint64_t version = 0;
    std::string author;
    std::string reason;
    std::string at;
    /// Configuration objects that the patch changed.
    std::vector<std::string> objects;
};

/// A node's replica of the versioned configuration. Patches are objects `patch/<N>` in the
/// platform; creating N + 1 only if it is absent decides between concurrent operators. The active
/// version never decreases. Does no I/O and reads no clock: takes messages and the time and returns
/// effects.
class PatchLog
{
public:
    PatchLog();

    /// Handles a message and returns the resulting effects.
    [[nodiscard]] std::vector<PatchLogEffect> handle(const PatchLogMessage &message, Instant now);

    /// The active version; 0 before the first patch.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// The active document.
    [[nodiscard]] const Json::Value &document() const { return document_; }
    /// The most recent patches, oldest first.
    [[nodiscard]] const std::vector<PatchRecord> &history() const { return history_; }
    /// The applied patch objects after a version, for peers.
    [[nodiscard]] std::vector<PatchReceived> patchesAfter(std::uint64_t version) const;

private:
    struct Submission
    {
        SubmitPatch patch;
        std::string text;
        Instant deadline;
        bool outcomeUnknown = false;
    };

    void on(const SubmitPatch &message, Instant now);
    void on(const PatchReceived &message, Instant now);
    void on(const PatchCreateCompleted &message, Instant now);
    void on(const PatchReadCompleted &message, Instant now);
    void on(const PlatformVersionReceived &message, Instant now);
    void on(const PatchLogTick &message, Instant now);

    void applyReceived();
    void reject(SubmissionToken token, Error error);
    void answerSubmission(std::uint64_t version, const std::string &text);
    [[nodiscard]] std::string changesSince(std::uint64_t base) const;

    std::uint64_t version_ = 0;
    std::uint64_t regressionReportedAt_ = 0;
    Json::Value document_;
    std::map<std::uint64_t, std::string> received_;
    std::map<std::uint64_t, std::string> applied_;
    std::vector<PatchRecord> history_;
    /// Pending submissions by the version that they are to become.
    std::map<std::uint64_t, Submission> submissions_;
    std::vector<PatchLogEffect> effects_;
};

} // namespace jacinthroad
