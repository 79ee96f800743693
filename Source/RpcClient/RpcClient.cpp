#include "RpcClient/RpcClient.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace jacinthroad {

RpcResponse callRpc(const RpcCall &call)
{
    RpcResponse response {};
    try {
        jsonrpc::HttpClient connector(call.url);
        connector.SetTimeout(call.timeoutMs);
        connector.AddHeader("Authorization", "Bearer " + call.key);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        response.result = client.CallMethod(call.method, call.parameters);
    } catch (const jsonrpc::JsonRpcException &exception) {
        response.failed = true;
        response.errorCode = exception.GetCode();
        response.errorMessage = exception.GetMessage();
        response.errorData = exception.GetData();
    }
    return response;
}

} // namespace jacinthroad
