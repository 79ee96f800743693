#pragma once

#include <string>

#include <json/value.h>

namespace jacinthroad {

/// A JSON-RPC 2.0 call over HTTP.
struct RpcCall
{
    std::string url;
    /// Key sent as the bearer token.
    std::string key;
    std::string method;
    Json::Value parameters;
    long timeoutMs;
};

/// The response to a call. This header must be valid C++14, since its implementation is compiled as
/// C++14.
struct RpcResponse
{
    bool failed;
    Json::Value result;
    int errorCode;
    std::string errorMessage;
    Json::Value errorData;
};

/// Makes a call with libjsonrpccpp and blocks until the response arrives or the call fails.
RpcResponse callRpc(const RpcCall &call);

} // namespace jacinthroad
