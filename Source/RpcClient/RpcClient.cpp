#include "RpcClient/RpcClient.h"

#include <memory>
#include <string_view>
#include <utility>

#include "Core/Json.h"
#include "Http/HttpClient.h"

namespace jacinthroad {

namespace {

/// Memory of the call. A response of the largest size grows into its place.
constexpr std::size_t MemoryBytes = 64 * 1024 * 1024;
constexpr int FirstSuccess = 200;
constexpr int FirstOther = 300;

std::string_view outcomeText(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Completed:
        return "completed";
    case CallOutcome::NotSent:
        return "could not connect";
    case CallOutcome::Interrupted:
        return "the response is incomplete, too long or no HTTP";
    case CallOutcome::TimedOut:
        return "no complete response in time";
    case CallOutcome::Cancelled:
        return "cancelled";
    }
    return {};
}

RpcReply failure(std::string_view problem)
{
    return { .received = false, .text = std::string(problem) };
}

RpcReply exchange(const RpcCall &call, const std::string &request)
{
    HttpClient client(std::make_shared<MemoryBudget>(MemoryBytes));
    HttpCallResult result = performCall(client,
                                        { .method = "POST",
                                          .url = call.url,
                                          .headers = { { "Authorization", "Bearer " + call.key },
                                                       { "Content-Type", "application/json" } },
                                          .body = request,
                                          .totalTimeout = call.timeout });
    const int status = result.response.status;
    if (result.outcome != CallOutcome::Completed) {
        return failure(outcomeText(result.outcome));
    }
    if (status < FirstSuccess || status >= FirstOther) {
        return failure("status " + std::to_string(status));
    }
    if (const auto values = estimateJsonMemory(result.response.body); !values.has_value()) {
        return failure(values.error().message);
    }
    return { .received = true, .text = std::move(result.response.body) };
}

} // namespace

RpcResponse callRpc(const RpcCall &call)
{
    return exchangeRpc(call.method, call.parameters,
                       [&](const std::string &request) { return exchange(call, request); });
}

} // namespace jacinthroad
