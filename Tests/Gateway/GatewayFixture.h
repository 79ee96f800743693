#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Gateway/Gateway.h"
#include "ScriptedServer.h"
#include "StoreStandIn.h"

namespace jacinthroad {

/// A request as received by a backend server.
using ReceivedRequest = boost::beast::http::request<boost::beast::http::string_body>;
/// A response as received by a caller.
using CallerResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// A gateway with a store stand-in and scripted backend servers, all on loopback.
class GatewayFixture
{
public:
    /// Responds to one request on behalf of a backend server; returns false to stop serving the
    /// connection.
    using Handler = std::function<bool(ScriptedConnection &, const ReceivedRequest &)>;

    /// Ends a gateway. Fails the test if it has dropped a request, unless `dropsRequests` is set.
    struct GatewayEnd
    {
        const GatewayFixture *fixture;

        void operator()(Gateway *ended) const;
    };

    GatewayFixture();
    GatewayFixture(const GatewayFixture &) = delete;
    GatewayFixture &operator=(const GatewayFixture &) = delete;
    ~GatewayFixture();

    /// Adds a backend server with this version of its software to a service.
    void addServer(const std::string &name, const std::string &service, Handler handler,
                   const std::string &softwareVersion = "v1");
    /// Ends a backend server as if its process had crashed; it stays listed. May be called from a
    /// handler.
    void crashServer(const std::string &name);
    /// Ends the connections of a backend server as if its process had ended and started again; its
    /// entry stays as it was.
    void restartServer(const std::string &name);
    /// Lists the backend servers of another fixture in this one's store too.
    void shareServers(GatewayFixture &other);
    /// Stores another gateway as a peer of this one.
    void addPeer(const GatewayFixture &other);
    /// Stores a configuration with this version, in which the team `north` has these keys.
    void configure(int version, const std::vector<std::string> &keys);
    /// Sets the desired weights version of model `m`, which the servers of `engines` run.
    void setDesiredWeights(int version);
    /// Starts the gateway and waits until its readiness check succeeds.
    void start();
    /// Starts the gateway.
    void startWithoutWaiting();

    /// Makes one call on a new connection. Returns null if the connection ended without a complete
    /// response.
    [[nodiscard]] std::unique_ptr<CallerResponse>
    call(const std::string &method, const std::string &path, const std::string &body = {},
         const std::string &headers = "Authorization: Bearer k1\r\n");
    /// Sends bytes on a new connection and returns everything received until the connection ends
    /// or `limit` has passed.
    [[nodiscard]] std::string sendBytes(const std::string &bytes, std::chrono::milliseconds limit);
    /// Opens a connection to the address on which the gateway serves callers.
    [[nodiscard]] boost::asio::ip::tcp::socket connect();
    /// The requests that a server has received, in order.
    [[nodiscard]] std::vector<ReceivedRequest> receivedRequests(const std::string &server);
    /// The HTTP status of the readiness check; 0 if there was no response.
    [[nodiscard]] unsigned readiness();
    /// Bytes that the gateway has received and not passed on, as its metrics page tells; nothing if
    /// it doesn't.
    [[nodiscard]] std::optional<double> heldBytes();
    /// The value of a metric without labels; nothing if there is none.
    [[nodiscard]] std::optional<double> metricValue(const std::string &name);
    /// The address on which the gateway serves callers.
    [[nodiscard]] boost::asio::ip::tcp::endpoint callerEndpoint() const;

    /// Set by a test that provokes the drop of a request, which fails all others.
    bool dropsRequests = false;
    StoreStandIn store;
    std::unique_ptr<Gateway, GatewayEnd> gateway { nullptr, GatewayEnd { this } };
    boost::asio::io_context context;
    GatewaySettings settings;

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<ReceivedRequest>> receivedRequests_;
    std::map<std::string, ScriptedServer *> serversByName_;
    std::atomic<int> requestCount_ { 0 };
    /// Last, as the destructors wait for handlers, which use the other members.
    std::vector<std::unique_ptr<ScriptedServer>> servers_;
};

/// The response of a healthy server, with the caller's request id, a response stamp and a load
/// report.
[[nodiscard]] std::string validResponse(const ReceivedRequest &request, unsigned status = 200,
                                        const std::string &body = "whole body");

/// An engine's status report: its weights version of model `m`, whether it is loading weights and
/// how many orders it has accepted.
[[nodiscard]] std::string reportResponse(int version, bool busy, int acceptedOrders);

/// The header of an event stream, a chunk of a chunked body, and one event.
[[nodiscard]] std::string streamHead(const ReceivedRequest &request);
[[nodiscard]] std::string chunk(const std::string &bytes);
[[nodiscard]] std::string event(int id);

} // namespace jacinthroad
