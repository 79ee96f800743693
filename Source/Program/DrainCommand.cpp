#include <iostream>

#include "Core/Json.h"
#include "Program/Commands.h"
#include "Program/OperatorClient.h"

namespace jacinthroad {

ExitCode runDrain(const Arguments &arguments)
{
    CommandSyntax syntax { .usage = "jacinthroad drain [--node IP:PORT] [--key KEY]" };
    addOperatorOptions(syntax.options);
    const ParsedArguments parsed = parseArguments(std::move(syntax), arguments);
    if (parsed.exit.has_value()) {
        return *parsed.exit;
    }
    const auto response = callOperator(parsed.values, "drain");
    if (!response.has_value()) {
        printError(response.error());
        return ExitCode::Failed;
    }
    std::cout << (wantsJson(parsed.values)
                      ? writeJsonIndented(*response)
                      : "the node is draining; its process ends when all requests are complete\n");
    return ExitCode::Success;
}

} // namespace jacinthroad
