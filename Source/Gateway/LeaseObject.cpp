#include "Gateway/LeaseObject.h"

#include <array>
#include <string_view>

#include "Gateway/UnknownFields.h"
#include "Gateway/WeightsRecordObject.h"

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
    spec["named"] = desiredAgesList(record.desiredWeightsAges);
    keepUnknownFields(spec, stored, KnownLease);
    return spec;
}

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
                         .desiredWeightsAges = readDesiredAges(spec["named"]),
                         .era = spec["era"].isUInt64() ? spec["era"].asUInt64() : 0 };
}

} // namespace jacinthroad
