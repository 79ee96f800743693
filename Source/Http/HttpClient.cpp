#include "Http/HttpClient.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <future>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "Core/Log.h"
#include "Core/Overloaded.h"

namespace jacinthroad {

namespace {

constexpr int MaximumPollMilliseconds = 1000;
constexpr std::size_t EventsPerPoll = 64;
constexpr long ConnectionCacheSize = 256;
/// Maximum size in bytes of the header and trailer lines of a response and of all interim
/// responses before it.
constexpr std::size_t MaximumHeaderBytes = 64 * 1024;

struct CurlList
{
    curl_slist *head = nullptr;
    CurlList() = default;
    CurlList(const CurlList &) = delete;
    CurlList &operator=(const CurlList &) = delete;
    ~CurlList() { curl_slist_free_all(head); }
    void append(const std::string &line) { head = curl_slist_append(head, line.c_str()); }
};

struct Transfer
{
    HttpClient::CallId id = 0;
    CURL *handle = nullptr;
    HttpCall call;
    HttpCallEvents events;
    CurlList headerLines;
    HttpHeaders headers;
    bool headersComplete = false;
    bool headersReported = false;
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    /// Memory of the body.
    std::optional<MemoryReservation> memory;

    /// Counts bytes of the body before they are delivered. Returns false if they exceed a limit.
    [[nodiscard]] bool takeBody(std::size_t bytes)
    {
        const std::size_t size = bodyBytes + bytes;
        if ((call.maximumResponseBytes > 0 && size > call.maximumResponseBytes)
            || (memory.has_value() && !memory->resize(size))) {
            return false;
        }
        bodyBytes = size;
        return true;
    }
    void giveBackBody(std::size_t bytes)
    {
        bodyBytes -= bytes;
        if (memory.has_value()) {
            // A smaller reservation always fits.
            static_cast<void>(memory->resize(bodyBytes));
        }
    }
};

/// Returns true if the header of a response states where its body ends. Otherwise the body ends
/// with the connection, and one that the server broke off looks complete.
bool namesBodyEnd(int status, const HttpHeaders &headers)
{
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    if (status == NoContent || status == NotModified) {
        return true;
    }
    return std::any_of(headers.begin(), headers.end(), [](const auto &header) {
        return header.first == "content-length"
            || (header.first == "transfer-encoding" && toLower(header.second).ends_with("chunked"));
    });
}

/// Returns true if the status is one that ends a request (RFC 9110, section 15).
bool isFinalStatus(long status)
{
    constexpr long FirstFinal = 200;
    constexpr long FirstInvalid = 600;
    return status >= FirstFinal && status < FirstInvalid;
}

void reportHeaders(Transfer &transfer)
{
    if (transfer.headersReported) {
        return;
    }
    transfer.headersReported = true;
    long status = 0;
    curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
    if (transfer.events.onHeaders) {
        transfer.events.onHeaders(static_cast<int>(status), transfer.headers);
    }
}

/// Ends a transfer when a callback returns it for bytes that were received.
constexpr std::size_t EndTransfer = 0;

void logTooLong(const Transfer &transfer)
{
    // A query may hold what its caller keeps secret.
    const std::string_view url = transfer.call.url;
    logLine(LogLevel::Warning, "response_too_long",
            { { "url", url.substr(0, url.find('?')) },
              { "header_bytes", static_cast<std::int64_t>(transfer.headerBytes) },
              { "body_bytes", static_cast<std::int64_t>(transfer.bodyBytes) },
              { "remedy",
                "Check the server. limits.response_memory_bytes bounds the "
                "responses of all services together." } });
}

size_t onBody(char *bytes, size_t, size_t count, void *context)
{
    auto &transfer = *static_cast<Transfer *>(context);
    reportHeaders(transfer);
    if (!transfer.takeBody(count)) {
        logTooLong(transfer);
        return EndTransfer;
    }
    if (transfer.events.onData && !transfer.events.onData({ bytes, count })) {
        transfer.giveBackBody(count);
        return CURL_WRITEFUNC_PAUSE;
    }
    return count;
}

size_t onHeaderLine(char *bytes, size_t, size_t count, void *context)
{
    auto &transfer = *static_cast<Transfer *>(context);
    const std::string_view line(bytes, count);
    transfer.headerBytes += count;
    if (transfer.headerBytes > MaximumHeaderBytes) {
        logTooLong(transfer);
        return EndTransfer;
    }
    if (line.starts_with("HTTP/")) {
        transfer.headers.clear();
        transfer.headersComplete = false;
        return count;
    }
    transfer.headersComplete = transfer.headersComplete || line == "\r\n" || line == "\n";
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return count;
    }
    std::string_view value = line.substr(colon + 1);
    const auto first = value.find_first_not_of(" \t");
    const auto last = value.find_last_not_of(" \t\r\n");
    value = first == std::string_view::npos ? std::string_view()
                                            : value.substr(first, last - first + 1);
    transfer.headers.emplace_back(toLower(line.substr(0, colon)), value);
    return count;
}

CallOutcome outcomeOf(const Transfer &transfer, CURLcode code)
{
    CURL *handle = transfer.handle;
    if (code == CURLE_OK) {
        // libcurl also takes a response as complete that its server broke off inside the header.
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        return transfer.headersComplete && isFinalStatus(status)
                && namesBodyEnd(static_cast<int>(status), transfer.headers)
            ? CallOutcome::Completed
            : CallOutcome::Interrupted;
    }
    long requestBytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_URL_MALFORMAT
        || code == CURLE_COULDNT_RESOLVE_HOST) {
        return requestBytes == 0 ? CallOutcome::NotSent : CallOutcome::Interrupted;
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return requestBytes == 0 ? CallOutcome::NotSent : CallOutcome::TimedOut;
    }
    return CallOutcome::Interrupted;
}

} // namespace

/// The client's event loop, its thread and its transfers. It waits with epoll and passes only
/// ready sockets to libcurl, because curl_multi_perform() would examine every open transfer on
/// each wake-up.
class HttpClient::Loop
{
public:
    Loop()
        : multi_(curl_multi_init())
        , epollFd_(epoll_create1(EPOLL_CLOEXEC))
        , wakeFd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    {
        epoll_event event {};
        event.events = EPOLLIN;
        event.data.fd = wakeFd_;
        epoll_ctl(epollFd_, EPOLL_CTL_ADD, wakeFd_, &event);
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, ConnectionCacheSize);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, onSocket);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, onTimer);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        thread_ = std::thread([this] { run(); });
    }

    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    ~Loop()
    {
        post(Stop {});
        thread_.join();
        curl_multi_cleanup(multi_);
        close(wakeFd_);
        close(epollFd_);
    }

    CallId start(HttpCall call, HttpCallEvents events)
    {
        auto transfer = std::make_unique<Transfer>();
        if (call.responseMemory != nullptr) {
            transfer->memory.emplace(call.responseMemory, BodyKind::Response);
        }
        transfer->call = std::move(call);
        transfer->events = std::move(events);
        CallId id = 0;
        {
            const std::scoped_lock lock(mutex_);
            id = ++lastId_;
            transfer->id = id;
            commands_.emplace_back(Start { std::move(transfer) });
        }
        wake();
        return id;
    }

    void cancel(CallId id) { post(Cancel { id }); }
    void resume(CallId id) { post(Resume { id }); }

private:
    struct Start
    {
        std::unique_ptr<Transfer> transfer;
    };
    struct Cancel
    {
        CallId id;
    };
    struct Resume
    {
        CallId id;
    };
    struct Stop
    { };
    using Command = std::variant<Start, Cancel, Resume, Stop>;

    void post(Command command)
    {
        {
            const std::scoped_lock lock(mutex_);
            commands_.push_back(std::move(command));
        }
        wake();
    }

    void wake() const
    {
        const std::uint64_t one = 1;
        static_cast<void>(!write(wakeFd_, &one, sizeof(one)));
    }

    static int onSocket(CURL *, curl_socket_t socket, int what, void *context, void *socketData)
    {
        auto &loop = *static_cast<Loop *>(context);
        if (what == CURL_POLL_REMOVE) {
            epoll_ctl(loop.epollFd_, EPOLL_CTL_DEL, socket, nullptr);
            return 0;
        }
        epoll_event event {};
        event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U)
            | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
        event.data.fd = socket;
        const int operation = socketData == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
        if (epoll_ctl(loop.epollFd_, operation, socket, &event) != 0) {
            // libcurl may reuse a descriptor whose previous socket was removed from the epoll set
            // when it was closed.
            const int alternative = operation == EPOLL_CTL_ADD ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
            epoll_ctl(loop.epollFd_, alternative, socket, &event);
        }
        curl_multi_assign(loop.multi_, socket, &loop);
        return 0;
    }

    static int onTimer(CURLM *, long waitMs, void *context)
    {
        auto &loop = *static_cast<Loop *>(context);
        loop.timerActive_ = waitMs >= 0;
        loop.timerDeadline_ = std::chrono::steady_clock::now() + milliseconds(waitMs);
        return 0;
    }

    [[nodiscard]] int pollMilliseconds() const
    {
        if (!timerActive_) {
            return MaximumPollMilliseconds;
        }
        const double remaining = toMilliseconds(timerDeadline_ - std::chrono::steady_clock::now());
        return std::clamp(static_cast<int>(std::ceil(remaining)), 0, MaximumPollMilliseconds);
    }

    void pollOnce()
    {
        std::array<epoll_event, EventsPerPoll> events {};
        const int count = epoll_wait(epollFd_, events.data(), static_cast<int>(events.size()),
                                     pollMilliseconds());
        int running = 0;
        for (int index = 0; index < count; ++index) {
            const epoll_event &event = events[static_cast<std::size_t>(index)];
            if (event.data.fd == wakeFd_) {
                std::uint64_t wakes = 0;
                static_cast<void>(!read(wakeFd_, &wakes, sizeof(wakes)));
                continue;
            }
            const int bits = ((event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0)
                | ((event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0)
                | ((event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
            curl_multi_socket_action(multi_, event.data.fd, bits, &running);
        }
        if (timerActive_ && std::chrono::steady_clock::now() >= timerDeadline_) {
            timerActive_ = false;
            curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
        }
    }

    void run()
    {
        while (!stopping_) {
            pollOnce();
            runCommands();
            finishCompletedTransfers();
        }
        while (!transfers_.empty()) {
            end(transfers_.begin()->first, CallOutcome::Cancelled);
        }
    }

    void runCommands()
    {
        std::vector<Command> commands;
        {
            const std::scoped_lock lock(mutex_);
            commands.swap(commands_);
        }
        for (Command &command : commands) {
            std::visit(Overloaded {
                           [this](Start &start) { add(std::move(start.transfer)); },
                           [this](Cancel &cancel) { end(cancel.id, CallOutcome::Cancelled); },
                           [this](Resume &resume) { unpause(resume.id); },
                           [this](Stop &) { stopping_ = true; },
                       },
                       command);
        }
    }

    void add(std::unique_ptr<Transfer> newTransfer)
    {
        Transfer &transfer = *newTransfer;
        transfer.handle = curl_easy_init();
        configure(transfer);
        byHandle_[transfer.handle] = transfer.id;
        transfers_[transfer.id] = std::move(newTransfer);
        curl_multi_add_handle(multi_, transfer.handle);
    }

    static void configure(Transfer &transfer)
    {
        CURL *handle = transfer.handle;
        const HttpCall &call = transfer.call;
        curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                         std::max(1L, static_cast<long>(toMilliseconds(call.connectTimeout))));
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(toMilliseconds(call.totalTimeout)));
        if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.c_str());
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(call.body.size()));
        }
        for (const auto &[name, value] : call.headers) {
            std::string line = name;
            transfer.headerLines.append(line.append(": ").append(value));
        }
        // Suppresses the Expect header; libcurl would otherwise wait for '100 Continue' before it
        // sends a long body.
        transfer.headerLines.append("Expect:");
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headerLines.head);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, onHeaderLine);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
        if (call.ownConnection) {
            curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
        }
    }

    void finishCompletedTransfers()
    {
        int remaining = 0;
        while (CURLMsg *message = curl_multi_info_read(multi_, &remaining)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode code = message->data.result;
            CURL *handle = message->easy_handle;
            const CallId id = byHandle_[handle];
            const CallOutcome outcome = outcomeOf(*transfers_[id], code);
            if (outcome == CallOutcome::Completed) {
                reportHeaders(*transfers_[id]);
            }
            end(id, outcome);
        }
    }

    void end(CallId id, CallOutcome outcome)
    {
        const auto found = transfers_.find(id);
        if (found == transfers_.end()) {
            return;
        }
        const std::unique_ptr<Transfer> transfer = std::move(found->second);
        transfers_.erase(found);
        byHandle_.erase(transfer->handle);
        curl_multi_remove_handle(multi_, transfer->handle);
        curl_easy_cleanup(transfer->handle);
        transfer->handle = nullptr;
        if (transfer->events.onEnd) {
            transfer->events.onEnd(outcome);
        }
    }

    void unpause(CallId id)
    {
        const auto found = transfers_.find(id);
        if (found != transfers_.end()) {
            curl_easy_pause(found->second->handle, CURLPAUSE_CONT);
        }
    }

    CURLM *multi_;
    int epollFd_;
    int wakeFd_;
    bool timerActive_ = false;
    Instant timerDeadline_;
    std::mutex mutex_;
    std::vector<Command> commands_;
    CallId lastId_ = 0;
    bool stopping_ = false;
    std::unordered_map<CallId, std::unique_ptr<Transfer>> transfers_;
    std::unordered_map<CURL *, CallId> byHandle_;
    std::thread thread_;
};

HttpClient::HttpClient()
{
    static const CURLcode GlobalInit = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(GlobalInit);
    loop_ = std::make_unique<Loop>();
}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::start(HttpCall call, HttpCallEvents events)
{
    return loop_->start(std::move(call), std::move(events));
}

void HttpClient::cancel(CallId id)
{
    loop_->cancel(id);
}

void HttpClient::resume(CallId id)
{
    loop_->resume(id);
}

HttpCallResult performCall(HttpClient &client, HttpCall call)
{
    HttpCallResult result;
    std::promise<void> ended;
    client.start(std::move(call),
                 { .onHeaders =
                       [&](int status, const HttpHeaders &headers) {
                           result.response.status = status;
                           result.response.headers = headers;
                       },
                   .onData =
                       [&](std::string_view bytes) {
                           result.response.body.append(bytes);
                           return true;
                       },
                   .onEnd =
                       [&](CallOutcome outcome) {
                           result.outcome = outcome;
                           ended.set_value();
                       } });
    ended.get_future().wait();
    return result;
}

} // namespace jacinthroad
