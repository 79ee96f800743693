#include "Node/OperatorApi.h"

#include <utility>

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include "Core/Hashing.h"
#include "Core/Json.h"
#include "Core/JsonExtents.h"
#include "Node/Refusal.h"
#include "Routing/DispatchRecord.h"

namespace jacinthroad {

namespace {

constexpr std::size_t WorkerThreads = 2;
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr int StatusOk = 200;
// JSON-RPC reserves -32000 to -32099 for servers; the index of the error kind is subtracted.
constexpr int FirstErrorCode = -32000;
constexpr int InvalidRequestCode = -32600;
/// Largest memory in bytes of the values of all requests in a batch.
constexpr std::size_t MaximumBatchMemory = 160 * 1024;

/// The connector that libjsonrpccpp requires. It doesn't listen: requests arrive through
/// HttpServer.
class Connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    /// Appends to the std::string that `target` points to.
    bool SendResponse(const std::string &response, void *target) override
    {
        static_cast<std::string *>(target)->append(response);
        return true;
    }
};

/// Holds the connector in a base class, so that it is constructed before the server that uses it.
struct ConnectorHolder
{
    Connector connector;
};

Json::Value valueOrThrow(Result<Json::Value> result)
{
    if (result.has_value()) {
        return std::move(*result);
    }
    const Error &error = result.error();
    Json::Value data;
    data["kind"] = std::string(errorResponse(error.kind).name);
    data["remedy"] = error.remedyText();
    throw jsonrpc::JsonRpcException(FirstErrorCode - static_cast<int>(error.kind), error.message,
                                    data);
}

} // namespace

/// The procedures of the JSON-RPC interface.
class OperatorApi::Rpc : private ConnectorHolder, public jsonrpc::AbstractServer<OperatorApi::Rpc>
{
public:
    explicit Rpc(OperatorActions actions)
        : jsonrpc::AbstractServer<Rpc>(connector, jsonrpc::JSONRPC_SERVER_V2)
        , actions_(std::move(actions))
    {
        bind("status", &Rpc::status);
        bind("drain", &Rpc::drain);
        bind("config.get", &Rpc::getConfiguration);
        bind("config.patch", &Rpc::patchConfiguration);
        bind("config.history", &Rpc::history);
        bind("report.burn", &Rpc::burn);
        bind("report.compute", &Rpc::compute);
        bind("peer.patches", &Rpc::patches);
    }

    std::string process(const std::string &request)
    {
        // libjsonrpccpp ends the program at nesting that is too deep, and answers each value of a
        // batch.
        const bool batch = JsonCursor(request).at('[');
        const auto size
            = estimateJsonMemory(request, batch ? MaximumBatchMemory : MaximumJsonMemory);
        if (!size.has_value()) {
            Json::Value response;
            response["jsonrpc"] = "2.0";
            response["id"] = Json::Value();
            response["error"]["code"] = InvalidRequestCode;
            response["error"]["message"] = size.error().message;
            return writeJson(response);
        }
        std::string response;
        connector.OnRequest(request, &response);
        return response;
    }

private:
    using Method = void (Rpc::*)(const Json::Value &, Json::Value &);

    void bind(const std::string &name, Method method)
    {
        bindAndAddMethod(
            jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
            method);
    }

    void status(const Json::Value &, Json::Value &result)
    {
        result = valueOrThrow(actions_.status());
    }
    void drain(const Json::Value &, Json::Value &result)
    {
        result = valueOrThrow(actions_.drain());
    }
    void getConfiguration(const Json::Value &, Json::Value &result)
    {
        result = valueOrThrow(actions_.getConfiguration());
    }
    void patchConfiguration(const Json::Value &parameters, Json::Value &result)
    {
        result = valueOrThrow(actions_.patchConfiguration(parameters));
    }
    void history(const Json::Value &, Json::Value &result)
    {
        result = valueOrThrow(actions_.history());
    }
    void burn(const Json::Value &, Json::Value &result) { result = valueOrThrow(actions_.burn()); }
    void compute(const Json::Value &, Json::Value &result)
    {
        result = valueOrThrow(actions_.compute());
    }
    void patches(const Json::Value &parameters, Json::Value &result)
    {
        const Json::Value &after = parameters["after"];
        result = valueOrThrow(actions_.patchesAfter(after.isUInt64() ? after.asUInt64() : 0));
    }

    OperatorActions actions_;
};

OperatorApi::OperatorApi(OperatorApiOptions options, OperatorActions actions)
    : options_(std::move(options))
    , rpc_(std::make_unique<Rpc>(std::move(actions)))
{
    for (std::size_t index = 0; index < WorkerThreads; ++index) {
        workers_.emplace_back([this] { processJobs(); });
    }
}

OperatorApi::~OperatorApi()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    for (std::thread &worker : workers_) {
        worker.join();
    }
}

bool OperatorApi::isAuthorised(const HttpRequest &request) const
{
    const auto header = findHeader(request.headers, "authorization");
    if (!header.has_value() || !header->starts_with(BearerPrefix)) {
        return false;
    }
    const std::string digest = sha256Hex(header->substr(BearerPrefix.size()));
    const bool isOperator = equalConstantTime(digest, options_.operatorKeySha256);
    const bool isPeer = equalConstantTime(digest, options_.peerKeySha256);
    return isOperator || isPeer;
}

void OperatorApi::handle(HttpRequest request, const std::shared_ptr<ResponseWriter> &writer)
{
    if (!isAuthorised(request)) {
        writer->respond(
            refusalResponse({ .kind = ErrorKind::Unauthorized,
                              .message = "the operator interface requires an operator or peer key",
                              .remedy = "Send 'Authorization: Bearer KEY' with the "
                                        "operators' key.",
                              .notRun = DispatchRecord {}.verdict() }));
        return;
    }
    if (request.path != "/rpc" || request.method != "POST") {
        writer->respond(
            refusalResponse({ .kind = ErrorKind::NotFound,
                              .message = "the operator interface accepts only POST /rpc",
                              .notRun = DispatchRecord {}.verdict() }));
        return;
    }
    if (request.bodyLoss != BodyLoss::None) {
        const bool tooLarge = request.bodyLoss == BodyLoss::TooLarge;
        writer->respond(refusalResponse(
            { .kind = tooLarge ? ErrorKind::PayloadTooLarge : ErrorKind::BodyMemoryFull,
              .remedy = tooLarge ? ""
                                 : "Send the request again after retry_after_ms, or raise "
                                   "limits.response_memory_bytes.",
              .notRun = DispatchRecord {}.verdict() }));
        return;
    }
    {
        const std::scoped_lock lock(mutex_);
        jobs_.push_back({ .request = std::move(request), .writer = writer });
    }
    wake_.notify_one();
}

void OperatorApi::processJobs()
{
    while (true) {
        Job job;
        {
            std::unique_lock lock(mutex_);
            wake_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
            if (jobs_.empty()) {
                return;
            }
            job = std::move(jobs_.front());
            jobs_.pop_front();
        }
        job.writer->respond({ .status = StatusOk,
                              .headers = { { "Content-Type", "application/json" } },
                              .body = rpc_->process(job.request.body) });
    }
}

} // namespace jacinthroad
