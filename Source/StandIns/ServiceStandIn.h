#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "Http/HttpServer.h"

namespace jacinthroad {

/// A plain service that books something with every POST. It counts the executions of each
/// Idempotency-Key and so judges whether a call ran at most once.
class ServiceStandIn
{
public:
    /// `port` 0 takes a free one.
    explicit ServiceStandIn(std::uint16_t port = 0);

    [[nodiscard]] std::string url() const;
    /// The next calls take effect and are then closed without an answer.
    void loseNextAnswers(int count) { loseNext_ = count; }
    /// Executions by Idempotency-Key.
    [[nodiscard]] std::map<std::string, int> executions() const;

private:
    void handle(const HttpRequest &request, ResponseWriter &writer);

    std::atomic<int> loseNext_ { 0 };
    mutable std::mutex mutex_;
    std::uint64_t bookings_ = 0;
    std::map<std::string, int> executions_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace jacinthroad
