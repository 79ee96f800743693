#include "Configuration/PatchLog.h"

#include <utility>

#include "Configuration/MergePatch.h"
#include "Core/Json.h"

namespace jacinthroad {

namespace {

constexpr Duration OutcomeTimeout = std::chrono::seconds(10);
constexpr std::size_t MaximumHistory = 4096;

std::string patchText(const SubmitPatch &submission)
{
    Json::Value object;
    object["author"] = submission.author;
    object["reason"] = submission.reason;
    object["nonce"] = submission.nonce;
    object["at"] = submission.at;
    object["patch"] = submission.patch;
    return writeJson(object);
}

/// Parses a patch object; returns an empty patch if the text is not a valid patch object.
Json::Value patchObject(const std::string &text)
{
    auto object = parseJson(text);
    if (!object.has_value() || !object->isObject() || !(*object)["patch"].isObject()) {
        Json::Value empty(Json::objectValue);
        empty["patch"] = Json::Value(Json::objectValue);
        return empty;
    }
    return std::move(*object);
}

std::string joinFaults(const std::vector<Fault> &faults)
{
    std::string text;
    for (const Fault &fault : faults) {
        text += (text.empty() ? "" : " ") + ("'" + fault.path + "' " + fault.message + " ")
            + fault.remedy;
    }
    return text;
}

} // namespace

PatchLog::PatchLog()
    : document_(Json::objectValue)
{ }

std::vector<PatchLogEffect> PatchLog::handle(const PatchLogMessage &message, Instant now)
{
    std::visit([&](const auto &typed) { on(typed, now); }, message);
    return std::exchange(effects_, {});
}

std::vector<PatchReceived> PatchLog::patchesAfter(std::uint64_t version) const
{
    std::vector<PatchReceived> result;
    for (auto entry = applied_.upper_bound(version); entry != applied_.end(); ++entry) {
        result.push_back({ .version = entry->first, .text = entry->second });
    }
    return result;
}

void PatchLog::reject(SubmissionToken token, Error error)
{
    effects_.emplace_back(PatchRejected { .token = token, .error = std::move(error) });
}

std::string PatchLog::changesSince(std::uint64_t base) const
{
    std::string text;
    for (const PatchRecord &record : history_) {
        if (record.version <= base) {
            continue;
        }
        text += (text.empty() ? "" : "; ") + std::to_string(record.version) + " by " + record.author
            + " changed";
        for (const std::string &object : record.objects) {
            text += " " + object;
        }
    }
    return text;
}

void PatchLog::on(const SubmitPatch &message, Instant now)
{
    if (message.base != version_ || submissions_.contains(version_ + 1)) {
        const std::string changes = changesSince(message.base);
        reject(message.token,
               { .kind = ErrorKind::VersionConflict,
                 .message = "patch is based on version " + std::to_string(message.base)
                     + ", but version " + std::to_string(version_) + " is active"
                     + (changes.empty() ? std::string() : ": " + changes) });
        return;
    }
    const Json::Value next = applyMergePatch(document_, message.patch);
    const std::vector<Fault> faults = checkConfiguration(next);
    if (!faults.empty()) {
        reject(message.token,
               { .kind = ErrorKind::InvalidSettings,
                 .message = "invalid patch: " + joinFaults(faults),
                 .remedy = "Correct the listed fields and submit the patch again." });
        return;
    }
    if (message.dryRun) {
        effects_.emplace_back(PatchAccepted { .token = message.token, .version = version_ });
        return;
    }
    Submission submission { .patch = message,
                            .text = patchText(message),
                            .deadline = now + OutcomeTimeout };
    effects_.emplace_back(CreatePatchObject { .version = version_ + 1, .text = submission.text });
    submissions_.emplace(version_ + 1, std::move(submission));
}

void PatchLog::on(const PatchCreateCompleted &message, Instant now)
{
    const auto found = submissions_.find(message.version);
    if (found == submissions_.end()) {
        return;
    }
    switch (message.createOutcome) {
    case CreateOutcome::Created:
        on(PatchReceived { .version = message.version, .text = found->second.text }, now);
        break;
    case CreateOutcome::Exists:
    case CreateOutcome::NoResponse:
        // In both cases the nonce of the stored object shows whose patch it is.
        found->second.outcomeUnknown = true;
        effects_.emplace_back(ReadPatchObject { .version = message.version });
        break;
    case CreateOutcome::Rejected: {
        const SubmissionToken token = found->second.patch.token;
        submissions_.erase(found);
        reject(token,
               { .kind = ErrorKind::PlatformUnavailable,
                 .message = "the platform rejected the write; the patch was not accepted",
                 .remedy = "Submit the patch again when the platform is available." });
        break;
    }
    }
}

void PatchLog::on(const PatchReadCompleted &message, Instant now)
{
    const auto found = submissions_.find(message.version);
    if (!message.responded) {
        return;
    }
    if (message.text.has_value()) {
        on(PatchReceived { .version = message.version, .text = *message.text }, now);
        return;
    }
    if (found != submissions_.end() && found->second.outcomeUnknown) {
        // The object does not exist. A conditional create can be retried safely.
        found->second.outcomeUnknown = false;
        effects_.emplace_back(
            CreatePatchObject { .version = message.version, .text = found->second.text });
    }
}

void PatchLog::answerSubmission(std::uint64_t version, const std::string &text)
{
    const auto found = submissions_.find(version);
    if (found == submissions_.end()) {
        return;
    }
    const Submission submission = std::move(found->second);
    submissions_.erase(found);
    if (patchObject(text)["nonce"] == submission.patch.nonce) {
        effects_.emplace_back(
            PatchAccepted { .token = submission.patch.token, .version = version });
        return;
    }
    reject(submission.patch.token,
           { .kind = ErrorKind::VersionConflict,
             .message = "another patch was accepted first as version " + std::to_string(version)
                 + ": " + changesSince(submission.patch.base) });
}

void PatchLog::on(const PatchReceived &message, Instant)
{
    if (message.version <= version_) {
        return;
    }
    received_.emplace(message.version, message.text);
    applyReceived();
}

void PatchLog::applyReceived()
{
    bool changed = false;
    while (true) {
        const auto next = received_.find(version_ + 1);
        if (next == received_.end()) {
            break;
        }
        // A node validates a patch against the same document before it accepts it. An object that
        // does not apply was therefore not written by a node; it counts as an empty patch.
        const Json::Value object = patchObject(next->second);
        const Json::Value &patch = object["patch"];
        Json::Value candidate = applyMergePatch(document_, patch);
        ++version_;
        if (checkConfiguration(candidate).empty()) {
            document_ = std::move(candidate);
        }
        history_.push_back({ .version = version_,
                             .author = object["author"].asString(),
                             .reason = object["reason"].asString(),
                             .at = object["at"].asString(),
                             .objects = changedObjects(patch) });
        if (history_.size() > MaximumHistory) {
            history_.erase(history_.begin());
        }
        applied_[version_] = next->second;
        answerSubmission(version_, next->second);
        received_.erase(next);
        changed = true;
    }
    if (changed) {
        effects_.emplace_back(ConfigurationActivated {
            .configuration
            = std::make_shared<const Configuration>(readConfiguration(document_, version_)) });
    }
    if (!received_.empty()) {
        effects_.emplace_back(ReadPatchObject { .version = version_ + 1 });
    }
}

void PatchLog::on(const PlatformVersionReceived &message, Instant)
{
    if (message.version < version_ && regressionReportedAt_ != version_) {
        regressionReportedAt_ = version_;
        effects_.emplace_back(PlatformVersionRegressed { .activeVersion = version_,
                                                         .platformVersion = message.version });
        // Writes back the patches that the platform lost, for nodes that start later.
        for (const PatchReceived &patch : patchesAfter(message.version)) {
            effects_.emplace_back(
                CreatePatchObject { .version = patch.version, .text = patch.text });
        }
    }
}

void PatchLog::on(const PatchLogTick &, Instant now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[version, submission] : submissions_) {
        if (submission.deadline <= now) {
            expired.push_back(version);
        } else if (submission.outcomeUnknown) {
            effects_.emplace_back(ReadPatchObject { .version = version });
        }
    }
    for (const std::uint64_t version : expired) {
        const SubmissionToken token = submissions_.at(version).patch.token;
        submissions_.erase(version);
        reject(
            token,
            { .kind = ErrorKind::OutcomeUnknown,
              .message = "the platform did not confirm whether the patch became version "
                  + std::to_string(version),
              .remedy = "Check 'jacinthroad config history' before submitting the patch again." });
    }
}

} // namespace jacinthroad
