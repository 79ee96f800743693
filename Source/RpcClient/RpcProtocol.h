#pragma once

#include <functional>
#include <string>

#include <json/value.h>

namespace jacinthroad {

/// The response to a JSON-RPC 2.0 call. This header must be valid C++14, since its implementation
/// is compiled as C++14.
struct RpcResponse
{
    bool failed;
    Json::Value result;
    int errorCode;
    std::string errorMessage;
    Json::Value errorData;
};

/// What a server sent back for a request, or why there is nothing.
struct RpcReply
{
    bool received;
    std::string text;
};

/// Sends a request and returns the reply to it.
using RpcTransport = std::function<RpcReply(const std::string &request)>;

/// Makes a call with libjsonrpccpp. The transport bounds the size of a reply and the number and
/// nesting of its values.
RpcResponse exchangeRpc(const std::string &method, const Json::Value &parameters,
                        const RpcTransport &transport);

} // namespace jacinthroad
