#include "Gateway/CrashRecordSync.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "Core/Log.h"
#include "Core/WallClock.h"
#include "Gateway/CrashRecordsObject.h"
#include "Gateway/Pause.h"
#include "Gateway/RestartingTask.h"

namespace jacinthroad {

namespace asio = boost::asio;
using platform::StoreStatus;

namespace {

constexpr const char *ObjectName = "requests";
constexpr Duration Period = milliseconds(100);
constexpr Duration CallTimeout = milliseconds(900);
/// The node serves no requests before the first read, so this is shorter.
constexpr Duration FirstReadTimeout = milliseconds(500);

Instant steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

CrashRecordSync::CrashRecordSync(asio::io_context &context, StoreClient &client,
                                 const CrashRecordKeeperOptions &options, MergeHandler mergeHandler,
                                 AttemptHandler attemptHandler)
    : context_(context)
    , client_(client)
    , keeper_(options)
    , mergeHandler_(std::move(mergeHandler))
    , attemptHandler_(std::move(attemptHandler))
{ }

asio::awaitable<void> CrashRecordSync::run()
{
    return runRestarting(context_, "crash_records", [this] { return synchronise(); });
}

void CrashRecordSync::setLocal(std::vector<CrashRecord> records)
{
    keeper_.setLocal(std::move(records), steadyNow());
}

void CrashRecordSync::noteStoreRegained()
{
    keeper_.noteStoreRegained(steadyNow());
}

asio::awaitable<void> CrashRecordSync::synchronise()
{
    std::optional<std::uint64_t> era = client_.era();
    for (;;) {
        if (era != client_.era()) {
            // A store that was restored may have lost the records.
            era = client_.era();
            keeper_.noteStoreRegained(steadyNow());
        }
        const auto call = keeper_.nextCall(steadyNow(), wallMilliseconds());
        if (call.has_value()) {
            if (const auto *reading = std::get_if<ReadCrashRecords>(&*call)) {
                co_await read(*reading);
            } else {
                co_await write(std::get<WriteCrashRecords>(*call));
            }
        }
        co_await pauseFor(context_, Period);
    }
}

asio::awaitable<void> CrashRecordSync::read(ReadCrashRecords call)
{
    const auto mode
        = call.mayBeStale ? platform::ReadMode::MayBeStale : platform::ReadMode::Current;
    const Duration timeout = attempted_ ? CallTimeout : FirstReadTimeout;
    const auto reply = co_await client_.call(
        platform::readCall(platform::ObjectKind::CrashRecords, ObjectName, mode),
        readLimits(timeout));
    if (reply.has_value() && reply->status == StoreStatus::Missing) {
        keeper_.noteMissing(call, steadyNow());
        if (!keeper_.revision().has_value()) {
            stored_ = {};
        }
    } else if (!reply.has_value() || reply->status != StoreStatus::Done
               || !applyObject(call, reply->body)) {
        keeper_.noteReadFailed(steadyNow());
    }
    noteAttempted();
}

void CrashRecordSync::noteAttempted()
{
    if (!attempted_) {
        attempted_ = true;
        attemptHandler_();
    }
}

bool CrashRecordSync::applyObject(const ReadCrashRecords &call, std::string_view body)
{
    const auto object = platform::readObject(body);
    if (!object.has_value() || object->revision == 0) {
        return false;
    }
    const auto content = readCrashRecords(object->spec);
    if (!content.has_value()) {
        logLine(LogLevel::Warning, "crash_records_unreadable",
                { { "object", ObjectName },
                  { "reason", "written_at_ms or records is missing or mistyped" },
                  { "remedy", "The next write of a node replaces it; find its writer." } });
    }
    std::vector<CrashRecord> records
        = keeper_.noteRead(call, content, object->revision, steadyNow(), wallMilliseconds());
    // A stale read is ignored.
    if (keeper_.revision() == object->revision) {
        stored_ = content.has_value() ? object->spec : Json::Value();
    }
    if (!records.empty()) {
        if (!attempted_) {
            logLine(LogLevel::Info, "crash_records_read",
                    { { "object", ObjectName },
                      { "records", static_cast<std::int64_t>(records.size()) } });
        }
        mergeHandler_(std::move(records));
    }
    return true;
}

asio::awaitable<void> CrashRecordSync::write(WriteCrashRecords call)
{
    const Json::Value spec
        = crashRecordsSpec(call.content, call.revision.has_value() ? stored_ : Json::Value());
    const auto kind = platform::ObjectKind::CrashRecords;
    platform::Call request = call.revision.has_value()
        ? platform::replaceCall(kind, ObjectName, *call.revision, spec)
        : platform::createCall(kind, ObjectName, spec);
    const auto reply = co_await client_.call(std::move(request), CallTimeout);
    if (!reply.has_value()) {
        keeper_.noteWriteUnanswered(steadyNow());
        setWritable(false, reply.error().message);
        co_return;
    }
    if (reply->status == StoreStatus::Done) {
        const auto object = platform::readObject(reply->body);
        if (object.has_value() && object->revision != 0) {
            stored_ = spec;
            keeper_.noteWritten(call, object->revision, steadyNow());
            setWritable(true, {});
            co_return;
        }
    }
    if (reply->status == StoreStatus::Conflict && applyObject({}, reply->body)) {
        keeper_.noteWriteRejected(steadyNow());
        co_return;
    }
    if (reply->status == StoreStatus::Rejected) {
        keeper_.noteWriteRejected(steadyNow());
        setWritable(false, "the store rejected the write");
        co_return;
    }
    keeper_.noteWriteUnanswered(steadyNow());
    setWritable(false, "unexpected response");
}

void CrashRecordSync::setWritable(bool writable, std::string_view reason)
{
    if (writable == writable_) {
        return;
    }
    writable_ = writable;
    if (writable) {
        logLine(LogLevel::Info, "crash_records_written", { { "object", ObjectName } });
    } else {
        logLine(LogLevel::Warning, "crash_records_not_written",
                { { "object", ObjectName },
                  { "reason", reason },
                  { "remedy", "The node tries again; check that the store accepts writes." } });
    }
}

} // namespace jacinthroad
