#include "RpcClient/RpcProtocol.h"

#include <utility>

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>

namespace jacinthroad {

namespace {

class Connector : public jsonrpc::IClientConnector
{
public:
    explicit Connector(const RpcTransport &transport)
        : transport_(transport)
    { }

    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        RpcReply reply = transport_(message);
        if (!reply.received) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, reply.text);
        }
        result = std::move(reply.text);
    }

private:
    const RpcTransport &transport_;
};

} // namespace

RpcResponse exchangeRpc(const std::string &method, const Json::Value &parameters,
                        const RpcTransport &transport)
{
    RpcResponse response {};
    try {
        Connector connector(transport);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        response.result = client.CallMethod(method, parameters);
    } catch (const jsonrpc::JsonRpcException &exception) {
        response.failed = true;
        response.errorCode = exception.GetCode();
        response.errorMessage = exception.GetMessage();
        response.errorData = exception.GetData();
    } catch (const Json::Exception &exception) {
        response.failed = true;
        response.errorCode = jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
        response.errorMessage = exception.what();
    }
    return response;
}

} // namespace jacinthroad
