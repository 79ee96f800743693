#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include "Fleet/EraSettling.h"
#include "FleetPeers/FleetTopology.h"
#include "Gateway/StoreClient.h"
#include "StoreRelay/RelayLog.h"

namespace jacinthroad {

/// Keeps this node's object in the store, also after the store has been restored, and reads those
/// of the other nodes. Used by the control thread only.
class NodeRegistration
{
public:
    /// `node` is what this node registers; it must have an address.
    NodeRegistration(boost::asio::io_context &context, StoreClient &store, FleetNode node,
                     EraSettling &eraSettling);

    /// Registers the node and keeps it registered until the context stops.
    [[nodiscard]] boost::asio::awaitable<void> run();
    /// Returns the nodes with an address that the store holds, and notes the eras that they record
    /// as settled.
    [[nodiscard]] std::vector<FleetNode> applyNodes(const ObjectTable &table);

    /// Called, if set, once the store has told that no process of this node registered before.
    std::function<void()> onFirstProcess;

private:
    [[nodiscard]] boost::asio::awaitable<void> keepRegistered();
    /// Writes this node's object if the store lacks it; returns true if it is there.
    [[nodiscard]] boost::asio::awaitable<bool> registerNode();
    [[nodiscard]] Json::Value spec() const;

    boost::asio::io_context &context_;
    StoreClient &store_;
    FleetNode node_;
    EraSettling &eraSettling_;
    /// Whether the store has told if the object was there.
    bool answered_ = false;
    /// The era that this node's object records; 0 for none.
    std::uint64_t recordedEra_ = 0;
};

} // namespace jacinthroad
