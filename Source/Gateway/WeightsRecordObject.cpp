#include "Gateway/WeightsRecordObject.h"

#include <utility>

namespace jacinthroad {

Json::Value desiredAgesList(const std::vector<DesiredWeightsAge> &ages)
{
    Json::Value list(Json::arrayValue);
    for (const DesiredWeightsAge &age : ages) {
        Json::Value entry;
        entry["model"] = age.model.text();
        entry["version"] = age.version;
        entry["age_ms"] = age.ageMs;
        list.append(std::move(entry));
    }
    return list;
}

std::vector<DesiredWeightsAge> readDesiredAges(const Json::Value &list)
{
    std::vector<DesiredWeightsAge> ages;
    if (!list.isArray()) {
        return ages;
    }
    for (const Json::Value &entry : list) {
        if (entry.isObject() && entry["model"].isString() && entry["version"].isUInt()
            && entry["age_ms"].isUInt()) {
            ages.push_back({ .model = ModelId(entry["model"].asString()),
                             .version = entry["version"].asUInt(),
                             .ageMs = entry["age_ms"].asUInt() });
        }
    }
    return ages;
}

Json::Value weightsRecordSpec(const WeightsRecord &record)
{
    Json::Value spec;
    spec["kernel_boot"] = record.writtenAt.kernelBoot;
    spec["since_boot_ms"] = Json::Int64(
        std::chrono::duration_cast<milliseconds>(record.writtenAt.sinceBoot.sinceBoot).count());
    spec["written_at_ms"] = Json::Int64(record.writtenAt.wallMs);
    if (record.era != 0) {
        spec["era"] = Json::UInt64(record.era);
    }
    spec["named"] = desiredAgesList(record.ages);
    return spec;
}

std::optional<WeightsRecord> readWeightsRecord(const std::string &node, const Json::Value &spec)
{
    if (!spec.isObject() || !spec["kernel_boot"].isString() || !spec["since_boot_ms"].isInt64()
        || !spec["written_at_ms"].isInt64() || !spec["named"].isArray()) {
        return std::nullopt;
    }
    return WeightsRecord { .node = node,
                           .writtenAt
                           = { .kernelBoot = spec["kernel_boot"].asString(),
                               .sinceBoot = { milliseconds(spec["since_boot_ms"].asInt64()) },
                               .wallMs = spec["written_at_ms"].asInt64() },
                           .era = spec["era"].isUInt64() ? spec["era"].asUInt64() : 0,
                           .ages = readDesiredAges(spec["named"]) };
}

} // namespace jacinthroad
