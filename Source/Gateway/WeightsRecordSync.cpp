#include "Gateway/WeightsRecordSync.h"

#include <fstream>
#include <utility>

#include "Core/Hashing.h"
#include "Core/Log.h"
#include "Core/WallClock.h"
#include "Gateway/BootClock.h"
#include "Gateway/Pause.h"
#include "Gateway/RestartingTask.h"
#include "Gateway/WeightsRecordObject.h"

namespace jacinthroad {

namespace asio = boost::asio;
using platform::ObjectKind;
using platform::StoreStatus;

namespace {

constexpr Duration CallTimeout = milliseconds(900);
constexpr Duration Period = milliseconds(100);
constexpr Duration ReadRetryPause = milliseconds(200);
/// A page has about 500 objects; a few nodes of a fleet write one each.
constexpr unsigned MaxPages = 4;
constexpr std::uint64_t Phases = 256;

/// Identifies the start of the kernel on Linux; empty where that can't be read.
std::string readKernelBoot()
{
    std::ifstream file("/proc/sys/kernel/random/boot_id");
    std::string id;
    std::getline(file, id);
    return id;
}

WeightsRecordSchedule::Options scheduleOf(const std::string &node)
{
    WeightsRecordSchedule::Options options;
    options.phase = options.period * (hash64(node) % Phases) / Phases;
    return options;
}

} // namespace

WeightsRecordSync::WeightsRecordSync(asio::io_context &context, StoreClient &store,
                                     std::string node, AgesSource agesSource,
                                     AgesHandler agesHandler)
    : context_(context)
    , store_(store)
    , node_(std::move(node))
    , kernelBoot_(readKernelBoot())
    , agesSource_(std::move(agesSource))
    , agesHandler_(std::move(agesHandler))
    , schedule_(scheduleOf(node_), std::chrono::steady_clock::now())
{ }

asio::awaitable<void> WeightsRecordSync::run()
{
    return runRestarting(context_, "weights_records", [this] { return keepRecord(); });
}

asio::awaitable<void> WeightsRecordSync::keepRecord()
{
    while (!records_.has_value()) {
        if (!co_await readRecords()) {
            co_await pauseFor(context_, ReadRetryPause);
        }
    }
    dateListed();
    for (;;) {
        const std::vector<DesiredWeightsAge> ages = agesSource_();
        const Instant now = std::chrono::steady_clock::now();
        if (writer_ && dated_ && schedule_.due(ages, now)) {
            if (co_await writeRecord(ages)) {
                schedule_.noteWritten(ages, now);
            } else {
                schedule_.noteFailed(std::chrono::steady_clock::now());
            }
        }
        co_await pauseFor(context_, Period);
    }
}

asio::awaitable<bool> WeightsRecordSync::readRecords()
{
    std::vector<WeightsRecord> records;
    std::string after;
    for (unsigned pages = 0; pages < MaxPages; ++pages) {
        const auto reply = co_await store_.call(
            platform::listCall(ObjectKind::WeightsRecords, after), readLimits(CallTimeout));
        if (!reply.has_value() || reply->status != StoreStatus::Done) {
            co_return false;
        }
        const auto page = platform::readPage(reply->body);
        if (!page.has_value()) {
            co_return false;
        }
        for (const platform::StoredObject &object : page->objects) {
            auto record = readWeightsRecord(object.name, object.spec);
            if (record.has_value()) {
                records.push_back(std::move(*record));
            }
            if (object.name == node_) {
                revision_ = object.revision;
            }
        }
        if (!page->more || page->objects.empty()) {
            break;
        }
        after = page->objects.back().name;
    }
    records_ = std::move(records);
    co_return true;
}

void WeightsRecordSync::noteListed(std::vector<DesiredWeights> desired)
{
    if (!listed_.has_value()) {
        listed_ = std::move(desired);
        dateListed();
    }
}

void WeightsRecordSync::dateListed()
{
    if (dated_ || !records_.has_value() || !listed_.has_value()) {
        return;
    }
    dated_ = true;
    const RecordReader reader { .node = node_,
                                .now = readClocks(),
                                .era = store_.era().value_or(0) };
    const std::vector<DesiredWeightsAge> ages = agesFromRecords(*records_, reader, *listed_);
    logLine(LogLevel::Info, "weights_records_read",
            { { "records", static_cast<std::int64_t>(records_->size()) },
              { "versions", static_cast<std::int64_t>(ages.size()) },
              { "kernel_boot", kernelBoot_ },
              { "since_boot_ms", toMilliseconds(reader.now.sinceBoot.sinceBoot) } });
    records_->clear();
    agesHandler_(ages);
}

asio::awaitable<bool> WeightsRecordSync::writeRecord(std::vector<DesiredWeightsAge> ages)
{
    const WeightsRecord record { .node = node_,
                                 .writtenAt = readClocks(),
                                 .era = store_.era().value_or(0),
                                 .ages = std::move(ages) };
    const Json::Value spec = weightsRecordSpec(record);
    platform::Call call = revision_.has_value()
        ? platform::replaceCall(ObjectKind::WeightsRecords, node_, *revision_, spec)
        : platform::createCall(ObjectKind::WeightsRecords, node_, spec);
    const auto reply = co_await store_.call(std::move(call), CallTimeout);
    if (!reply.has_value()) {
        co_return false;
    }
    if (reply->status == StoreStatus::Missing) {
        // A restored store has lost it.
        revision_.reset();
        co_return false;
    }
    const bool answered
        = reply->status == StoreStatus::Done || reply->status == StoreStatus::Conflict;
    const auto object = platform::readObject(reply->body);
    if (!answered || !object.has_value()) {
        co_return false;
    }
    revision_ = object->revision;
    co_return reply->status == StoreStatus::Done;
}

ClockReading WeightsRecordSync::readClocks() const
{
    return { .kernelBoot = kernelBoot_, .sinceBoot = bootNow(), .wallMs = wallMilliseconds() };
}

} // namespace jacinthroad
