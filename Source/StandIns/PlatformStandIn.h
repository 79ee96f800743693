#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Core/Time.h"
#include "Http/HttpServer.h"

namespace jacinthroad {

/// Implements the platform's object API in memory behind a real HTTP server: versions, conditional
/// writes, watches, a call counter and rate limit, a list of VMs, and fault injection.
class PlatformStandIn
{
public:
    /// `port` 0 picks a free one.
    explicit PlatformStandIn(std::uint16_t port = 0);
    PlatformStandIn(const PlatformStandIn &) = delete;
    PlatformStandIn &operator=(const PlatformStandIn &) = delete;
    ~PlatformStandIn();

    [[nodiscard]] std::string url() const;

    /// During an outage the server closes every connection without a response.
    void setOutage(bool outage);
    /// Applies the next `count` writes but closes their connections without a response.
    void dropNextResponses(int count) { dropNext_ = count; }
    /// Rejects calls beyond `perSecond` with status 429; 0 removes the limit.
    void setCallLimit(std::uint64_t perSecond) { callLimit_ = perSecond; }
    /// Adds a VM to the list or changes its state, which is `live` or `leaving`.
    void setVm(const std::string &name, const std::string &state);
    /// Removes every object last written after a revision, as a restore from a backup would.
    void restoreTo(std::uint64_t revision);

    [[nodiscard]] std::uint64_t calls() const { return calls_; }
    [[nodiscard]] std::uint64_t writes() const { return writes_; }
    [[nodiscard]] std::uint64_t rejectedCalls() const { return rejected_; }

private:
    struct Object
    {
        std::uint64_t version = 0;
        std::string value;
    };
    struct Watcher
    {
        std::string prefix;
        std::uint64_t after = 0;
        Instant expires;
        std::shared_ptr<ResponseWriter> writer;
    };

    void handle(const HttpRequest &request, const std::shared_ptr<ResponseWriter> &writer);
    [[nodiscard]] bool exceedsCallLimit();
    void read(const std::string &key, ResponseWriter &writer);
    void write(const std::string &key, const HttpRequest &request, ResponseWriter &writer);
    void list(const std::string &prefix, std::uint64_t after, ResponseWriter &writer) const;
    void watch(const HttpRequest &request, const std::shared_ptr<ResponseWriter> &writer);
    void listVms(ResponseWriter &writer) const;
    [[nodiscard]] bool changedSince(const std::string &prefix, std::uint64_t after) const;
    void respondToWatchers(Instant now);
    void run();

    std::atomic<bool> outage_ { false };
    std::atomic<int> dropNext_ { 0 };
    std::atomic<std::uint64_t> callLimit_ { 0 };
    std::atomic<std::uint64_t> calls_ { 0 };
    std::atomic<std::uint64_t> writes_ { 0 };
    std::atomic<std::uint64_t> rejected_ { 0 };

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::uint64_t revision_ = 0;
    std::map<std::string, Object> objects_;
    std::map<std::string, std::string> vms_;
    std::vector<Watcher> watchers_;
    Instant windowStart_;
    std::uint64_t callsInWindow_ = 0;
    std::thread thread_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace jacinthroad
