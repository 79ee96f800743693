#include "Gateway/CrashRecordsObject.h"

#include <array>
#include <charconv>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include "Core/Hashing.h"
#include "Gateway/UnknownFields.h"

namespace jacinthroad {

namespace {

constexpr int HexadecimalBase = 16;

constexpr std::array<std::string_view, 6> ReportFields { "reporter",    "number",       "server",
                                                         "sent_age_ms", "crash_age_ms", "cleared" };
constexpr std::array<std::string_view, 3> ReportKey { "reporter", "number", "server" };
constexpr std::array<std::string_view, 3> RecordFields { "fingerprint", "depth", "crashes" };
constexpr std::array<std::string_view, 1> RecordKey { "fingerprint" };
constexpr std::array<std::string_view, 2> ObjectFields { "written_at_ms", "records" };
constexpr KnownFields KnownReport { .names = ReportFields };
constexpr KnownFields KnownRecord {
    .names = RecordFields, .list = "crashes", .item = &KnownReport, .itemKey = ReportKey
};
constexpr KnownFields KnownObject {
    .names = ObjectFields, .list = "records", .item = &KnownRecord, .itemKey = RecordKey
};

std::optional<std::uint64_t> readHexadecimal(const Json::Value &value)
{
    if (!value.isString()) {
        return std::nullopt;
    }
    const std::string text = value.asString();
    const char *const end = text.data() + text.size();
    std::uint64_t number = 0;
    const auto [last, error] = std::from_chars(text.data(), end, number, HexadecimalBase);
    if (error != std::errc() || last != end) {
        return std::nullopt;
    }
    return number;
}

std::optional<CrashReport> readReport(const Json::Value &entry)
{
    if (!entry.isObject() || !entry["number"].isUInt() || !entry["sent_age_ms"].isUInt()
        || !entry["crash_age_ms"].isUInt()) {
        return std::nullopt;
    }
    const auto reporter = readHexadecimal(entry["reporter"]);
    const auto server = readHexadecimal(entry["server"]);
    if (!reporter.has_value() || !server.has_value()) {
        return std::nullopt;
    }
    return CrashReport { .reporter = *reporter,
                         .number = entry["number"].asUInt(),
                         .server = *server,
                         .sentAgeMs = entry["sent_age_ms"].asUInt(),
                         .crashAgeMs = entry["crash_age_ms"].asUInt(),
                         .cleared = entry["cleared"].isBool() && entry["cleared"].asBool() };
}

std::optional<CrashRecord> readRecord(const Json::Value &entry)
{
    if (!entry.isObject() || !entry["crashes"].isArray()) {
        return std::nullopt;
    }
    const auto fingerprint = readHexadecimal(entry["fingerprint"]);
    if (!fingerprint.has_value()) {
        return std::nullopt;
    }
    const Json::Value &depth = entry["depth"];
    const bool hasDepth = depth.isUInt() && depth.asUInt() < WholeRequestDepth;
    CrashRecord record { .fingerprint = *fingerprint,
                         .depth
                         = hasDepth ? static_cast<std::uint8_t>(depth.asUInt()) : WholeRequestDepth,
                         .crashes = {} };
    for (const Json::Value &crash : entry["crashes"]) {
        const auto report = readReport(crash);
        if (report.has_value()) {
            record.crashes.push_back(*report);
        }
    }
    return record;
}

} // namespace

Json::Value crashRecordsSpec(const KeptCrashRecords &content, const Json::Value &stored)
{
    Json::Value spec;
    spec["written_at_ms"] = Json::Int64(content.writtenAtMs);
    spec["records"] = Json::Value(Json::arrayValue);
    for (const CrashRecord &record : content.records) {
        Json::Value entry;
        entry["fingerprint"] = hexadecimal(record.fingerprint);
        entry["depth"] = record.depth;
        entry["crashes"] = Json::Value(Json::arrayValue);
        for (const CrashReport &report : record.crashes) {
            Json::Value crash;
            crash["reporter"] = hexadecimal(report.reporter);
            crash["number"] = report.number;
            crash["server"] = hexadecimal(report.server);
            crash["sent_age_ms"] = report.sentAgeMs;
            crash["crash_age_ms"] = report.crashAgeMs;
            crash["cleared"] = report.cleared;
            entry["crashes"].append(std::move(crash));
        }
        spec["records"].append(std::move(entry));
    }
    keepUnknownFields(spec, stored, KnownObject);
    return spec;
}

std::optional<KeptCrashRecords> readCrashRecords(const Json::Value &spec)
{
    if (!spec.isObject() || !spec["written_at_ms"].isInt64() || !spec["records"].isArray()) {
        return std::nullopt;
    }
    KeptCrashRecords content { .writtenAtMs = spec["written_at_ms"].asInt64(), .records = {} };
    for (const Json::Value &entry : spec["records"]) {
        auto record = readRecord(entry);
        if (record.has_value()) {
            content.records.push_back(std::move(*record));
        }
    }
    return content;
}

} // namespace jacinthroad
