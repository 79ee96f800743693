#pragma once

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Fleet/ListedServer.h"
#include "Gateway/StoreClient.h"
#include "StreamVersions/ResumeDecision.h"

namespace jacinthroad {

/// Keeps the version table and this node's stream records in the platform's store, and decides at
/// which version a stream goes on. Used by the control thread only.
class StreamVersionSync
{
public:
    struct Options
    {
        /// Name of the object with this node's records.
        std::string node;
    };
    /// Called with the versions that streams may be sent to, whenever they change. A service that
    /// is missing has none.
    using AdmittedHandler = std::function<void(const VersionTable &)>;
    /// Called once with the decision.
    using ResumeHandler = std::function<void(ResumeDecision)>;

    StreamVersionSync(boost::asio::io_context &context, StoreClient &client, Options options,
                      AdmittedHandler admittedHandler);

    /// Reads and writes until the context stops.
    [[nodiscard]] boost::asio::awaitable<void> run();

    /// Sets the services whose streams can be resumed.
    void applyServices(const std::set<ServiceId> &services);
    /// Applies the platform's complete list of servers.
    void applyServers(std::span<const ListedServer> servers);
    /// Sets the number of nodes, among which the writes are divided.
    void setNodeCount(std::size_t count);
    /// Adds streams to this node's records, which are written soon.
    void record(std::vector<StreamOrigin> origins);
    /// Reads the store and decides at which version a stream of `service` goes on.
    void resolve(StreamId stream, const ServiceId &service, ResumeHandler handler);
};

} // namespace jacinthroad
