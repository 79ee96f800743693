#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Core/Time.h"
#include "Http/HttpClient.h"
#include "Load/Workload.h"

namespace jacinthroad {

/// How one sent request ended, as its caller saw it.
enum class CallerOutcome : std::uint8_t {
    Completed,
    RejectedNotRun,
    /// Refused with another verdict than "not run", or an error.
    Failed,
    /// A stream that began and did not come to its end.
    Broken,
    /// A token or id that was not this request's.
    Crossed,
};

/// What the caller saw of one request. Times are in milliseconds of model time and count from
/// the intended time of sending, so that a late sender does not hide a slow answer.
struct CallerRecord
{
    CallerOutcome outcome = CallerOutcome::Failed;
    std::string requestId;
    std::string idempotencyKey;
    std::string errorKind;
    bool toService = false;
    bool inPeak = false;
    LengthClass lengthClass = LengthClass::Normal;
    double atSeconds = 0;
    double firstTokenMs = 0;
    double totalMs = 0;
    std::vector<float> tokenGapsMs;
};

/// Sends requests to nodes and checks every answer against what the engine stand-ins must have
/// said, token by token.
class LoadClient
{
public:
    /// `timeScale` converts the clock to model time.
    explicit LoadClient(double timeScale);

    /// Sends one request to a node; `intended` is when it ought to be sent.
    void send(const std::string &nodeUrl, const Profile &profile, const PlannedRequest &request,
              Instant intended);

    /// Waits until all are answered; false when some are not in time.
    [[nodiscard]] bool waitForAll(Duration timeout);

    /// Requests sent and not yet answered.
    [[nodiscard]] std::size_t openRequests() const;
    /// Records so far, in order of their end.
    [[nodiscard]] std::vector<CallerRecord> records() const;

private:
    struct Exchange;

    void finish(const std::shared_ptr<Exchange> &exchange, CallOutcome outcome);

    double timeScale_;
    std::uint64_t sent_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t openRequests_ = 0;
    std::vector<CallerRecord> records_;
    // Last, so that its threads end before what their callbacks use.
    std::vector<std::unique_ptr<HttpClient>> clients_;
};

} // namespace jacinthroad
