#pragma once

#include <string>

#include <json/value.h>

namespace jacinthroad {

/// One JSON-RPC 2.0 call over HTTP.
struct RpcCall
{
    std::string url;
    /// Bearer key.
    std::string key;
    std::string method;
    Json::Value parameters;
    long timeoutMs;
};

/// The answer to a call. This header keeps to C++14, for the sake of its implementation.
struct RpcAnswer
{
    bool failed;
    Json::Value result;
    int errorCode;
    std::string errorMessage;
    Json::Value errorData;
};

/// Makes a call by libjsonrpccpp and waits for its answer.
RpcAnswer callRpc(const RpcCall &call);

} // namespace jacinthroad
