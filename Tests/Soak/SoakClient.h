#pragma once

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "NodeProcess.h"
#include "SoakJudge.h"

namespace jacinthroad {

/// A caller that sends requests one after the other with pauses between them. It uses its
/// connection until the node closes it or asks to close it, and then connects to another node.
class SoakClient
{
public:
    /// `longestPause` limits the time between two requests on a connection.
    SoakClient(std::string name, std::vector<std::shared_ptr<NodeProcess>> nodes,
               Duration longestPause, std::uint64_t seed);

    /// Sends requests until `stopping` is set.
    void run(const std::atomic<bool> &stopping);
    [[nodiscard]] const std::vector<CallerRecord> &records() const { return records_; }

private:
    [[nodiscard]] bool connect();
    void sendRequest();
    void receive(CallerRecord &record);

    std::string name_;
    std::vector<std::shared_ptr<NodeProcess>> nodes_;
    Duration longestPause_;
    std::mt19937_64 random_;
    boost::asio::io_context context_;
    std::unique_ptr<boost::asio::ip::tcp::socket> socket_;
    boost::beast::flat_buffer buffer_;
    /// The node that the connection leads to.
    std::shared_ptr<NodeProcess> node_;
    std::vector<CallerRecord> records_;
};

/// The body of a backend server's response to a request.
[[nodiscard]] std::string soakResponseBody(const std::string &requestId);

} // namespace jacinthroad
