#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace jacinthroad {

/// One connection of a ScriptedServer, used by its script.
class ScriptedConnection
{
public:
    explicit ScriptedConnection(boost::asio::ip::tcp::socket socket);
    ScriptedConnection(const ScriptedConnection &) = delete;
    ScriptedConnection &operator=(const ScriptedConnection &) = delete;

    /// Reads one whole request; false where the peer has closed.
    [[nodiscard]] bool read(boost::beast::http::request<boost::beast::http::string_body> &request);
    /// Reads only the header of a request.
    [[nodiscard]] bool
    readHeader(boost::beast::http::request<boost::beast::http::string_body> &request);
    /// Writes bytes as they are.
    void write(const std::string &bytes);
    /// Waits until the peer closes or `limit` has passed; true where it closed.
    [[nodiscard]] bool waitForClose(std::chrono::milliseconds limit);
    /// Ends the connection by a reset.
    void reset();
    /// Ends the connection regularly.
    void close();
    /// Wakes whatever waits on the connection; called from another thread.
    void interrupt();

private:
    std::mutex mutex_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

/// A server on loopback that runs a script for each connection, one thread each.
class ScriptedServer
{
public:
    using Script = std::function<void(ScriptedConnection &)>;

    explicit ScriptedServer(Script script);
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;
    ~ScriptedServer();

    /// `127.0.0.1:port`.
    [[nodiscard]] std::string address() const;

private:
    void accept();

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    Script script_;
    std::atomic<bool> stopping_ { false };
    std::mutex mutex_;
    std::vector<std::thread> threads_;
    std::vector<std::shared_ptr<ScriptedConnection>> connections_;
    std::thread acceptThread_;
};

/// An answer with a length.
[[nodiscard]] std::string responseText(unsigned status, const std::string &headers,
                                       const std::string &body);

} // namespace jacinthroad
