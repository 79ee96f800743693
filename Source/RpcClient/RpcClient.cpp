#include "RpcClient/RpcClient.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace jacinthroad {

RpcAnswer callRpc(const RpcCall &call)
{
    RpcAnswer answer {};
    try {
        jsonrpc::HttpClient connector(call.url);
        connector.SetTimeout(call.timeoutMs);
        connector.AddHeader("Authorization", "Bearer " + call.key);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        answer.result = client.CallMethod(call.method, call.parameters);
    } catch (const jsonrpc::JsonRpcException &failure) {
        answer.failed = true;
        answer.errorCode = failure.GetCode();
        answer.errorMessage = failure.GetMessage();
        answer.errorData = failure.GetData();
    }
    return answer;
}

} // namespace jacinthroad
