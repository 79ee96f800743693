#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_set>

#include "Core/Error.h"
#include "Http/HttpMessage.h"
#include "Http/ResponseWriter.h"

struct MHD_Daemon;

namespace jacinthroad {

/// Where and within what limits an HTTP server listens.
struct HttpServerOptions
{
    /// An IP number.
    std::string address = "127.0.0.1";
    /// 0 takes a free port.
    std::uint16_t port = 0;
    unsigned threads = 1;
    std::size_t maximumBodyBytes = 4 * 1024 * 1024;
    /// Request line and headers together; longer ones are refused with 431 by the library.
    std::size_t maximumHeaderBytes = 32 * 1024;
    unsigned maximumConnections = 4096;
    /// A connection on which nothing moves for so long is closed.
    unsigned idleTimeoutSeconds = 30;
};

/// An HTTP/1.1 server over libmicrohttpd. The handler runs on a server thread with the whole
/// request, answers through the writer from any thread at any time, and must not block.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<ResponseWriter>)>;

    /// Starts to listen; the error names the address when it cannot be had.
    [[nodiscard]] static Result<std::unique_ptr<HttpServer>> start(HttpServerOptions options,
                                                                   Handler handler);

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    /// Closes every connection, also open ones, and joins the threads.
    ~HttpServer();

    /// The port in use.
    [[nodiscard]] std::uint16_t port() const { return port_; }
    /// Connections whose request is not yet fully answered.
    [[nodiscard]] std::size_t openExchanges() const;

private:
    struct Exchange;
    struct Callbacks;

    HttpServer(HttpServerOptions options, Handler handler);

    HttpServerOptions options_;
    Handler handler_;
    std::uint16_t port_ = 0;
    MHD_Daemon *daemon_ = nullptr;
    mutable std::mutex mutex_;
    bool stopping_ = false;
    std::unordered_set<std::shared_ptr<ResponseWriter>> open_;
};

} // namespace jacinthroad
