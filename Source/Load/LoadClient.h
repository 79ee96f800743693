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

/// The outcome of a request as its caller saw it.
enum class CallerOutcome : std::uint8_t {
    Completed,
    RejectedNotRun,
    /// Rejected without the statement that it did not run, or ended with an error.
    Failed,
    /// A stream that started but did not complete.
    Broken,
    /// A stream with a token or event id of another request.
    Crossed,
};

/// The outcome and times of one request as its caller saw them. Latencies are in milliseconds of
/// model time and count from the intended send time, so that a late sender does not hide a slow
/// response.
struct CallerRecord
{
    CallerOutcome outcome = CallerOutcome::Failed;
    std::string requestId;
    std::string idempotencyKey;
    std::string errorKind;
    bool toService = false;
    bool inPeak = false;
    LengthClass lengthClass = LengthClass::Normal;
    /// Intended send time in seconds of model time from the start of the run.
    double atSeconds = 0;
    double firstTokenMs = 0;
    double totalMs = 0;
    std::vector<float> tokenGapsMs;
};

/// Sends requests to nodes and compares every response, token by token, with the output that the
/// engine stand-ins generate for its prompt.
class LoadClient
{
public:
    /// `timeScale` is how many times faster than the clock model time runs.
    explicit LoadClient(double timeScale);

    /// Sends one request to a node; `intended` is its planned send time.
    void send(const std::string &nodeUrl, const Profile &profile, const PlannedRequest &request,
              Instant intended);

    /// Waits until all requests have ended; false if some have not after `timeout`.
    [[nodiscard]] bool waitForAll(Duration timeout);

    /// Requests that were sent and have not ended.
    [[nodiscard]] std::size_t openRequests() const;
    /// Records of the requests that have ended, in that order.
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
    // Declared last, so that the client threads stop before the members that their callbacks use
    // are destroyed.
    std::vector<std::unique_ptr<HttpClient>> clients_;
};

} // namespace jacinthroad
