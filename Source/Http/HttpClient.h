#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Core/Time.h"
#include "Http/HttpMessage.h"

namespace jacinthroad {

/// How a call ended.
enum class CallOutcome : std::uint8_t {
    /// The whole answer arrived.
    Completed,
    /// No byte of the request left this process: the callee provably did not see it.
    NotSent,
    /// The connection failed after the request may have left.
    Interrupted,
    TimedOut,
    Cancelled,
};

/// One call to make.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    Duration connectTimeout = std::chrono::seconds(2);
    /// Zero sets no limit on the whole call.
    Duration totalTimeout = Duration::zero();
    /// Send over a new connection that is closed afterwards. libcurl sends a request a second
    /// time, whatever its method, when a reused connection turns out to be closed; a call that
    /// may not be repeated therefore never rides on a reused one.
    bool neverResend = false;
};

/// Events of a call, all on the client's thread.
struct HttpCallEvents
{
    std::function<void(int status, const HttpHeaders &headers)> onHeaders;
    /// Returns false to pause; the same bytes come again after HttpClient::resume().
    std::function<bool(std::string_view bytes)> onData;
    std::function<void(CallOutcome outcome)> onEnd;
};

/// Makes many HTTP calls at once on one thread of its own, over libcurl's multi interface.
class HttpClient
{
public:
    using CallId = std::uint64_t;

    HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    /// Cancels every open call, with its onEnd, and joins the thread.
    ~HttpClient();

    /// Starts a call; safe from any thread.
    CallId start(HttpCall call, HttpCallEvents events);
    /// Ends a call with outcome Cancelled unless it has already ended.
    void cancel(CallId id);
    /// Lets a paused call go on.
    void resume(CallId id);

private:
    class Loop;
    std::unique_ptr<Loop> loop_;
};

/// The end of a call made by performCall().
struct HttpCallResult
{
    CallOutcome outcome = CallOutcome::NotSent;
    HttpResponse response;
};

/// Makes one call and waits for its end; for tools and tests, never on a traffic thread.
[[nodiscard]] HttpCallResult performCall(HttpClient &client, HttpCall call);

} // namespace jacinthroad
