#include "Gateway/RequestObligation.h"

#include <cstdint>
#include <exception>
#include <utility>

#include "Core/Log.h"

namespace jacinthroad {

RequestObligation::RequestObligation(GatewayMetrics &metrics)
    : metrics_(&metrics)
{ }

RequestObligation::RequestObligation(RequestObligation &&other) noexcept
    : metrics_(other.metrics_)
    , requestId_(std::move(other.requestId_))
    , readAt_(other.readAt_)
    , open_(std::exchange(other.open_, false))
{ }

RequestObligation::~RequestObligation()
{
    std::move(*this).drop({});
}

void RequestObligation::discharge(RequestEnd end) &&
{
    if (std::exchange(open_, false)) {
        metrics_->countRequestEnd(end);
        return;
    }
    logLine(LogLevel::Error, "request_ended_twice",
            { { "request_id", requestId_ },
              { "ended_by", endedByName(end) },
              { "remedy", "Report it with the request's other lines." } });
}

void RequestObligation::dischargeAtProcessEnd(const RequestFacts &facts) &&
{
    if (std::exchange(open_, false)) {
        logUnanswered("request_cut", facts);
    }
}

void RequestObligation::drop(const RequestFacts &facts) &&
{
    if (std::exchange(open_, false)) {
        metrics_->countRequestDropped();
        logUnanswered("request_dropped", facts);
    }
}

void RequestObligation::logUnanswered(std::string_view event,
                                      const RequestFacts &facts) const noexcept
{
    try {
        logLine(LogLevel::Warning, event,
                { { "request_id", facts.requestId.empty() ? requestId_ : facts.requestId },
                  { "route", facts.route },
                  { "server", facts.server },
                  { "forwarded_by", facts.forwardedBy },
                  { "sends", std::int64_t { facts.sends } },
                  { "response_begun", std::int64_t { facts.responseBegun ? 1 : 0 } },
                  { "total_ms", toMilliseconds(std::chrono::steady_clock::now() - readAt_) } });
    } catch (const std::exception &) {
        // Without memory for the line, the metric still tells of it.
        return;
    }
}

} // namespace jacinthroad
