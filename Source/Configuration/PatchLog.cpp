#include "Configuration/PatchLog.h"

#include <utility>

#include "Configuration/MergePatch.h"
#include "Core/Json.h"

namespace jacinthroad {

namespace {

constexpr Duration SettleTime = std::chrono::seconds(10);
constexpr std::size_t MostHistory = 4096;

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

/// The object written for a patch; an empty one when the text is not such an object.
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

std::string joined(const std::vector<Fault> &faults)
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
    for (auto place = applied_.upper_bound(version); place != applied_.end(); ++place) {
        result.push_back({ .version = place->first, .text = place->second });
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
            + " touched";
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
                 .message = "patch names base " + std::to_string(message.base) + ", but version "
                     + std::to_string(version_) + " is in force"
                     + (changes.empty() ? std::string() : ": " + changes) });
        return;
    }
    const Json::Value next = applyMergePatch(document_, message.patch);
    const std::vector<Fault> faults = checkConfiguration(next);
    if (!faults.empty()) {
        reject(message.token,
               { .kind = ErrorKind::InvalidSettings,
                 .message = "patch refused: " + joined(faults),
                 .remedy = "Correct every field named and submit the patch again." });
        return;
    }
    if (message.dryRun) {
        effects_.emplace_back(PatchAccepted { .token = message.token, .version = version_ });
        return;
    }
    Submission submission { .patch = message,
                            .text = patchText(message),
                            .deadline = now + SettleTime };
    effects_.emplace_back(CreatePatchObject { .version = version_ + 1, .text = submission.text });
    submissions_.emplace(version_ + 1, std::move(submission));
}

void PatchLog::on(const PatchCreateCompleted &message, Instant now)
{
    const auto found = submissions_.find(message.version);
    if (found == submissions_.end()) {
        return;
    }
    switch (message.outcome) {
    case CreateOutcome::Created:
        on(PatchReceived { .version = message.version, .text = found->second.text }, now);
        break;
    case CreateOutcome::Exists:
    case CreateOutcome::NoResponse:
        // Either way the object itself tells, by its nonce, whose patch it is.
        found->second.unsettled = true;
        effects_.emplace_back(ReadPatchObject { .version = message.version });
        break;
    case CreateOutcome::Rejected: {
        const SubmissionToken token = found->second.patch.token;
        submissions_.erase(found);
        reject(token,
               { .kind = ErrorKind::PlatformUnavailable,
                 .message = "the platform refused the write; the patch is not accepted",
                 .remedy = "Submit the patch again when the platform answers." });
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
    if (found != submissions_.end() && found->second.unsettled) {
        // Nothing was written so far; the same conditional create is safe to send again.
        found->second.unsettled = false;
        effects_.emplace_back(
            CreatePatchObject { .version = message.version, .text = found->second.text });
    }
}

void PatchLog::settle(std::uint64_t version, const std::string &text)
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
             .message = "another patch became version " + std::to_string(version)
                 + " first: " + changesSince(submission.patch.base) });
}

void PatchLog::on(const PatchReceived &message, Instant)
{
    if (message.version <= version_) {
        return;
    }
    seen_.emplace(message.version, message.text);
    applySeen();
}

void PatchLog::applySeen()
{
    bool changed = false;
    while (true) {
        const auto next = seen_.find(version_ + 1);
        if (next == seen_.end()) {
            break;
        }
        // A patch that some node accepted was checked against the same document, so an object
        // that does not apply was written past the system; it counts as an empty patch.
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
        if (history_.size() > MostHistory) {
            history_.erase(history_.begin());
        }
        applied_[version_] = next->second;
        settle(version_, next->second);
        seen_.erase(next);
        changed = true;
    }
    if (changed) {
        effects_.emplace_back(ConfigurationActivated {
            .configuration
            = std::make_shared<const Configuration>(readConfiguration(document_, version_)) });
    }
    if (!seen_.empty()) {
        effects_.emplace_back(ReadPatchObject { .version = version_ + 1 });
    }
}

void PatchLog::on(const PlatformVersionReceived &message, Instant)
{
    if (message.version < version_ && alarmedAt_ != version_) {
        alarmedAt_ = version_;
        effects_.emplace_back(
            PlatformVersionRegressed { .inForce = version_, .platform = message.version });
        // Writes back what the platform lost, so that nodes yet to start find it.
        for (const PatchReceived &patch : patchesAfter(message.version)) {
            effects_.emplace_back(
                CreatePatchObject { .version = patch.version, .text = patch.text });
        }
    }
}

void PatchLog::on(const PatchLogTick &, Instant now)
{
    std::vector<std::uint64_t> late;
    for (const auto &[version, submission] : submissions_) {
        if (submission.deadline <= now) {
            late.push_back(version);
        } else if (submission.unsettled) {
            effects_.emplace_back(ReadPatchObject { .version = version });
        }
    }
    for (const std::uint64_t version : late) {
        const SubmissionToken token = submissions_.at(version).patch.token;
        submissions_.erase(version);
        reject(token,
               { .kind = ErrorKind::OutcomeUnknown,
                 .message = "the platform did not say whether the patch became version "
                     + std::to_string(version),
                 .remedy = "Look at 'jacinthroad config history' before submitting it again." });
    }
}

} // namespace jacinthroad
