#include "Claims/ClaimShard.h"

#include <iterator>

#include <json/value.h>

#include "Core/Json.h"

namespace jacinthroad {

namespace {

std::string stateName(ClaimState state)
{
    switch (state) {
    case ClaimState::Claimed:
        return "claimed";
    case ClaimState::Done:
        return "done";
    case ClaimState::Unknown:
        break;
    }
    return "unknown";
}

ClaimState parseState(const std::string &name)
{
    if (name == "claimed") {
        return ClaimState::Claimed;
    }
    // An unknown state, written by a later version, is read as Unknown, which never runs a call.
    return name == "done" ? ClaimState::Done : ClaimState::Unknown;
}

} // namespace

void ClaimShard::removeOlderThan(std::int64_t horizonMs)
{
    std::erase_if(claims, [&](const auto &entry) { return entry.second.changedAtMs < horizonMs; });
}

std::string serializeShard(const ClaimShard &shard)
{
    Json::Value object(Json::objectValue);
    for (const auto &[key, claim] : shard.claims) {
        Json::Value &entry = object[key];
        entry["nonce"] = claim.nonce;
        entry["body"] = claim.bodyHash;
        entry["state"] = stateName(claim.state);
        entry["at"] = Json::Int64(claim.changedAtMs);
        if (claim.state == ClaimState::Done) {
            entry["status"] = claim.storedResponse.status;
            entry["type"] = claim.storedResponse.contentType;
            entry["answer"] = claim.storedResponse.body;
            entry["whole"] = claim.storedResponse.complete;
        }
    }
    return writeJson(object);
}

Result<ClaimShard> parseShard(const std::string &text)
{
    const auto object = parseJson(text);
    if (!object.has_value()) {
        return tl::make_unexpected(object.error());
    }
    ClaimShard shard;
    try {
        for (const std::string &key : object->getMemberNames()) {
            const Json::Value &entry = (*object)[key];
            Claim &claim = shard.claims[key];
            claim.nonce = entry["nonce"].asString();
            claim.bodyHash = entry["body"].asString();
            claim.state = parseState(entry["state"].asString());
            claim.changedAtMs = entry["at"].asInt64();
            if (claim.state != ClaimState::Done) {
                continue;
            }
            claim.storedResponse = { .status = entry["status"].asInt(),
                                     .contentType = entry["type"].asString(),
                                     .body = entry["answer"].asString(),
                                     .complete = entry["whole"].asBool() };
        }
    } catch (const Json::Exception &failure) {
        return makeError(ErrorKind::Internal,
                         std::string("cannot parse claim shard: ") + failure.what(),
                         "Restore the object from its history in the platform.");
    }
    return shard;
}

} // namespace jacinthroad
