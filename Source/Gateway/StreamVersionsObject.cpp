#include "Gateway/StreamVersionsObject.h"

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
constexpr std::array<std::string_view, 3> RowFields { "service", "versions", "leaving" };
constexpr std::array<std::string_view, 1> RowKey { "service" };
constexpr std::array<std::string_view, 1> TableFields { "services" };
constexpr KnownFields KnownRow { .names = RowFields };
constexpr KnownFields KnownTable {
    .names = TableFields, .list = "services", .item = &KnownRow, .itemKey = RowKey
};
/// Digits of one stream; the streams of a batch follow each other in one text.
constexpr std::size_t StreamDigits = 16;

Json::Value versionList(const VersionSet &versions)
{
    Json::Value list(Json::arrayValue);
    for (const SoftwareVersion &version : versions) {
        list.append(version);
    }
    return list;
}

std::optional<VersionSet> readVersionList(const Json::Value &list)
{
    if (!list.isArray()) {
        return std::nullopt;
    }
    VersionSet versions;
    for (const Json::Value &version : list) {
        if (!version.isString()) {
            return std::nullopt;
        }
        versions.insert(version.asString());
    }
    return versions;
}

std::optional<std::vector<StreamId>> readStreams(std::string_view text)
{
    if (text.size() % StreamDigits != 0) {
        return std::nullopt;
    }
    std::vector<StreamId> streams;
    streams.reserve(text.size() / StreamDigits);
    for (std::size_t at = 0; at < text.size(); at += StreamDigits) {
        const char *const end = text.data() + at + StreamDigits;
        StreamId stream = 0;
        const auto [last, error] = std::from_chars(text.data() + at, end, stream, HexadecimalBase);
        if (error != std::errc() || last != end) {
            return std::nullopt;
        }
        streams.push_back(stream);
    }
    return streams;
}

std::optional<OriginBatch> readBatch(const Json::Value &entry)
{
    if (!entry.isObject() || !entry["at_ms"].isInt64() || !entry["service"].isString()
        || !entry["version"].isString() || !entry["streams"].isString()) {
        return std::nullopt;
    }
    auto streams = readStreams(entry["streams"].asString());
    if (!streams.has_value()) {
        return std::nullopt;
    }
    return OriginBatch { .atMs = entry["at_ms"].asInt64(),
                         .service = ServiceId(entry["service"].asString()),
                         .version = entry["version"].asString(),
                         .streams = std::move(*streams) };
}

} // namespace

Json::Value versionTableSpec(const KeptVersions &content, const Json::Value &stored)
{
    Json::Value spec;
    spec["services"] = Json::Value(Json::arrayValue);
    for (const auto &[service, versions] : content.versions) {
        Json::Value row;
        row["service"] = service.text();
        row["versions"] = versionList(versions);
        const auto leaving = content.leaving.find(service);
        if (leaving != content.leaving.end()) {
            row["leaving"] = versionList(leaving->second);
        }
        spec["services"].append(std::move(row));
    }
    keepUnknownFields(spec, stored, KnownTable);
    return spec;
}

std::optional<KeptVersions> readVersionTable(const Json::Value &spec)
{
    if (!spec.isObject() || !spec["services"].isArray()) {
        return std::nullopt;
    }
    KeptVersions content;
    for (const Json::Value &row : spec["services"]) {
        if (!row.isObject() || !row["service"].isString()) {
            continue;
        }
        const auto versions = readVersionList(row["versions"]);
        if (!versions.has_value() || versions->empty()) {
            continue;
        }
        const ServiceId service(row["service"].asString());
        content.versions[service].insert(versions->begin(), versions->end());
        for (const SoftwareVersion &version :
             readVersionList(row["leaving"]).value_or(VersionSet {})) {
            if (versions->contains(version)) {
                content.leaving[service].insert(version);
            }
        }
    }
    return content;
}

Json::Value streamOriginsSpec(std::span<const OriginBatch> batches)
{
    Json::Value spec;
    spec["batches"] = Json::Value(Json::arrayValue);
    for (const OriginBatch &batch : batches) {
        std::string streams;
        streams.reserve(batch.streams.size() * StreamDigits);
        for (const StreamId stream : batch.streams) {
            const std::string digits = hexadecimal(stream);
            streams.append(StreamDigits - digits.size(), '0').append(digits);
        }
        Json::Value entry;
        entry["at_ms"] = Json::Int64(batch.atMs);
        entry["service"] = batch.service.text();
        entry["version"] = batch.version;
        entry["streams"] = streams;
        spec["batches"].append(std::move(entry));
    }
    return spec;
}

std::vector<OriginBatch> readStreamOrigins(const Json::Value &spec)
{
    std::vector<OriginBatch> batches;
    if (!spec.isObject() || !spec["batches"].isArray()) {
        return batches;
    }
    for (const Json::Value &entry : spec["batches"]) {
        auto batch = readBatch(entry);
        if (batch.has_value()) {
            batches.push_back(std::move(*batch));
        }
    }
    return batches;
}

} // namespace jacinthroad
