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
/// Maximum size in bytes of the header and trailer fields of a response and of all interim
/// responses before it.
constexpr std::size_t MaximumHeaderBytes = 64 * 1024;
/// Header fields are held as they are received, in a list that grows, and by their receiver.
constexpr std::size_t HeaderCopies = 3;
/// Maximum number of bytes between two of the body: sizes and extensions of chunks.
constexpr std::size_t MaximumFramingBytes = 64 * 1024;
/// Size in bytes of the buffer that libcurl reads into.
constexpr long ReadBufferBytes = 16 * 1024;
constexpr std::size_t MaximumToolResponseBytes = 16 * 1024 * 1024;

struct CurlList
{
    curl_slist *head = nullptr;
    CurlList() = default;
    CurlList(const CurlList &) = delete;
    CurlList &operator=(const CurlList &) = delete;
    ~CurlList() { curl_slist_free_all(head); }
    void append(const std::string &line) { head = curl_slist_append(head, line.c_str()); }
};

/// A response that its client keeps.
struct Collection
{
    std::size_t maximumBodyBytes;
    HttpClient::CollectedEvent done;
    CollectedResponse collected;
};

struct Transfer
{
    explicit Transfer(const std::shared_ptr<MemoryBudget> &memory)
        : budget(memory)
        // A request that was accepted is to be passed on.
        , requestMemory(memory, BodyKind::Response)
        , headerMemory(memory, BodyKind::Response)
    { }

    std::shared_ptr<MemoryBudget> budget;
    HttpClient::CallId id = 0;
    CURL *handle = nullptr;
    HttpCall call;
    /// Unset if the response is collected.
    HttpCallEvents events;
    std::optional<Collection> collection;
    CurlList headerLines;
    HttpHeaders headers;
    bool headersComplete = false;
    bool headersReported = false;
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    /// Bytes behind the header since the last one of the body.
    std::size_t framingBytes = 0;
    MemoryReservation requestMemory;
    /// Also of the buffer that is read into.
    MemoryReservation headerMemory;

    /// True if what ended the call is the account, not a limit of its own.
    bool withoutMemory = false;

    /// Reserves what the call needs before any byte of its response arrives.
    [[nodiscard]] bool reserve()
    {
        const auto *own = std::get_if<std::string>(&call.body);
        return hasMemory(requestMemory.resize(own == nullptr ? 0 : own->capacity()))
            && takeHeader(0);
    }
    bool hasMemory(bool reserved)
    {
        withoutMemory = !reserved;
        return reserved;
    }
    /// Counts bytes of the header before they are kept. Returns false if they exceed a limit.
    [[nodiscard]] bool takeHeader(std::size_t bytes)
    {
        headerBytes += bytes;
        return headerBytes <= MaximumHeaderBytes
            && hasMemory(headerMemory.resize(ReadBufferBytes + HeaderCopies * headerBytes));
    }
    [[nodiscard]] const std::string &requestBody() const
    {
        const auto *own = std::get_if<std::string>(&call.body);
        return own == nullptr ? *std::get<std::shared_ptr<const std::string>>(call.body) : *own;
    }
    /// Keeps bytes of the body. Returns false if they exceed a limit.
    [[nodiscard]] bool keepBody(std::string_view bytes)
    {
        std::string &body = collection->collected.response.body;
        if (bytes.size() > collection->maximumBodyBytes - body.size()
            || !hasMemory(collection->collected.memory->growBody(body, bytes.size(),
                                                                 collection->maximumBodyBytes))) {
            return false;
        }
        body.append(bytes);
        return true;
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
    if (transfer.collection.has_value()) {
        HttpResponse &response = transfer.collection->collected.response;
        response.status = static_cast<int>(status);
        response.headers = transfer.headers;
    } else if (transfer.events.onHeaders) {
        transfer.events.onHeaders(static_cast<int>(status), transfer.headers);
    }
}

/// Ends a transfer when a callback returns it for bytes that were received.
constexpr std::size_t EndTransfer = 0;

void logLimit(const Transfer &transfer)
{
    // A query may hold what its caller keeps secret.
    const std::string_view url = transfer.call.url;
    logLine(LogLevel::Warning, transfer.withoutMemory ? "call_without_memory" : "response_too_long",
            { { "url", url.substr(0, url.find('?')) },
              { "header_bytes", static_cast<std::int64_t>(transfer.headerBytes) },
              { "body_bytes", static_cast<std::int64_t>(transfer.bodyBytes) },
              { "framing_bytes", static_cast<std::int64_t>(transfer.framingBytes) },
              { "memory_bytes", static_cast<std::int64_t>(transfer.budget->used()) },
              { "memory_limit_bytes", static_cast<std::int64_t>(transfer.budget->limit()) },
              { "remedy",
                transfer.withoutMemory ? "Look for servers and callers that send slowly, or raise "
                                         "limits.response_memory_bytes."
                                       : "Check the server." } });
}

size_t onBody(char *bytes, size_t, size_t count, void *context)
{
    auto &transfer = *static_cast<Transfer *>(context);
    reportHeaders(transfer);
    transfer.framingBytes = 0;
    const std::string_view text(bytes, count);
    if (transfer.collection.has_value()) {
        if (!transfer.keepBody(text)) {
            logLimit(transfer);
            return EndTransfer;
        }
    } else if (transfer.events.onData && !transfer.events.onData(text)) {
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer.bodyBytes += count;
    return count;
}

/// Counts what is received behind a header, before libcurl removes sizes and extensions of chunks,
/// which it reports to no other callback.
int onDebug(CURL *, curl_infotype type, char *, size_t count, void *context)
{
    if (type == CURLINFO_DATA_IN) {
        static_cast<Transfer *>(context)->framingBytes += count;
    }
    return 0;
}

int onProgress(void *context, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    const auto &transfer = *static_cast<const Transfer *>(context);
    const bool tooLong = transfer.framingBytes > MaximumFramingBytes;
    if (tooLong) {
        logLimit(transfer);
    }
    return tooLong ? 1 : 0;
}

size_t onHeaderLine(char *bytes, size_t, size_t count, void *context)
{
    auto &transfer = *static_cast<Transfer *>(context);
    const std::string_view line(bytes, count);
    if (!transfer.takeHeader(count + sizeof(HttpHeaders::value_type))) {
        logLimit(transfer);
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
    explicit Loop(std::shared_ptr<MemoryBudget> memory)
        : memory_(std::move(memory))
        , multi_(curl_multi_init())
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
        auto transfer = std::make_unique<Transfer>(memory_);
        transfer->call = std::move(call);
        transfer->events = std::move(events);
        return start(std::move(transfer));
    }

    CallId collect(HttpCall call, std::size_t maximumBodyBytes, CollectedEvent done)
    {
        auto transfer = std::make_unique<Transfer>(memory_);
        transfer->call = std::move(call);
        transfer->collection
            = { .maximumBodyBytes = maximumBodyBytes,
                .done = std::move(done),
                .collected
                = { .memory = std::make_shared<MemoryReservation>(memory_, BodyKind::Response) } };
        return start(std::move(transfer));
    }

    void cancel(CallId id) { post(Cancel { id }); }
    void resume(CallId id) { post(Resume { id }); }

private:
    CallId start(std::unique_ptr<Transfer> transfer)
    {
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
        if (!transfer.reserve()) {
            logLimit(transfer);
            report(transfer, CallOutcome::NotSent);
            return;
        }
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
        const std::string &body = transfer.requestBody();
        if (!body.empty() || call.method == "POST" || call.method == "PUT") {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(body.size()));
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
        curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, ReadBufferBytes);
        curl_easy_setopt(handle, CURLOPT_VERBOSE, 1L);
        curl_easy_setopt(handle, CURLOPT_DEBUGFUNCTION, onDebug);
        curl_easy_setopt(handle, CURLOPT_DEBUGDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
        curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, onProgress);
        curl_easy_setopt(handle, CURLOPT_XFERINFODATA, &transfer);
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
        report(*transfer, outcome);
    }

    static void report(Transfer &transfer, CallOutcome outcome)
    {
        // Smaller reservations always fit.
        static_cast<void>(transfer.requestMemory.resize(0));
        static_cast<void>(transfer.headerMemory.resize(0));
        if (transfer.collection.has_value()) {
            transfer.collection->done(outcome, std::move(transfer.collection->collected));
        } else if (transfer.events.onEnd) {
            transfer.events.onEnd(outcome);
        }
    }

    void unpause(CallId id)
    {
        const auto found = transfers_.find(id);
        if (found != transfers_.end()) {
            curl_easy_pause(found->second->handle, CURLPAUSE_CONT);
        }
    }

    std::shared_ptr<MemoryBudget> memory_;
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

HttpClient::HttpClient(std::shared_ptr<MemoryBudget> memory)
{
    static const CURLcode GlobalInit = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(GlobalInit);
    loop_ = std::make_unique<Loop>(std::move(memory));
}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::start(HttpCall call, HttpCallEvents events)
{
    return loop_->start(std::move(call), std::move(events));
}

HttpClient::CallId HttpClient::collect(HttpCall call, std::size_t maximumBodyBytes,
                                       CollectedEvent done)
{
    return loop_->collect(std::move(call), maximumBodyBytes, std::move(done));
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
    client.collect(std::move(call), MaximumToolResponseBytes,
                   [&](CallOutcome outcome, CollectedResponse collected) {
                       result = { .outcome = outcome, .response = std::move(collected.response) };
                       // Given back before the caller looks.
                       collected.memory.reset();
                       ended.set_value();
                   });
    ended.get_future().wait();
    return result;
}

} // namespace jacinthroad
