#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Gateway/Gateway.h"
#include "ScriptedServer.h"
#include "StoreScript.h"

namespace jacinthroad {

/// A request as a backend server saw it.
using ReceivedRequest = boost::beast::http::request<boost::beast::http::string_body>;
/// What a caller got.
using CallerResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// One gateway with a store stand-in and scripted backend servers, all on loopback.
class GatewayFixture
{
public:
    /// How a backend server answers one request; false ends the connection's loop.
    using Handler = std::function<bool(ScriptedConnection &, const ReceivedRequest &)>;

    GatewayFixture();
    ~GatewayFixture();

    /// Adds a backend server to a service.
    void addServer(const std::string &name, const std::string &service, Handler handler);
    /// Writes the configuration as version `version` with these keys of the team `north`.
    void configure(int version, const std::vector<std::string> &keys);
    /// Names a version of the weights of model `m`, which the servers of `engines` run.
    void setDesiredWeights(int version);
    /// Starts the gateway and waits until it is ready.
    void start();

    /// Makes one call on a connection of its own; nothing where the connection ended without a
    /// whole answer.
    [[nodiscard]] std::unique_ptr<CallerResponse>
    call(const std::string &method, const std::string &path, const std::string &body = {},
         const std::string &headers = "Authorization: Bearer k1\r\n");
    /// Sends bytes on a new connection and returns all that comes back until it ends or `limit`
    /// has passed.
    [[nodiscard]] std::string sendBytes(const std::string &bytes, std::chrono::milliseconds limit);
    /// Opens a connection to the gateway's callers' address.
    [[nodiscard]] boost::asio::ip::tcp::socket connect();
    /// Requests that a server has seen, in order.
    [[nodiscard]] std::vector<ReceivedRequest> receivedRequests(const std::string &server);
    /// The status of the readiness address.
    [[nodiscard]] unsigned readiness();

    StoreScript store;
    std::unique_ptr<Gateway> gateway;
    boost::asio::io_context context;
    GatewaySettings settings;

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<ReceivedRequest>> receivedRequests_;
    std::vector<std::unique_ptr<ScriptedServer>> servers_;
    int requestCount_ = 0;
};

/// Answers as a sound server does: receipt, the caller's id and a body that names the server.
[[nodiscard]] std::string validResponse(const ReceivedRequest &request, unsigned status = 200,
                                        const std::string &body = "whole body");

/// What an engine reports of itself: its version of model `m`, whether an order is under way and
/// how many it has accepted.
[[nodiscard]] std::string reportResponse(int version, bool busy, int acceptedOrders);

/// The head of an event stream and single events.
[[nodiscard]] std::string streamHead(const ReceivedRequest &request);
[[nodiscard]] std::string chunk(const std::string &bytes);
[[nodiscard]] std::string event(int id);

} // namespace jacinthroad
