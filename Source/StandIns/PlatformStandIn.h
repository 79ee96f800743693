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

/// The platform's object API over real HTTP, in memory: versions, conditional writes, watches,
/// counted and limited calls, a list of VMs, and faults on demand.
class PlatformStandIn
{
public:
    /// `port` 0 takes a free one.
    explicit PlatformStandIn(std::uint16_t port = 0);
    PlatformStandIn(const PlatformStandIn &) = delete;
    PlatformStandIn &operator=(const PlatformStandIn &) = delete;
    ~PlatformStandIn();

    [[nodiscard]] std::string url() const;

    /// While set, every call is closed without an answer.
    void setOutage(bool outage);
    /// The next writes take effect and are then closed without an answer.
    void loseNextAnswers(int count) { loseNext_ = count; }
    /// Calls above so many a second are refused with 429; 0 sets no limit.
    void setCallLimit(std::uint64_t perSecond) { callLimit_ = perSecond; }
    /// Sets a VM's state in the list, `live` or `leaving`.
    void setVm(const std::string &name, const std::string &state);
    /// Forgets every object newer than a revision, as a restore from a backup does.
    void restoreTo(std::uint64_t revision);

    [[nodiscard]] std::uint64_t calls() const { return calls_; }
    [[nodiscard]] std::uint64_t writes() const { return writes_; }
    [[nodiscard]] std::uint64_t refusedCalls() const { return refused_; }

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
    [[nodiscard]] bool overLimit();
    void read(const std::string &key, ResponseWriter &writer);
    void write(const std::string &key, const HttpRequest &request, ResponseWriter &writer);
    void list(const std::string &prefix, std::uint64_t after, ResponseWriter &writer) const;
    void watch(const HttpRequest &request, const std::shared_ptr<ResponseWriter> &writer);
    void listVms(ResponseWriter &writer) const;
    [[nodiscard]] bool changedSince(const std::string &prefix, std::uint64_t after) const;
    void answerWatchers(Instant now);
    void run();

    std::atomic<bool> outage_ { false };
    std::atomic<int> loseNext_ { 0 };
    std::atomic<std::uint64_t> callLimit_ { 0 };
    std::atomic<std::uint64_t> calls_ { 0 };
    std::atomic<std::uint64_t> writes_ { 0 };
    std::atomic<std::uint64_t> refused_ { 0 };

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::uint64_t revision_ = 0;
    std::map<std::string, Object> objects_;
    std::map<std::string, std::string> vms_;
    std::vector<Watcher> watchers_;
    Instant secondBegan_;
    std::uint64_t callsThisSecond_ = 0;
    std::thread thread_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace jacinthroad
