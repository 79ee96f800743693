#pragma once

#include <string>

#include <json/value.h>

#include "Core/Time.h"
#include "RpcClient/RpcProtocol.h"

namespace jacinthroad {

/// A JSON-RPC 2.0 call over HTTP.
struct RpcCall
{
    std::string url;
    /// Key sent as the bearer token.
    std::string key;
    std::string method;
    Json::Value parameters;
    Duration timeout;
};

/// Makes a call and blocks until the response arrives or the call fails, as with a response that
/// exceeds 16 MB or what estimateJsonMemory() accepts.
[[nodiscard]] RpcResponse callRpc(const RpcCall &call);

} // namespace jacinthroad
