#include "Node/NodeImpl.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <random>
#include <utility>

namespace jacinthroad {

Json::Value NodeImpl::statusJson(Instant now) const
{
    Json::Value body;
    body["node"] = settings_.name;
    body["zone"] = settings_.zone;
    body["version"] = JACINTHROAD_VERSION;
    body["configuration_version"] = Json::UInt64(patches_.version());
    body["platform_up"] = sync_->up();
    body["draining"] = draining_;
    body["requests_open"] = Json::UInt64(dispatcher_.openRequests());
    body["requests_waiting"] = Json::UInt64(dispatcher_.queuedRequests());
    body["claims_unwritten"] = Json::UInt64(claims_.unwrittenCount());
    body["peers"] = Json::Value(Json::arrayValue);
    for (const auto &[id, peer] : peers_->table().peers()) {
        Json::Value entry;
        entry["node"] = id.text();
        entry["zone"] = peer.identity.zone.text();
        entry["configuration_version"] = Json::UInt64(peer.identity.configurationVersion);
        entry["heard_ms_ago"] = toMilliseconds(now - peer.lastReceivedAt);
        const PeerState state = peers_->table().state(peer, now);
        entry["state"] = state == PeerState::Alive ? "alive"
            : state == PeerState::Leaving          ? "leaving"
                                                   : "suspect";
        body["peers"].append(entry);
    }
    body["backend_servers"] = Json::Value(Json::arrayValue);
    const ServerTable &servers = dispatcher_.servers();
    for (ServerSlot slot = 0; slot < servers.size(); ++slot) {
        const ServerState &row = servers.at(slot);
        const ServerLoad load = servers.totalLoad(slot, now);
        Json::Value entry;
        entry["backend_server"] = row.info.id.text();
        entry["zone"] = row.info.zone.text();
        entry["model"] = row.info.model.text();
        entry["leaving"] = row.info.leaving;
        entry["accepts"] = servers.acceptsNewWork(slot, now);
        entry["in_flight"] = load.inFlight;
        entry["slowdown"] = row.health.slowdown(now);
        body["backend_servers"].append(entry);
    }
    return body;
}

Json::Value NodeImpl::computeJson() const
{
    Json::Value body;
    body["node"] = settings_.name;
    body["since"] = Json::UInt64(incarnation_);
    body["lines"] = Json::Value(Json::arrayValue);
    for (const auto &[key, line] : dispatcher_.ledger().lines()) {
        Json::Value entry;
        entry["team"] = key.first.text();
        entry["model"] = key.second.text();
        entry["requests"] = Json::UInt64(line.requests);
        entry["reused"] = Json::UInt64(line.reused);
        entry["first_time"] = Json::UInt64(line.firstTime);
        for (std::size_t index = 0; index < RecomputeReasonCount; ++index) {
            const auto name = recomputeReasonName(static_cast<RecomputeReason>(index));
            entry["recomputed"][std::string(name)] = Json::UInt64(line.recomputed[index]);
        }
        entry["decoded"] = Json::UInt64(line.decoded);
        entry["thrown_away"] = Json::UInt64(line.discarded);
        body["lines"].append(entry);
    }
    return body;
}

Json::Value NodeImpl::burnRatesJson(Instant now) const
{
    std::map<ModelId, double> shares;
    for (const auto &[id, model] : configuration_->models) {
        shares[id] = model.objectiveShare;
    }
    Json::Value body;
    body["node"] = settings_.name;
    body["lines"] = burnLinesJson(burn_.lines(now), shares);
    body["peers"] = Json::Value(Json::arrayValue);
    for (const auto &[id, peer] : peers_->table().peers()) {
        Json::Value entry;
        entry["node"] = id.text();
        entry["operator_url"] = peer.identity.operatorUrl;
        body["peers"].append(entry);
    }
    return body;
}

Json::Value NodeImpl::historyJson() const
{
    Json::Value body;
    body["patches"] = Json::Value(Json::arrayValue);
    for (const PatchRecord &record : patches_.history()) {
        Json::Value entry;
        entry["version"] = Json::UInt64(record.version);
        entry["author"] = record.author;
        entry["reason"] = record.reason;
        entry["at"] = record.at;
        entry["objects"] = Json::Value(Json::arrayValue);
        for (const std::string &object : record.objects) {
            entry["objects"].append(object);
        }
        body["patches"].append(entry);
    }
    return body;
}

Result<Json::Value> NodeImpl::submitPatch(const Json::Value &parameters)
{
    if (!parameters["base"].isUInt64()) {
        return makeError(
            ErrorKind::InvalidRequest,
            "parameter 'base' must be the configuration version that the patch is based on",
            "Call config.get to get the current version.");
    }
    if (!parameters["patch"].isObject()) {
        return makeError(ErrorKind::InvalidRequest, "parameter 'patch' must be an object",
                         "Write a JSON merge patch.");
    }
    auto promise = std::make_shared<std::promise<Result<Json::Value>>>();
    auto result = promise->get_future();
    const auto textOr = [&](const char *name, const std::string &fallback) {
        return parameters[name].isString() ? parameters[name].asString() : fallback;
    };
    SubmitPatch submission {
        .base = parameters["base"].asUInt64(),
        .author = textOr("author", "operator"),
        .reason = textOr("reason", ""),
        .nonce = hexadecimal(std::random_device {}()) + hexadecimal(std::random_device {}()),
        .at = rfc3339Now(),
        .patch = parameters["patch"],
        .dryRun = parameters["dry_run"].isBool() && parameters["dry_run"].asBool()
    };
    control_.post(ControlTask([this, promise, submission](Instant now) mutable {
        submission.token = ++lastToken_;
        submissions_[submission.token] = promise;
        apply(patches_.handle(submission, now));
    }));
    if (auto response = waitForResult(result)) {
        return std::move(*response);
    }
    return makeError(ErrorKind::OutcomeUnknown,
                     "the patch was not confirmed in time; its outcome is unknown",
                     "Check 'jacinthroad config history' before submitting it again.");
}

OperatorActions NodeImpl::operatorActions()
{
    const auto runJsonQuery
        = [this](std::function<Json::Value(Instant)> query) -> Result<Json::Value> {
        auto result = runQuery<Json::Value>(std::move(query));
        if (!result.has_value()) {
            return makeError(ErrorKind::Internal, "the control thread did not respond in time");
        }
        return std::move(*result);
    };
    return {
        .status
        = [this,
           runJsonQuery] { return runJsonQuery([this](Instant now) { return statusJson(now); }); },
        .drain =
            [this, runJsonQuery] {
                // The serve command polls this flag and stops the node.
                return runJsonQuery([this](Instant) {
                    draining_ = true;
                    publishView();
                    Json::Value body;
                    body["draining"] = true;
                    return body;
                });
            },
        .getConfiguration =
            [this, runJsonQuery] {
                return runJsonQuery([this](Instant) {
                    Json::Value body;
                    body["version"] = Json::UInt64(patches_.version());
                    body["configuration"] = patches_.document();
                    return body;
                });
            },
        .patchConfiguration
        = [this](const Json::Value &parameters) { return submitPatch(parameters); },
        .history
        = [this, runJsonQuery] { return runJsonQuery([this](Instant) { return historyJson(); }); },
        .burn =
            [this, runJsonQuery] {
                return runJsonQuery([this](Instant now) { return burnRatesJson(now); });
            },
        .compute
        = [this, runJsonQuery] { return runJsonQuery([this](Instant) { return computeJson(); }); },
        .patchesAfter =
            [this, runJsonQuery](std::uint64_t after) {
                return runJsonQuery([this, after](Instant) {
                    Json::Value body;
                    body["patches"] = Json::Value(Json::arrayValue);
                    for (const PatchReceived &patch : patches_.patchesAfter(after)) {
                        Json::Value entry;
                        entry["version"] = Json::UInt64(patch.version);
                        entry["text"] = patch.text;
                        body["patches"].append(entry);
                    }
                    return body;
                });
            },
    };
}

} // namespace jacinthroad
