#include "Gateway/LeaseObject.h"

#include <array>
#include <string_view>

#include "Gateway/UnknownFields.h"

namespace jacinthroad {

namespace {

constexpr std::array<std::string_view, 3> NamedFields { "model", "version", "age_ms" };
constexpr std::array<std::string_view, 2> NamedKey { "model", "version" };
constexpr std::array<std::string_view, 7> LeaseFields { "holder",   "address", "token", "released",
                                                        "renewals", "era",     "named" };
constexpr KnownFields KnownNamed { .names = NamedFields };
constexpr KnownFields KnownLease {
    .names = LeaseFields, .list = "named", .item = &KnownNamed, .itemKey = NamedKey
};

} // namespace

Json::Value leaseSpec(const LeaseRecord &record, const Json::Value &stored)
{
    Json::Value spec;
    spec["holder"] = record.holder;
    if (!record.address.empty()) {
        spec["address"] = record.address;
    }
    spec["token"] = Json::UInt64(record.token);
    spec["released"] = record.released;
    spec["renewals"] = Json::UInt64(record.renewals);
    if (record.era != 0) {
        spec["era"] = Json::UInt64(record.era);
    }
    spec["named"] = Json::Value(Json::arrayValue);
    for (const DesiredWeightsAge &notice : record.desiredWeightsAges) {
        Json::Value entry;
        entry["model"] = notice.model.text();
        entry["version"] = notice.version;
        entry["age_ms"] = notice.ageMs;
        spec["named"].append(std::move(entry));
    }
    keepUnknownFields(spec, stored, KnownLease);
    return spec;
}

namespace {

/// Skips malformed entries: the ages are useful but not required.
std::vector<DesiredWeightsAge> readNamed(const Json::Value &entries)
{
    std::vector<DesiredWeightsAge> named;
    if (!entries.isArray()) {
        return named;
    }
    for (const Json::Value &entry : entries) {
        if (entry.isObject() && entry["model"].isString() && entry["version"].isUInt()
            && entry["age_ms"].isUInt()) {
            named.push_back({ .model = ModelId(entry["model"].asString()),
                              .version = entry["version"].asUInt(),
                              .ageMs = entry["age_ms"].asUInt() });
        }
    }
    return named;
}

} // namespace

std::optional<LeaseRecord> readLease(const Json::Value &spec)
{
    if (!spec.isObject() || !spec["holder"].isString() || !spec["token"].isUInt64()
        || !spec["released"].isBool() || !spec["renewals"].isUInt64()) {
        return std::nullopt;
    }
    return LeaseRecord { .holder = spec["holder"].asString(),
                         .address
                         = spec["address"].isString() ? spec["address"].asString() : std::string(),
                         .token = spec["token"].asUInt64(),
                         .released = spec["released"].asBool(),
                         .renewals = spec["renewals"].asUInt64(),
                         .desiredWeightsAges = readNamed(spec["named"]),
                         .era = spec["era"].isUInt64() ? spec["era"].asUInt64() : 0 };
}

} // namespace jacinthroad
