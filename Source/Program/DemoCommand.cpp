#include <iostream>

#include "Core/Log.h"
#include "Load/Demo.h"
#include "Program/Commands.h"

namespace jacinthroad {

namespace options = boost::program_options;

ExitCode runDemo(const Arguments &arguments)
{
    CommandSyntax syntax { .usage = "jacinthroad demo [--seconds N] [--seed N]" };
    syntax.options.add_options()("seconds", options::value<double>()->default_value(20),
                                 "duration of the traffic in seconds, at least 10");
    syntax.options.add_options()("seed", options::value<std::uint64_t>()->default_value(1),
                                 "seed of the traffic");
    const ParsedArguments parsed = parseArguments(std::move(syntax), arguments);
    if (parsed.exit.has_value()) {
        return *parsed.exit;
    }
    configureLog({ .minimumLevel = LogLevel::Error });
    const DemoResult result
        = Demo({ .seconds = std::max(10.0, parsed.values["seconds"].as<double>()),
                 .seed = parsed.values["seed"].as<std::uint64_t>() })
              .run([](const std::string &line) { std::cout << line << std::endl; });
    bool held = true;
    std::cout << "\npromise                                                       held  evidence\n";
    for (const GuaranteeResult &verdict : result.guarantees) {
        std::string promise = verdict.guarantee;
        promise.resize(62, ' ');
        std::cout << promise << (verdict.held ? "yes   " : "NO    ") << verdict.evidence << "\n";
        held = held && verdict.held;
    }
    std::cout << "\n" << result.summary << "\n";
    return held ? ExitCode::Success : ExitCode::Failed;
}

} // namespace jacinthroad
