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
    const auto answer = callOperator(parsed.values, "drain");
    if (!answer.has_value()) {
        printError(answer.error());
        return ExitCode::Failed;
    }
    std::cout << (wantsJson(parsed.values)
                      ? writeJsonIndented(*answer)
                      : "the node drains; its process ends when every request is answered\n");
    return ExitCode::Done;
}

} // namespace jacinthroad
