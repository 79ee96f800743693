#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "Http/HttpServer.h"

namespace jacinthroad {

/// A plain service that makes a booking for every call other than GET. It counts executions by
/// Idempotency-Key, so that tests can check that a call ran at most once.
class ServiceStandIn
{
public:
    /// `port` 0 picks a free one.
    explicit ServiceStandIn(std::uint16_t port = 0);

    [[nodiscard]] std::string url() const;
    /// Executes the next `count` calls but closes their connections without a response.
    void dropNextResponses(int count) { dropNext_ = count; }
    /// The number of executions by Idempotency-Key.
    [[nodiscard]] std::map<std::string, int> executions() const;

private:
    void handle(const HttpRequest &request, ResponseWriter &writer);

    std::atomic<int> dropNext_ { 0 };
    mutable std::mutex mutex_;
    std::uint64_t bookings_ = 0;
    std::map<std::string, int> executions_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace jacinthroad
