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

/// What operators and peers may ask a node. The functions run on worker threads and may wait for
/// the control thread.
struct OperatorActions
{
    std::function<Result<Json::Value>()> status;
    std::function<Result<Json::Value>()> drain;
    std::function<Result<Json::Value>()> getConfiguration;
    std::function<Result<Json::Value>(const Json::Value &parameters)> patchConfiguration;
    std::function<Result<Json::Value>()> history;
    std::function<Result<Json::Value>()> burn;
    std::function<Result<Json::Value>()> compute;
    /// Patch objects after a version, for peers.
    std::function<Result<Json::Value>(std::uint64_t after)> patchesAfter;
};

/// Settings of an OperatorApi.
struct OperatorApiOptions
{
    std::string operatorKeySha256;
    std::string peerKeySha256;
};

/// The operators' and peers' side: JSON-RPC 2.0 by libjsonrpccpp at POST /rpc, with bearer keys of
/// its own that no caller has.
class OperatorApi
{
public:
    OperatorApi(OperatorApiOptions options, OperatorActions actions);
    OperatorApi(const OperatorApi &) = delete;
    OperatorApi &operator=(const OperatorApi &) = delete;
    ~OperatorApi();

    /// Takes one HTTP request; it is answered from a worker thread.
    void handle(HttpRequest request, const std::shared_ptr<ResponseWriter> &writer);

private:
    class Rpc;
    struct Job
    {
        std::string body;
        std::shared_ptr<ResponseWriter> writer;
    };

    [[nodiscard]] bool authorised(const HttpRequest &request) const;
    void work();

    OperatorApiOptions options_;
    std::unique_ptr<Rpc> rpc_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::deque<Job> jobs_;
    std::vector<std::thread> workers_;
};

} // namespace jacinthroad
