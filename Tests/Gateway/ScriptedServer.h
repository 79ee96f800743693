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

/// One connection to a ScriptedServer, passed to its script.
class ScriptedConnection
{
public:
    explicit ScriptedConnection(boost::asio::ip::tcp::socket socket);
    ScriptedConnection(const ScriptedConnection &) = delete;
    ScriptedConnection &operator=(const ScriptedConnection &) = delete;

    /// Reads one complete request; returns false if the peer has closed the connection.
    [[nodiscard]] bool read(boost::beast::http::request<boost::beast::http::string_body> &request);
    /// The same; calls `behindHeader` once the header has been read, before the rest is.
    [[nodiscard]] bool
    read(boost::beast::http::request<boost::beast::http::string_body> &request,
         const std::function<void(const boost::beast::http::request_header<> &)> &behindHeader);
    /// Reads only the header of a request; returns false if the peer has closed the connection.
    [[nodiscard]] bool
    readHeader(boost::beast::http::request<boost::beast::http::string_body> &request);
    /// Writes bytes unchanged.
    void write(const std::string &bytes);
    /// Waits until the peer closes the connection or `limit` has passed; returns true if it closed.
    [[nodiscard]] bool waitForClose(std::chrono::milliseconds limit);
    /// Ends the own direction of the connection; the peer may go on writing.
    void endWriting();
    /// Reads and drops what the peer writes until it closes the connection or writes nothing for
    /// `limit`.
    void skip(std::chrono::milliseconds limit);
    /// Closes the connection with a TCP reset.
    void reset();
    /// Closes the connection in an orderly way.
    void close();
    /// The system's handle of the connection, for calls that don't block.
    [[nodiscard]] int handle() { return socket_.native_handle(); }
    /// Aborts operations that block on the connection; may be called from another thread.
    void interrupt();

private:
    std::mutex mutex_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

/// A server on loopback that runs its script for each connection on a separate thread.
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
    /// Ends all connections and refuses new ones, as when the server's process ends. May be called
    /// from a script.
    void crash();
    /// Ends all connections and accepts new ones, as when the server's process starts again.
    void endConnections();

private:
    struct Worker
    {
        std::atomic<bool> ended { false };
        std::thread thread;
    };

    void accept();
    /// Releases the threads of connections that have ended. Needs the lock.
    void joinEnded();

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    Script script_;
    std::atomic<bool> stopping_ { false };
    std::mutex mutex_;
    bool crashed_ = false;
    std::vector<std::unique_ptr<Worker>> workers_;
    /// All connections, so that scripts can tell them by their addresses.
    std::vector<std::shared_ptr<ScriptedConnection>> connections_;
    std::thread acceptThread_;
};

/// Listens on a free port. The system releases a port that it has chosen itself when the listening
/// ends, and may assign it to another server; one that was asked for stays reserved.
[[nodiscard]] boost::asio::ip::tcp::acceptor listenOnReservedPort(boost::asio::io_context &context);

/// Builds a response with a Content-Length header.
[[nodiscard]] std::string responseText(unsigned status, const std::string &headers,
                                       const std::string &body);

} // namespace jacinthroad
