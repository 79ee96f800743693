#include "Program/OperatorClient.h"

#include <cstdlib>

#include "RpcClient/RpcClient.h"

namespace jacinthroad {

namespace options = boost::program_options;

namespace {

constexpr Duration CallTimeout = std::chrono::seconds(15);

std::string operatorKey(const options::variables_map &values)
{
    if (values.count("key") != 0) {
        return values["key"].as<std::string>();
    }
    const char *key = std::getenv("JACINTHROAD_OPERATOR_KEY");
    return key == nullptr ? "" : key;
}

ErrorKind errorKindFromCode(int code)
{
    constexpr int FirstErrorCode = -32000;
    const int index = FirstErrorCode - code;
    const bool known = index >= 0 && index < static_cast<int>(errorResponses().size());
    return known ? static_cast<ErrorKind>(index) : ErrorKind::Internal;
}

} // namespace

void addOperatorOptions(options::options_description &description)
{
    description.add_options()("node",
                              options::value<std::string>()->default_value("127.0.0.1:8081"),
                              "IP:port of a node's operator interface");
    description.add_options()("key", options::value<std::string>(),
                              "operators' key; by default JACINTHROAD_OPERATOR_KEY");
}

Result<Json::Value> callOperator(const options::variables_map &values, const std::string &method,
                                 const Json::Value &parameters)
{
    return callOperatorAt("http://" + values["node"].as<std::string>(), values, method, parameters);
}

Result<Json::Value> callOperatorAt(const std::string &url, const options::variables_map &values,
                                   const std::string &method, const Json::Value &parameters)
{
    const RpcResponse answer = callRpc({ .url = url + "/rpc",
                                         .key = operatorKey(values),
                                         .method = method,
                                         .parameters = parameters,
                                         .timeout = CallTimeout });
    if (!answer.failed) {
        return answer.result;
    }
    if (answer.errorData.isObject() && answer.errorData["remedy"].isString()) {
        return makeError(errorKindFromCode(answer.errorCode), answer.errorMessage,
                         answer.errorData["remedy"].asString());
    }
    return makeError(ErrorKind::Internal,
                     "node " + url.substr(url.rfind('/') + 1) + " did not respond to " + method
                         + ": " + answer.errorMessage,
                     "Check --node and --key, and that the node is running.");
}

} // namespace jacinthroad
