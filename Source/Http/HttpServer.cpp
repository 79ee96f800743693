#include "Http/HttpServer.h"

#include <charconv>
#include <utility>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

#include "Core/Log.h"

namespace jacinthroad {

namespace {

constexpr std::size_t SendBlockBytes = 16 * 1024;
/// Multiple of the body limit up to which an oversized body is read and discarded before the
/// connection is closed.
constexpr std::size_t MaximumDiscardFactor = 8;

std::size_t declaredBodyBytes(MHD_Connection *connection)
{
    const char *text
        = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
    if (text == nullptr) {
        return 0;
    }
    const std::string_view digits(text);
    std::size_t length = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), length);
    return length;
}

MHD_Result appendField(void *target, MHD_ValueKind, const char *name, const char *value)
{
    auto &fields = *static_cast<HttpHeaders *>(target);
    fields.emplace_back(name, value == nullptr ? "" : value);
    return MHD_YES;
}

MHD_Result appendLowerCaseField(void *target, MHD_ValueKind, const char *name, const char *value)
{
    auto &fields = *static_cast<HttpHeaders *>(target);
    fields.emplace_back(toLower(name), value == nullptr ? "" : value);
    return MHD_YES;
}

} // namespace

/// A request, its response writer, and the progress of receiving its body.
struct HttpServer::Exchange
{
    explicit Exchange(const std::shared_ptr<MemoryBudget> &budget)
        : writer(std::make_shared<ResponseWriter>(budget))
    {
        request.memory = std::make_shared<RequestMemory>(budget);
    }

    HttpRequest request;
    std::shared_ptr<ResponseWriter> writer;
    std::size_t receivedBytes = 0;
    bool handlerCalled = false;
    /// True once libmicrohttpd has taken the response.
    bool responseQueued = false;
    /// What identifies the request in the log.
    std::string requestId;
    std::string path;
};

/// Callbacks registered with libmicrohttpd.
struct HttpServer::Callbacks
{
    static MHD_Result access(void *context, MHD_Connection *connection, const char *url,
                             const char *method, const char *version, const char *uploadData,
                             size_t *uploadSize, void **exchangeSlot)
    {
        auto &server = *static_cast<HttpServer *>(context);
        if (*exchangeSlot == nullptr) {
            const MHD_Result result = begin(server, connection, url, method, exchangeSlot);
            if (*exchangeSlot != nullptr) {
                static_cast<Exchange *>(*exchangeSlot)->writer->closeEndsBody_
                    = std::string_view(version) == "HTTP/1.0";
            }
            return result;
        }
        auto &exchange = *static_cast<Exchange *>(*exchangeSlot);
        if (*uploadSize != 0) {
            return receive(server, exchange, connection, { uploadData, *uploadSize }, uploadSize);
        }
        return respond(server, exchange, connection);
    }

    static MHD_Result begin(HttpServer &server, MHD_Connection *connection, const char *url,
                            const char *method, void **exchangeSlot)
    {
        auto exchange = std::make_unique<Exchange>(server.memory_);
        exchange->writer->connection_ = connection;
        {
            const std::scoped_lock lock(server.mutex_);
            if (server.stopping_) {
                return MHD_NO;
            }
            server.openWriters_.insert(exchange->writer);
        }
        exchange->request.method = method;
        exchange->request.path = url;
        exchange->path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, appendLowerCaseField,
                                  &exchange->request.headers);
        exchange->requestId = findHeader(exchange->request.headers, "x-request-id").value_or("");
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, appendField,
                                  &exchange->request.query);
        auto &current = *exchange;
        *exchangeSlot = exchange.release();
        if (!current.request.memory->header.resize(headerMemory(current.request.headers)
                                                   + headerMemory(current.request.query))) {
            logNoMemory(server, current, connection);
            return MHD_NO;
        }
        const std::size_t declared = declaredBodyBytes(connection);
        if (declared > server.options_.maximumBodyBytes) {
            current.request.bodyLoss = BodyLoss::TooLarge;
        } else if (server.options_.wantsBody && !server.options_.wantsBody(current.request)) {
            current.request.bodyLoss = BodyLoss::NotWanted;
        }
        if (declared > server.options_.maximumBodyBytes * MaximumDiscardFactor) {
            return respond(server, current, connection);
        }
        // The close of a connection with unread bytes could discard the response.
        return MHD_YES;
    }

    static MHD_Result receive(HttpServer &server, Exchange &exchange, MHD_Connection *connection,
                              std::string_view bytes, size_t *uploadSize)
    {
        *uploadSize = 0;
        exchange.receivedBytes += bytes.size();
        if (exchange.receivedBytes > server.options_.maximumBodyBytes * MaximumDiscardFactor) {
            return MHD_NO;
        }
        HttpRequest &request = exchange.request;
        if (request.bodyLoss != BodyLoss::None) {
            return MHD_YES;
        }
        if (exchange.receivedBytes > server.options_.maximumBodyBytes) {
            loseBody(exchange, BodyLoss::TooLarge);
        } else if (!request.memory->body.growBody(request.body, bytes.size(),
                                                  server.options_.maximumBodyBytes)) {
            logNoMemory(server, exchange, connection);
            loseBody(exchange, BodyLoss::NoMemory);
        } else {
            request.body.append(bytes);
        }
        return MHD_YES;
    }

    static void loseBody(Exchange &exchange, BodyLoss loss)
    {
        exchange.request.bodyLoss = loss;
        exchange.request.body = {};
        // A smaller reservation always fits.
        static_cast<void>(exchange.request.memory->body.resize(0));
    }

    static void logNoMemory(const HttpServer &server, const Exchange &exchange,
                            MHD_Connection *connection)
    {
        logLine(LogLevel::Warning, "request_without_memory",
                { { "request_id", exchange.requestId },
                  { "path", exchange.path },
                  { "caller", callerAddress(connection) },
                  { "body_bytes", static_cast<std::int64_t>(exchange.receivedBytes) },
                  { "memory_bytes", static_cast<std::int64_t>(server.memory_->used()) },
                  { "memory_limit_bytes", static_cast<std::int64_t>(server.memory_->limit()) },
                  { "remedy",
                    "Look for callers that send slowly, or raise "
                    "limits.response_memory_bytes." } });
    }

    static MHD_Result respond(HttpServer &server, Exchange &exchange, MHD_Connection *connection)
    {
        if (!exchange.handlerCalled) {
            exchange.handlerCalled = true;
            server.handler_(std::move(exchange.request), exchange.writer);
        }
        ResponseWriter &writer = *exchange.writer;
        const std::scoped_lock lock(writer.mutex_);
        if (writer.queued_) {
            return MHD_YES;
        }
        if (writer.aborted_ && !writer.started_) {
            return MHD_NO;
        }
        if (!writer.started_) {
            writer.suspended_ = true;
            MHD_suspend_connection(connection);
            return MHD_YES;
        }
        writer.queued_ = true;
        const MHD_Result result = queueResponseLocked(exchange.writer, connection);
        exchange.responseQueued = result == MHD_YES;
        return result;
    }

    static MHD_Result queueResponseLocked(const std::shared_ptr<ResponseWriter> &writer,
                                          MHD_Connection *connection)
    {
        MHD_Response *response = nullptr;
        if (writer->hasCompleteBody_) {
            auto body = std::make_unique<CompleteBody>(CompleteBody {
                .text = std::move(writer->buffer_), .memory = std::move(writer->bodyMemory_) });
            std::string &text = body->text;
            writer->buffer_ = {};
            response = MHD_create_response_from_buffer_with_free_callback_cls(
                text.size(), text.data(), releaseBody, body.release());
        } else {
            auto reference = std::make_unique<std::shared_ptr<ResponseWriter>>(writer);
            response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, SendBlockBytes, read,
                                                         reference.release(), release);
        }
        for (const auto &[name, value] : writer->headers_) {
            MHD_add_response_header(response, name.c_str(), value.c_str());
        }
        const MHD_Result result
            = MHD_queue_response(connection, static_cast<unsigned>(writer->status_), response);
        MHD_destroy_response(response);
        return result;
    }

    static ssize_t read(void *context, std::uint64_t, char *target, size_t capacity)
    {
        return (*static_cast<std::shared_ptr<ResponseWriter> *>(context))->read(target, capacity);
    }

    /// A complete body, which libmicrohttpd reads until it has sent the response.
    struct CompleteBody
    {
        std::string text;
        std::shared_ptr<MemoryReservation> memory;
    };

    static void releaseBody(void *context)
    {
        const std::unique_ptr<CompleteBody> body(static_cast<CompleteBody *>(context));
    }

    static void release(void *context)
    {
        const std::unique_ptr<std::shared_ptr<ResponseWriter>> reference(
            static_cast<std::shared_ptr<ResponseWriter> *>(context));
    }

    /// Logs a request that was read completely and to which no response was sent, unless its
    /// handler or the end of the server has ended it.
    static void logUnanswered(const Exchange &exchange)
    {
        {
            const std::scoped_lock lock(exchange.writer->mutex_);
            if (exchange.writer->aborted_) {
                return;
            }
        }
        logLine(LogLevel::Warning, "request_dropped",
                { { "request_id", exchange.requestId }, { "path", exchange.path } });
    }

    static void completed(void *context, MHD_Connection *, void **exchangeSlot,
                          MHD_RequestTerminationCode code)
    {
        auto &server = *static_cast<HttpServer *>(context);
        const std::unique_ptr<Exchange> exchange(static_cast<Exchange *>(*exchangeSlot));
        *exchangeSlot = nullptr;
        if (exchange == nullptr) {
            return;
        }
        {
            const std::scoped_lock lock(server.mutex_);
            server.openWriters_.erase(exchange->writer);
        }
        const bool callerLeft = code == MHD_REQUEST_TERMINATED_CLIENT_ABORT
            || code == MHD_REQUEST_TERMINATED_READ_ERROR;
        if (exchange->handlerCalled && !exchange->responseQueued && !callerLeft) {
            logUnanswered(*exchange);
        }
        exchange->writer->connectionEnded(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    }
};

HttpServer::HttpServer(HttpServerOptions options, std::shared_ptr<MemoryBudget> memory,
                       Handler handler)
    : options_(std::move(options))
    , memory_(std::move(memory))
    , handler_(std::move(handler))
{ }

Result<std::unique_ptr<HttpServer>>
HttpServer::start(HttpServerOptions options, std::shared_ptr<MemoryBudget> memory, Handler handler)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
        return makeError(ErrorKind::InvalidSettings,
                         "listen address '" + options.address + "' is not an IPv4 address",
                         "Use an address such as 127.0.0.1.");
    }
    std::unique_ptr<HttpServer> server(
        new HttpServer(std::move(options), std::move(memory), std::move(handler)));
    const HttpServerOptions &used = server->options_;
    server->daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, used.port, nullptr,
        nullptr, &Callbacks::access, server.get(), MHD_OPTION_SOCK_ADDR,
        reinterpret_cast<sockaddr *>(&address), MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
        MHD_OPTION_THREAD_POOL_SIZE, used.threads > 1 ? used.threads : 0U,
        MHD_OPTION_CONNECTION_LIMIT, used.maximumConnections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        used.maximumHeaderBytes, MHD_OPTION_CONNECTION_TIMEOUT, used.idleTimeoutSeconds,
        MHD_OPTION_NOTIFY_COMPLETED, &Callbacks::completed, server.get(), MHD_OPTION_END);
    if (server->daemon_ == nullptr) {
        return makeError(ErrorKind::Internal,
                         "cannot listen on " + used.address + ":" + std::to_string(used.port),
                         "Check that the address is this VM's and that the port is free.");
    }
    server->port_ = MHD_get_daemon_info(server->daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
    return server;
}

HttpServer::~HttpServer()
{
    if (daemon_ == nullptr) {
        return;
    }
    const MHD_socket listener = MHD_quiesce_daemon(daemon_);
    std::unordered_set<std::shared_ptr<ResponseWriter>> open;
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
        open = openWriters_;
    }
    for (const auto &writer : open) {
        writer->abort();
    }
    MHD_stop_daemon(daemon_);
    if (listener != MHD_INVALID_SOCKET) {
        close(listener);
    }
}

std::size_t HttpServer::openExchanges() const
{
    const std::scoped_lock lock(mutex_);
    return openWriters_.size();
}

} // namespace jacinthroad
