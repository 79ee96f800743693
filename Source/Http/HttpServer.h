#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_set>

#include "Core/Error.h"
#include "Core/MemoryBudget.h"
#include "Http/HttpMessage.h"
#include "Http/ResponseWriter.h"

struct MHD_Daemon;

namespace jacinthroad {

/// Listening address and limits of an HTTP server.
struct HttpServerOptions
{
    /// An IPv4 address.
    std::string address = "127.0.0.1";
    /// 0 selects a free port.
    std::uint16_t port = 0;
    unsigned threads = 1;
    std::size_t maximumBodyBytes = 4 * 1024 * 1024;
    /// Limit on the request line and headers together; libmicrohttpd rejects longer ones with
    /// status 431.
    std::size_t maximumHeaderBytes = 32 * 1024;
    unsigned maximumConnections = 4096;
    /// A connection without any traffic is closed after this time.
    unsigned idleTimeoutSeconds = 30;
    /// False for a request whose body is to be read without keeping it, by its method, path, query
    /// and headers. Called on a server thread. All bodies are kept if empty.
    std::function<bool(const HttpRequest &)> wantsBody {};
};

/// An HTTP/1.1 server based on libmicrohttpd. The handler runs on a server thread with the complete
/// request and must not block. The response may be written from any thread at any time.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<ResponseWriter>)>;

    /// Starts listening. All that is received, and responses that wait for their callers, take
    /// memory from `memory`. Returns an error that names the address if it is invalid or cannot be
    /// bound.
    [[nodiscard]] static Result<std::unique_ptr<HttpServer>>
    start(HttpServerOptions options, std::shared_ptr<MemoryBudget> memory, Handler handler);

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    /// Aborts the open exchanges, closes every connection and joins the threads.
    ~HttpServer();

    /// The port that the server listens on.
    [[nodiscard]] std::uint16_t port() const { return port_; }
    /// Number of exchanges whose response is not yet complete.
    [[nodiscard]] std::size_t openExchanges() const;

private:
    struct Exchange;
    struct Callbacks;

    HttpServer(HttpServerOptions options, std::shared_ptr<MemoryBudget> memory, Handler handler);

    HttpServerOptions options_;
    std::shared_ptr<MemoryBudget> memory_;
    Handler handler_;
    std::uint16_t port_ = 0;
    MHD_Daemon *daemon_ = nullptr;
    mutable std::mutex mutex_;
    bool stopping_ = false;
    std::unordered_set<std::shared_ptr<ResponseWriter>> openWriters_;
};

} // namespace jacinthroad
