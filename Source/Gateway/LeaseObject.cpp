#include "Gateway/LeaseObject.h"

namespace jacinthroad {

Json::Value leaseSpec(const LeaseRecord &record)
{
    Json::Value spec;
    spec["holder"] = record.holder;
    spec["token"] = Json::UInt64(record.token);
    spec["released"] = record.released;
    spec["renewals"] = Json::UInt64(record.renewals);
    return spec;
}

std::optional<LeaseRecord> readLease(const Json::Value &spec)
{
    if (!spec.isObject() || !spec["holder"].isString() || !spec["token"].isUInt64()
        || !spec["released"].isBool() || !spec["renewals"].isUInt64()) {
        return std::nullopt;
    }
    return LeaseRecord { .holder = spec["holder"].asString(),
                         .token = spec["token"].asUInt64(),
                         .released = spec["released"].asBool(),
                         .renewals = spec["renewals"].asUInt64() };
}

} // namespace jacinthroad
