#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <json/value.h>

#include "Core/Error.h"
#include "Http/HttpMessage.h"
#include "Http/ResponseWriter.h"

namespace jacinthroad {

/// The operations that operators and peers can call on a node. The functions run on worker threads
/// and may block until the control thread responds.
struct OperatorActions
{
    std::function<Result<Json::Value>()> status;
    std::function<Result<Json::Value>()> drain;
    std::function<Result<Json::Value>()> getConfiguration;
    std::function<Result<Json::Value>(const Json::Value &parameters)> patchConfiguration;
    std::function<Result<Json::Value>()> history;
    std::function<Result<Json::Value>()> burn;
    std::function<Result<Json::Value>()> compute;
    /// Patches with a version above `after`, for peers.
    std::function<Result<Json::Value>(std::uint64_t after)> patchesAfter;
};

/// Settings of an OperatorApi.
struct OperatorApiOptions
{
    std::string operatorKeySha256;
    std::string peerKeySha256;
};

/// Interface for operators and peers: JSON-RPC 2.0 with libjsonrpccpp at POST /rpc. Its bearer
/// keys are separate from those of callers.
class OperatorApi
{
public:
    OperatorApi(OperatorApiOptions options, OperatorActions actions);
    OperatorApi(const OperatorApi &) = delete;
    OperatorApi &operator=(const OperatorApi &) = delete;
    ~OperatorApi();

    /// True if a request carries the operators' or the peers' key. Thread-safe.
    [[nodiscard]] bool isAuthorised(const HttpRequest &request) const;
    /// Queues one HTTP request; a worker thread responds to it.
    void handle(HttpRequest request, const std::shared_ptr<ResponseWriter> &writer);

private:
    class Rpc;
    struct Job
    {
        HttpRequest request;
        std::shared_ptr<ResponseWriter> writer;
    };

    void processJobs();

    OperatorApiOptions options_;
    std::unique_ptr<Rpc> rpc_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::deque<Job> jobs_;
    std::vector<std::thread> workers_;
};

} // namespace jacinthroad
