#include "Gateway/NodeRegistration.h"

#include <algorithm>
#include <utility>

#include "Gateway/BootClock.h"
#include "Gateway/Pause.h"
#include "Gateway/RestartingTask.h"

namespace jacinthroad {

namespace asio = boost::asio;

namespace {

/// Pause between attempts to register this node in the store.
constexpr Duration RegisterPause = milliseconds(700);
constexpr Duration RegisterTimeout = milliseconds(900);
/// Fields of a node's object: the address for digests and queries of other nodes, that for
/// forwarded requests, the availability zone, the era of the store that the node has found settled,
/// and the link.
constexpr const char *PeerAddressField = "peers";
constexpr const char *ForwardingAddressField = "forwarding";
constexpr const char *ZoneField = "zone";
constexpr const char *SettledEraField = "settled_era";
/// Whole numbers stay equal when the store writes them anew.
constexpr const char *LinkField = "link_kbit_s";
constexpr double KilobitsPerMegabit = 1000;
constexpr double MaxLinkKilobits = 1e9;

/// Returns the era that a node's object records as settled; 0 if it records none.
std::uint64_t settledEra(const Json::Value &node)
{
    const bool records = node.isObject() && node[SettledEraField].isUInt64();
    return records ? node[SettledEraField].asUInt64() : 0;
}

} // namespace

NodeRegistration::NodeRegistration(asio::io_context &context, StoreClient &store, FleetNode node,
                                   EraSettling &eraSettling)
    : context_(context)
    , store_(store)
    , node_(std::move(node))
    , eraSettling_(eraSettling)
{ }

asio::awaitable<void> NodeRegistration::run()
{
    return runRestarting(context_, "register_node", [this] { return keepRegistered(); });
}

std::vector<FleetNode> NodeRegistration::applyNodes(const ObjectTable &table)
{
    std::vector<FleetNode> nodes;
    for (const auto &[name, object] : table) {
        const Json::Value &spec = object.spec;
        eraSettling_.noteRecorded(settledEra(spec));
        if (spec.isObject() && spec[PeerAddressField].isString()) {
            nodes.push_back(
                { .name = name,
                  .zone = spec[ZoneField].isString() ? spec[ZoneField].asString() : std::string(),
                  .address = spec[PeerAddressField].asString(),
                  .linkMbps
                  = spec[LinkField].isUInt() ? spec[LinkField].asUInt() / KilobitsPerMegabit : 0,
                  .forwardingAddress = spec[ForwardingAddressField].isString()
                      ? spec[ForwardingAddressField].asString()
                      : std::string() });
        }
    }
    return nodes;
}

asio::awaitable<void> NodeRegistration::keepRegistered()
{
    bool registered = false;
    std::optional<std::uint64_t> era;
    for (;;) {
        const std::optional<std::uint64_t> eraToRecord = eraSettling_.eraToRecord(bootNow());
        if (!registered || era != store_.era() || eraToRecord.has_value()) {
            recordedEra_ = eraToRecord.value_or(recordedEra_);
            registered = co_await registerNode();
            era = store_.era();
        }
        co_await pauseFor(context_, RegisterPause);
    }
}

Json::Value NodeRegistration::spec() const
{
    Json::Value spec;
    spec[PeerAddressField] = node_.address;
    spec[ZoneField] = node_.zone;
    if (!node_.forwardingAddress.empty()) {
        spec[ForwardingAddressField] = node_.forwardingAddress;
    }
    if (node_.linkMbps > 0) {
        spec[LinkField] = static_cast<Json::Int>(
            std::min(node_.linkMbps * KilobitsPerMegabit, MaxLinkKilobits));
    }
    if (recordedEra_ != 0) {
        spec[SettledEraField] = Json::UInt64(recordedEra_);
    }
    return spec;
}

asio::awaitable<bool> NodeRegistration::registerNode()
{
    const auto reply = co_await store_.call(
        platform::createCall(platform::ObjectKind::Nodes, node_.name, spec()), RegisterTimeout);
    if (!reply.has_value()) {
        co_return false;
    }
    const bool created = reply->status == platform::StoreStatus::Done;
    if (!created && reply->status != platform::StoreStatus::Conflict) {
        co_return false;
    }
    if (!std::exchange(answered_, true) && created && onFirstProcess) {
        onFirstProcess();
    }
    if (created) {
        co_return true;
    }
    const auto object = platform::readObject(reply->body);
    if (!object.has_value()) {
        co_return false;
    }
    // The record of a process that this one follows may be the only one.
    const std::uint64_t earlierRecord = settledEra(object->spec);
    eraSettling_.noteRecorded(earlierRecord);
    recordedEra_ = std::max(recordedEra_, earlierRecord);
    if (object->spec == spec()) {
        co_return true;
    }
    const auto replaced = co_await store_.call(
        platform::replaceCall(platform::ObjectKind::Nodes, node_.name, object->revision, spec()),
        RegisterTimeout);
    co_return replaced.has_value() && replaced->status == platform::StoreStatus::Done;
}

} // namespace jacinthroad
