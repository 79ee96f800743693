#pragma once

#include <string>
#include <string_view>

#include "Core/Time.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/RequestEnd.h"

namespace jacinthroad {

/// What is known of a request in progress. The views belong to whoever keeps the request.
struct RequestFacts
{
    std::string_view requestId;
    std::string_view route;
    /// The server that it was sent to last.
    std::string_view server;
    /// The node that forwarded it; empty for a request of a caller.
    std::string_view forwardedBy;
    unsigned sends = 0;
    bool responseBegun = false;
};

/// The duty to end a request that was read completely. It is discharged once, with how the request
/// ended. One that is destroyed before logs `request_dropped` and counts the request as dropped,
/// because its caller got neither a complete response nor a reason for the end of its connection.
class RequestObligation
{
public:
    explicit RequestObligation(GatewayMetrics &metrics);
    RequestObligation(RequestObligation &&other) noexcept;
    RequestObligation(const RequestObligation &) = delete;
    RequestObligation &operator=(RequestObligation &&) = delete;
    RequestObligation &operator=(const RequestObligation &) = delete;
    ~RequestObligation();

    /// Keeps the request's id for the log.
    void setRequestId(std::string_view id) { requestId_ = id; }
    /// Discharges the obligation. Whoever calls this has logged the end of the request.
    void discharge(RequestEnd end) &&;
    /// Discharges it because the process ends, and logs `request_cut`. Uses no metrics, which may
    /// be gone.
    void dischargeAtProcessEnd(const RequestFacts &facts) &&;
    /// Logs and counts the request as dropped, with what is known of it.
    void drop(const RequestFacts &facts) &&;

private:
    void logUnanswered(std::string_view event, const RequestFacts &facts) const noexcept;

    GatewayMetrics *metrics_;
    std::string requestId_;
    Instant readAt_ = std::chrono::steady_clock::now();
    bool open_ = true;
};

} // namespace jacinthroad
