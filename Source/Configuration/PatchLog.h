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

/// Names one submitted patch until it is answered.
using SubmissionToken = std::uint64_t;

/// An operator submits a patch.
struct SubmitPatch
{
    SubmissionToken token = 0;
    /// The version that the operator looked at.
    std::uint64_t base = 0;
    std::string author;
    std::string reason;
    /// Unique text by which a lost answer is settled.
    std::string nonce;
    /// Wall-clock time as RFC 3339 text, for the history.
    std::string at;
    Json::Value patch;
    /// Check and answer, and write nothing.
    bool dryRun = false;
};

/// A patch object was seen, by watch, list or from a peer.
struct PatchReceived
{
    std::uint64_t version = 0;
    std::string text;
};

/// How the platform answered a conditional create.
enum class CreateOutcome : std::uint8_t {
    Created,
    /// The object existed already.
    Exists,
    /// No answer; the write may have taken effect.
    NoResponse,
    /// Provably not written.
    Rejected,
};

/// The platform's answer to CreatePatchObject.
struct PatchCreateCompleted
{
    std::uint64_t version = 0;
    CreateOutcome outcome = CreateOutcome::NoResponse;
};

/// The platform's answer to ReadPatchObject.
struct PatchReadCompleted
{
    std::uint64_t version = 0;
    /// False when the platform gave no answer.
    bool responded = false;
    /// Absent when there is no such object.
    std::optional<std::string> text;
};

/// The highest version that the platform holds, as a list told.
struct PlatformVersionReceived
{
    std::uint64_t version = 0;
};

/// Time passed; unsettled submissions are asked about again.
struct PatchLogTick
{ };

using PatchLogMessage = std::variant<SubmitPatch, PatchReceived, PatchCreateCompleted,
                                     PatchReadCompleted, PlatformVersionReceived, PatchLogTick>;

/// Create the object of a version unless it exists.
struct CreatePatchObject
{
    std::uint64_t version = 0;
    std::string text;
};

/// Read the object of a version.
struct ReadPatchObject
{
    std::uint64_t version = 0;
};

/// A new version is in force.
struct ConfigurationActivated
{
    std::shared_ptr<const Configuration> configuration;
};

/// Answer a submission: it is accepted as this version.
struct PatchAccepted
{
    SubmissionToken token = 0;
    std::uint64_t version = 0;
};

/// Answer a submission: it is not accepted, or its outcome is unknown.
struct PatchRejected
{
    SubmissionToken token = 0;
    Error error;
};

/// The platform holds less than what is in force, as after a restore from a backup.
struct PlatformVersionRegressed
{
    std::uint64_t inForce = 0;
    std::uint64_t platform = 0;
};

using PatchLogEffect = std::variant<CreatePatchObject, ReadPatchObject, ConfigurationActivated,
                                    PatchAccepted, PatchRejected, PlatformVersionRegressed>;

/// One accepted patch, for the history.
struct PatchRecord
{
    std::uint64_t version = 0;
    std::string author;
    std::string reason;
    std::string at;
    std::vector<std::string> objects;
};

/// The numbered configuration as one node knows it. Patches are objects `patch/<N>` in the
/// platform; the create-if-absent of N + 1 is what decides between operators. The version in
/// force only rises. Pure: messages and time in, effects out.
class PatchLog
{
public:
    PatchLog();

    /// Takes one message and returns what to do about it.
    [[nodiscard]] std::vector<PatchLogEffect> handle(const PatchLogMessage &message, Instant now);

    /// Version in force; 0 before the first.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// The document in force.
    [[nodiscard]] const Json::Value &document() const { return document_; }
    /// The most recent patches, oldest first.
    [[nodiscard]] const std::vector<PatchRecord> &history() const { return history_; }
    /// Patch objects after a version, for peers.
    [[nodiscard]] std::vector<PatchReceived> patchesAfter(std::uint64_t version) const;

private:
    struct Submission
    {
        SubmitPatch patch;
        std::string text;
        Instant deadline;
        bool unsettled = false;
    };

    void on(const SubmitPatch &message, Instant now);
    void on(const PatchReceived &message, Instant now);
    void on(const PatchCreateCompleted &message, Instant now);
    void on(const PatchReadCompleted &message, Instant now);
    void on(const PlatformVersionReceived &message, Instant now);
    void on(const PatchLogTick &message, Instant now);

    void applySeen();
    void reject(SubmissionToken token, Error error);
    void settle(std::uint64_t version, const std::string &text);
    [[nodiscard]] std::string changesSince(std::uint64_t base) const;

    std::uint64_t version_ = 0;
    std::uint64_t alarmedAt_ = 0;
    Json::Value document_;
    std::map<std::uint64_t, std::string> seen_;
    std::map<std::uint64_t, std::string> applied_;
    std::vector<PatchRecord> history_;
    /// By the version that the submission tries to become.
    std::map<std::uint64_t, Submission> submissions_;
    std::vector<PatchLogEffect> effects_;
};

} // namespace jacinthroad
