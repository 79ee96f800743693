#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Gateway/Gateway.h"
#include "ScriptedServer.h"
#include "StoreStandIn.h"

namespace jacinthroad {

/// A request as a backend server saw it.
using SeenRequest = boost::beast::http::request<boost::beast::http::string_body>;
/// What a caller got.
using CallerAnswer = boost::beast::http::response<boost::beast::http::string_body>;

/// One gateway with a store stand-in and scripted backend servers, all on loopback.
class GatewayBench
{
public:
    /// How a backend server answers one request; false ends the connection's loop.
    using Behaviour = std::function<bool(ScriptedConnection &, const SeenRequest &)>;

    GatewayBench();
    ~GatewayBench();

    /// Adds a backend server to a service.
    void addServer(const std::string &name, const std::string &service, Behaviour behaviour);
    /// Writes the configuration as version `version` with these keys of the team `north`.
    void configure(int version, const std::vector<std::string> &keys);
    /// Names a version of the weights of model `m`, which the servers of `engines` run.
    void nameWeights(int version);
    /// Starts the gateway and waits until it is ready.
    void start();

    /// Makes one call on a connection of its own; nothing where the connection ended without a
    /// whole answer.
    [[nodiscard]] std::unique_ptr<CallerAnswer>
    call(const std::string &method, const std::string &path, const std::string &body = {},
         const std::string &headers = "Authorization: Bearer k1\r\n");
    /// Sends bytes on a new connection and returns all that comes back until it ends or `limit`
    /// has passed.
    [[nodiscard]] std::string exchange(const std::string &bytes, std::chrono::milliseconds limit);
    /// Opens a connection to the gateway's callers' address.
    [[nodiscard]] boost::asio::ip::tcp::socket connect();
    /// Requests that a server has seen, in order.
    [[nodiscard]] std::vector<SeenRequest> seen(const std::string &server);
    /// The status of the readiness address.
    [[nodiscard]] unsigned readiness();

    StoreStandIn store;
    std::unique_ptr<Gateway> gateway;
    boost::asio::io_context context;
    GatewaySettings settings;

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<SeenRequest>> seen_;
    std::vector<std::unique_ptr<ScriptedServer>> servers_;
    int requests_ = 0;
};

/// Answers as a sound server does: receipt, the caller's id and a body that names the server.
[[nodiscard]] std::string soundAnswer(const SeenRequest &request, unsigned status = 200,
                                      const std::string &body = "whole body");

/// What an engine reports of itself: its version of model `m`, whether an order is under way and
/// how many it has accepted.
[[nodiscard]] std::string reportAnswer(int version, bool busy, int acceptedOrders);

/// The head of an event stream and single events.
[[nodiscard]] std::string streamHead(const SeenRequest &request);
[[nodiscard]] std::string chunk(const std::string &bytes);
[[nodiscard]] std::string event(int id);

} // namespace jacinthroad
