#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Core/MemoryBudget.h"
#include "Core/Time.h"
#include "Http/HttpMessage.h"

namespace jacinthroad {

/// Outcome of an HTTP call.
enum class CallOutcome : std::uint8_t {
    /// The complete response was received, as its length or its last chunk shows, with a status
    /// that a server may give.
    Completed,
    /// No byte of the request was sent, so the server cannot have received it.
    NotSent,
    /// The connection failed after some of the request may have been sent, or what the server sent
    /// is no response or exceeds a limit.
    Interrupted,
    TimedOut,
    Cancelled,
};

/// Maximum size in bytes of the body of a response that its receiver keeps.
constexpr std::size_t MaximumResponseBytes = 16 * 1024 * 1024;

/// One HTTP call and its limits.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    Duration connectTimeout = std::chrono::seconds(2);
    /// Limit on the duration of the entire call; zero means no limit.
    Duration totalTimeout = Duration::zero();
    /// Limit on the bytes of the response's body; zero means no limit, for a receiver that doesn't
    /// keep them.
    std::size_t maximumResponseBytes = MaximumResponseBytes;
    /// The budget that the body of the response takes memory from while the call runs; none if
    /// null.
    std::shared_ptr<MemoryBudget> responseMemory {};
    /// Uses a new connection and closes it afterwards. On a reused one a late response to an
    /// earlier request can be taken for this call's, and libcurl retries a request of any method
    /// when the connection turns out to be closed.
    bool ownConnection = false;
};

/// Callbacks of a call; all run on the client's thread.
struct HttpCallEvents
{
    std::function<void(int status, const HttpHeaders &headers)> onHeaders;
    /// Returns false to pause the transfer; the same bytes are delivered again after
    /// HttpClient::resume().
    std::function<bool(std::string_view bytes)> onData;
    std::function<void(CallOutcome outcome)> onEnd;
};

/// Runs concurrent HTTP calls on its own thread with libcurl's multi interface.
class HttpClient
{
public:
    using CallId = std::uint64_t;

    HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    /// Cancels every open call, runs its onEnd callback, and joins the thread.
    ~HttpClient();

    /// Starts a call; thread-safe.
    CallId start(HttpCall call, HttpCallEvents events);
    /// Ends a call with CallOutcome::Cancelled unless it has already ended.
    void cancel(CallId id);
    /// Resumes a paused call.
    void resume(CallId id);

private:
    class Loop;
    std::unique_ptr<Loop> loop_;
};

/// Outcome and response of a call made by performCall().
struct HttpCallResult
{
    CallOutcome outcome = CallOutcome::NotSent;
    HttpResponse response;
};

/// Makes one call and blocks until it ends. For tools and tests only; it must not run on a traffic
/// thread.
[[nodiscard]] HttpCallResult performCall(HttpClient &client, HttpCall call);

} // namespace jacinthroad
