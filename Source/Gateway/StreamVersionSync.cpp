#include "Gateway/StreamVersionSync.h"

#include <algorithm>
#include <chrono>
#include <variant>

#include <boost/asio/co_spawn.hpp>

#include "Core/Log.h"
#include "Core/PageAccount.h"
#include "Core/WallClock.h"
#include "Gateway/BootClock.h"
#include "Gateway/RestartingTask.h"
#include "Gateway/StreamVersionsObject.h"

namespace jacinthroad {

namespace asio = boost::asio;
using platform::ObjectKind;
using platform::StoreStatus;

namespace {

constexpr const char *TableName = "table";
/// The store normally responds within a few milliseconds; callers wait for some of the calls.
constexpr Duration CallTimeout = milliseconds(600);
/// Number of resumed streams whose origins are remembered, about 150 bytes each.
constexpr std::size_t RememberedOrigins = 4096;
constexpr Duration OmissionLogPeriod = std::chrono::seconds(10);
/// What a list of the records of all nodes may take, for which callers wait.
constexpr PageLimits OriginsLimits { .bytes = std::size_t { 1024 } * 1024,
                                     .time = std::chrono::seconds(10) };

Instant steadyNow()
{
    return std::chrono::steady_clock::now();
}

/// The time of a clock that goes on while the VM is suspended. ServedVersions measures by it how
/// old the list of servers is, because other nodes remove versions meanwhile.
Instant bootClock(BootInstant moment)
{
    return Instant(moment.sinceBoot);
}

Instant versionsNow()
{
    return bootClock(bootNow());
}

/// The time of the steady clock that corresponds to one of versionsNow().
std::optional<Instant> steadyTime(std::optional<Instant> time)
{
    return time.has_value() ? std::optional(steadyNow() + (*time - versionsNow())) : std::nullopt;
}

std::string joined(const VersionSet &versions)
{
    std::string text;
    for (const SoftwareVersion &version : versions) {
        text.append(text.empty() ? "" : " ").append(version.empty() ? "(unnamed)" : version);
    }
    return text;
}

} // namespace

StreamVersionSync::StreamVersionSync(asio::io_context &context, StoreClient &client,
                                     Options options, AdmittedHandler admittedHandler)
    : context_(context)
    , client_(client)
    , options_(std::move(options))
    , admittedHandler_(std::move(admittedHandler))
    , tableWakeUp_(context)
    , recordsWakeUp_(context)
    , memory_(RememberedOrigins)
    , resumesWakeUp_(context)
{ }

asio::awaitable<void> StreamVersionSync::run()
{
    asio::co_spawn(context_,
                   runRestarting(context_, "stream_records", [this] { return keepRecords(); }),
                   logFailure("stream_records"));
    asio::co_spawn(context_,
                   runRestarting(context_, "stream_resumes", [this] { return answerResumes(); }),
                   logFailure("stream_resumes"));
    return runRestarting(context_, "stream_versions", [this] { return keepTable(); });
}

void StreamVersionSync::applyServices(const std::set<ServiceId> &services)
{
    served_.setServices(services);
    updateAdmitted();
    tableWakeUp_.wake();
}

void StreamVersionSync::applyServers(std::span<const ListedServer> servers)
{
    noteEra();
    VersionTable listed;
    for (const ListedServer &server : servers) {
        listed[server.service].insert(server.softwareVersion);
    }
    served_.setListed(std::move(listed), versionsNow());
    updateAdmitted();
    tableWakeUp_.wake();
}

void StreamVersionSync::confirmServers(BootInstant moment)
{
    noteEra();
    served_.confirmList(bootClock(moment));
    updateAdmitted();
    tableWakeUp_.wake();
}

void StreamVersionSync::setNodeCount(std::size_t count)
{
    log_.setNodeCount(count);
}

void StreamVersionSync::record(std::vector<StreamOrigin> origins)
{
    log_.record(origins, steadyNow());
    recordsWakeUp_.wake();
}

void StreamVersionSync::noteEra()
{
    const auto era = client_.era();
    if (era == era_) {
        return;
    }
    if (era_.has_value()) {
        served_.noteRestored();
        recordsKnown_ = false;
        log_.noteLost();
        updateAdmitted();
        tableWakeUp_.wake();
        recordsWakeUp_.wake();
    }
    era_ = era;
}

void StreamVersionSync::updateAdmitted()
{
    VersionTable admitted = served_.admitted(versionsNow());
    if (admitted != admitted_) {
        logAdmitted(admitted);
        admitted_ = std::move(admitted);
        admittedHandler_(admitted_);
    }
}

void StreamVersionSync::logAdmitted(const VersionTable &admitted) const
{
    std::set<ServiceId> services;
    for (const VersionTable *table : { &admitted, &admitted_ }) {
        for (const auto &[service, versions] : *table) {
            services.insert(service);
        }
    }
    for (const ServiceId &service : services) {
        const auto row = admitted.find(service);
        const auto before = admitted_.find(service);
        const VersionSet now = row == admitted.end() ? VersionSet {} : row->second;
        if (before == admitted_.end() || before->second != now) {
            logLine(LogLevel::Info, "stream_versions",
                    { { "object", TableName },
                      { "service", service.text() },
                      { "versions", joined(now) } });
        }
    }
}

asio::awaitable<void> StreamVersionSync::keepTable()
{
    for (;;) {
        noteEra();
        updateAdmitted();
        const Instant now = versionsNow();
        const auto call = served_.nextCall(now);
        if (!call.has_value()) {
            co_await tableWakeUp_.waitUntil(steadyTime(served_.nextChange(now)));
        } else if (std::holds_alternative<ReadVersionTable>(*call)) {
            co_await readTable();
        } else {
            co_await writeTable(std::get<WriteVersionTable>(*call));
        }
    }
}

asio::awaitable<void> StreamVersionSync::readTable()
{
    const Instant startedAt = versionsNow();
    const auto reply = co_await client_.call(
        platform::readCall(ObjectKind::SoftwareVersions, TableName), readLimits(CallTimeout));
    noteEra();
    if (!applyTableRead(reply, startedAt).applied) {
        served_.noteFailed(versionsNow());
    }
}

StreamVersionSync::TableReply StreamVersionSync::applyTableRead(const Result<StoreReply> &reply,
                                                                Instant startedAt)
{
    if (!reply.has_value()) {
        return {};
    }
    if (reply->status == StoreStatus::Missing) {
        served_.noteMissing(startedAt, versionsNow());
        if (!served_.revision().has_value()) {
            storedTable_ = {};
        }
        updateAdmitted();
        return { .applied = true, .content = KeptVersions {} };
    }
    if (reply->status != StoreStatus::Done) {
        return {};
    }
    return applyTable(reply->body, startedAt);
}

StreamVersionSync::TableReply StreamVersionSync::applyTable(std::string_view body,
                                                            Instant startedAt)
{
    const auto object = platform::readObject(body);
    if (!object.has_value() || object->revision == 0) {
        return {};
    }
    auto content = readVersionTable(object->spec);
    if (!content.has_value() && object->revision != unreadableRevision_) {
        unreadableRevision_ = object->revision;
        logLine(LogLevel::Warning, "stream_versions_unreadable",
                { { "object", TableName },
                  { "reason", "services is missing or mistyped" },
                  { "remedy", "The next write of a node replaces it; find its writer." } });
    }
    served_.noteRead(content, object->revision, startedAt, versionsNow());
    // A reply that a later one has overtaken is ignored.
    if (served_.revision() == object->revision) {
        storedTable_ = content.has_value() ? object->spec : Json::Value();
    }
    updateAdmitted();
    tableWakeUp_.wake();
    return { .applied = true, .content = std::move(content) };
}

asio::awaitable<void> StreamVersionSync::writeTable(WriteVersionTable call)
{
    const Json::Value spec
        = versionTableSpec(call.content, call.revision.has_value() ? storedTable_ : Json::Value());
    const auto kind = ObjectKind::SoftwareVersions;
    platform::Call request = call.revision.has_value()
        ? platform::replaceCall(kind, TableName, *call.revision, spec)
        : platform::createCall(kind, TableName, spec);
    const Instant startedAt = versionsNow();
    const auto reply = co_await client_.call(std::move(request), CallTimeout);
    noteEra();
    if (reply.has_value() && reply->status == StoreStatus::Done) {
        const auto object = platform::readObject(reply->body);
        if (object.has_value() && object->revision != 0) {
            served_.noteRead(call.content, object->revision, startedAt, versionsNow());
            if (served_.revision() == object->revision) {
                storedTable_ = spec;
            }
            co_return;
        }
    }
    if (reply.has_value() && reply->status == StoreStatus::Conflict
        && applyTable(reply->body, startedAt).applied) {
        co_return;
    }
    served_.noteFailed(versionsNow());
}

asio::awaitable<void> StreamVersionSync::keepRecords()
{
    for (;;) {
        noteEra();
        const auto due = log_.writeDueAt();
        if (!due.has_value() || *due > steadyNow()) {
            co_await recordsWakeUp_.waitUntil(due);
        } else if (!recordsKnown_) {
            co_await readRecords();
        } else {
            co_await writeRecords();
        }
    }
}

asio::awaitable<void> StreamVersionSync::readRecords()
{
    const auto reply = co_await client_.call(
        platform::readCall(ObjectKind::StreamOrigins, options_.node), readLimits(CallTimeout));
    noteEra();
    if (reply.has_value() && reply->status == StoreStatus::Missing) {
        recordsRevision_.reset();
        recordsKnown_ = true;
        co_return;
    }
    if (reply.has_value() && reply->status == StoreStatus::Done) {
        const auto object = platform::readObject(reply->body);
        if (object.has_value() && object->revision != 0) {
            recordsRevision_ = object->revision;
            recordsKnown_ = true;
            log_.merge(readStreamOrigins(object->spec), steadyNow(), wallMilliseconds());
            co_return;
        }
    }
    log_.noteWriteRejected(steadyNow());
    setWritable(false,
                reply.has_value() ? "the store rejected the read before the write"
                                  : reply.error().message);
}

asio::awaitable<void> StreamVersionSync::writeRecords()
{
    const std::vector<OriginBatch> batches = log_.beginWrite(steadyNow(), wallMilliseconds());
    const Json::Value spec = streamOriginsSpec(batches);
    const auto kind = ObjectKind::StreamOrigins;
    platform::Call request = recordsRevision_.has_value()
        ? platform::replaceCall(kind, options_.node, *recordsRevision_, spec)
        : platform::createCall(kind, options_.node, spec);
    const auto reply = co_await client_.call(std::move(request), CallTimeout);
    // Afterwards the store may hold the object at another revision.
    recordsKnown_ = false;
    noteEra();
    logOmittedRecords(steadyNow());
    if (!reply.has_value()) {
        log_.noteWriteUnanswered();
        setWritable(false, reply.error().message);
        co_return;
    }
    const auto object = platform::readObject(reply->body);
    const bool readable = object.has_value() && object->revision != 0;
    if (reply->status == StoreStatus::Done && readable) {
        recordsRevision_ = object->revision;
        recordsKnown_ = true;
        log_.noteWritten();
        setWritable(true, {});
        co_return;
    }
    if (reply->status == StoreStatus::Conflict && readable) {
        recordsRevision_ = object->revision;
        recordsKnown_ = true;
        log_.merge(readStreamOrigins(object->spec), steadyNow(), wallMilliseconds());
        log_.noteWriteUnanswered();
        co_return;
    }
    log_.noteWriteRejected(steadyNow());
    setWritable(false, "the store rejected the write");
}

void StreamVersionSync::logOmittedRecords(Instant now)
{
    if (log_.omitted() == loggedOmissions_
        || (omissionsLoggedAt_.has_value() && now - *omissionsLoggedAt_ < OmissionLogPeriod)) {
        return;
    }
    logLine(LogLevel::Warning, "stream_records_omitted",
            { { "object", options_.node },
              { "streams", static_cast<std::int64_t>(log_.omitted() - loggedOmissions_) },
              { "reason", "the node sent more streams than it records" },
              { "remedy",
                "Add nodes; callers can't resume these streams while several software "
                "versions serve." } });
    loggedOmissions_ = log_.omitted();
    omissionsLoggedAt_ = now;
}

void StreamVersionSync::setWritable(bool writable, std::string_view reason)
{
    if (writable == writable_) {
        return;
    }
    writable_ = writable;
    if (writable) {
        logLine(LogLevel::Info, "stream_records_written", { { "object", options_.node } });
    } else {
        logLine(LogLevel::Warning, "stream_records_not_written",
                { { "object", options_.node },
                  { "reason", reason },
                  { "remedy", "The node tries again; check that the store accepts writes." } });
    }
}

void StreamVersionSync::resolve(StreamId stream, const ServiceId &service, ResumeHandler handler)
{
    auto version = log_.find(stream, service);
    if (!version.has_value()) {
        version = memory_.find(stream, service);
    }
    if (version.has_value()) {
        handler(decideResume({ .recorded = version, .tableRead = false, .versions = {} }));
        return;
    }
    waiting_.push_back({ .stream = stream, .service = service, .handler = std::move(handler) });
    resumesWakeUp_.wake();
}

asio::awaitable<void> StreamVersionSync::answerResumes()
{
    // These remain if the task has failed and was started again.
    while (!answering_.empty()) {
        answerLast({});
    }
    for (;;) {
        while (!waiting_.empty()) {
            answering_ = std::exchange(waiting_, {});
            co_await answer();
        }
        co_await resumesWakeUp_.waitUntil(std::nullopt);
    }
}

ResumeEvidence StreamVersionSync::evidence(const Resume &resume,
                                           const std::optional<KeptVersions> &table) const
{
    ResumeEvidence evidence { .recorded = log_.find(resume.stream, resume.service),
                              .tableRead = table.has_value() && storeSettled_,
                              .versions = {} };
    if (!table.has_value()) {
        return evidence;
    }
    const auto row = table->versions.find(resume.service);
    if (row != table->versions.end()) {
        evidence.versions = served_.known(resume.service, versionsNow());
        evidence.versions.insert(row->second.begin(), row->second.end());
    }
    return evidence;
}

asio::awaitable<void> StreamVersionSync::answer()
{
    const Instant startedAt = versionsNow();
    const auto reply = co_await client_.call(
        platform::readCall(ObjectKind::SoftwareVersions, TableName), readLimits(CallTimeout));
    noteEra();
    const std::optional<KeptVersions> table = applyTableRead(reply, startedAt).content;
    FoundOrigins found;
    bool complete = true;
    const bool needsRecords
        = std::any_of(answering_.begin(), answering_.end(), [&](const Resume &resume) {
              return std::holds_alternative<ResumeUnknown>(decideResume(evidence(resume, table)));
          });
    if (reply.has_value() && needsRecords) {
        complete = co_await findOrigins(found);
    }
    while (!answering_.empty()) {
        const Resume &resume = answering_.back();
        ResumeEvidence known = evidence(resume, table);
        const auto origins = found.find({ resume.stream, resume.service });
        if (!known.recorded.has_value() && origins != found.end()) {
            known.versions.insert(origins->second.begin(), origins->second.end());
            if (origins->second.size() == 1) {
                known.recorded = *origins->second.begin();
                memory_.add({ .stream = resume.stream,
                              .service = resume.service,
                              .version = *known.recorded });
            }
        }
        known.tableRead = known.tableRead && complete;
        answerLast(known);
    }
}

asio::awaitable<bool> StreamVersionSync::findOrigins(FoundOrigins &found)
{
    std::set<std::pair<StreamId, ServiceId>> wanted;
    for (const Resume &resume : answering_) {
        wanted.emplace(resume.stream, resume.service);
    }
    PageAccount account("list of 'streamorigins'", "the store", client_.memory(), OriginsLimits);
    account.begin(steadyNow());
    std::string after;
    for (bool more = true; more;) {
        const auto reply = co_await client_.call(
            platform::listCall(ObjectKind::StreamOrigins, after), readLimits(CallTimeout));
        noteEra();
        if (!reply.has_value() || reply->status != StoreStatus::Done) {
            co_return false;
        }
        const auto page = platform::readPage(reply->body);
        if (!page.has_value()) {
            co_return false;
        }
        std::size_t keptBytes = 0;
        for (const platform::StoredObject &object : page->objects) {
            for (const OriginBatch &batch : readStreamOrigins(object.spec)) {
                for (const StreamId stream : batch.streams) {
                    if (wanted.contains({ stream, batch.service })
                        && found[{ stream, batch.service }].insert(batch.version).second) {
                        keptBytes += sizeof(SoftwareVersion) + batch.version.size();
                    }
                }
            }
        }
        const auto added = account.add(keptBytes, steadyNow());
        if (!added.has_value()) {
            logLine(LogLevel::Warning, "list_refused",
                    { { "object", "streamorigins" },
                      { "reason", added.error().message },
                      { "remedy", added.error().remedyText() } });
            co_return false;
        }
        more = page->more && !page->objects.empty() && page->objects.back().name > after;
        if (more) {
            after = page->objects.back().name;
        }
    }
    co_return true;
}

void StreamVersionSync::answerLast(const ResumeEvidence &evidence)
{
    const ResumeHandler handler = std::move(answering_.back().handler);
    answering_.pop_back();
    handler(decideResume(evidence));
}

} // namespace jacinthroad
