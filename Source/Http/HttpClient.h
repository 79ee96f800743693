#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

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

/// One HTTP call.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    /// Memory of the body is reserved for the call, unless it is shared with a holder that has done
    /// so.
    std::variant<std::string, std::shared_ptr<const std::string>> body;
    Duration connectTimeout = std::chrono::seconds(2);
    /// Limit on the duration of the entire call; zero means no limit.
    Duration totalTimeout = Duration::zero();
    /// Uses a new connection and closes it afterwards. On a reused one a late response to an
    /// earlier request can be taken for this call's, and libcurl retries a request of any method
    /// when the connection turns out to be closed.
    bool ownConnection = false;
};

/// Callbacks of a call whose receiver doesn't keep the body of the response; all run on the
/// client's thread.
struct HttpCallEvents
{
    std::function<void(int status, const HttpHeaders &headers)> onHeaders;
    /// Returns false to pause the transfer; the same bytes are delivered again after
    /// HttpClient::resume().
    std::function<bool(std::string_view bytes)> onData;
    std::function<void(CallOutcome outcome)> onEnd;
};

/// A response that was kept, or the part of it that arrived, with the memory of its body.
struct CollectedResponse
{
    HttpResponse response;
    std::shared_ptr<MemoryReservation> memory;
};

/// Runs concurrent HTTP calls on its own thread with libcurl's multi interface.
class HttpClient
{
public:
    using CallId = std::uint64_t;
    /// Runs on the client's thread.
    using CollectedEvent = std::function<void(CallOutcome outcome, CollectedResponse response)>;

    /// All that calls send, and what they receive and haven't passed on, takes memory from
    /// `memory`. A call that gets none ends, before it is sent with CallOutcome::NotSent.
    explicit HttpClient(std::shared_ptr<MemoryBudget> memory);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    /// Cancels every open call, runs its onEnd callback, and joins the thread.
    ~HttpClient();

    /// Starts a call; thread-safe.
    CallId start(HttpCall call, HttpCallEvents events);
    /// Starts a call whose response is kept, with a body of up to `maximumBodyBytes`; thread-safe.
    CallId collect(HttpCall call, std::size_t maximumBodyBytes, CollectedEvent done);
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

/// Makes one call and blocks until it ends; the body of the response may have 16 MB. For tools and
/// tests only; it must not run on a traffic thread.
[[nodiscard]] HttpCallResult performCall(HttpClient &client, HttpCall call);

} // namespace jacinthroad
