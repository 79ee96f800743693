#include <iostream>

#include "Core/Json.h"
#include "Core/Log.h"
#include "Load/Bounds.h"
#include "Load/Experiment.h"
#include "Load/Overhead.h"
#include "Load/PropertyRun.h"
#include "Program/Commands.h"
#include "Routing/Policy.h"

namespace jacinthroad {

namespace options = boost::program_options;

namespace {

using Values = options::variables_map;

Result<std::vector<std::string>> selectPolicies(const std::string &name)
{
    std::vector<std::string> all(policyNames().begin(), policyNames().end());
    if (name == "all") {
        return all;
    }
    if (!makePolicy(name).has_value()) {
        std::string known;
        for (const std::string &policy : all) {
            known += " " + policy;
        }
        return makeError(ErrorKind::InvalidRequest, "unknown policy '" + name + "'",
                         "Use all or one of:" + known + ".");
    }
    return std::vector<std::string> { name };
}

Result<ExperimentOptions> readExperimentOptions(const Values &values)
{
    const std::string name = values["profile"].as<std::string>();
    auto profile = findProfile(name);
    if (!profile.has_value()) {
        return makeError(ErrorKind::InvalidRequest, "unknown profile '" + name + "'",
                         "Use lienzo-andino or drenthe.");
    }
    if (values.count("recompute-price") != 0) {
        profile->recomputePriceMsPerToken = values["recompute-price"].as<double>();
    }
    const auto policies = selectPolicies(values["policy"].as<std::string>());
    if (!policies.has_value()) {
        return tl::make_unexpected(policies.error());
    }
    return ExperimentOptions {
        .profile = *profile,
        .seed = values["seed"].as<std::uint64_t>(),
        .policies = *policies,
        .seconds = values["seconds"].as<double>() / static_cast<double>(policies->size()),
        .timeScale = values["time-scale"].as<double>(),
        .nodes = values["nodes"].as<std::size_t>(),
        .demand = values["demand"].as<double>(),
        .slowServers = values["slow-servers"].as<std::size_t>(),
        .crashes = values["crashes"].as<std::size_t>(),
        .sampleOneIn = values["sample-one-in"].as<std::uint32_t>(),
    };
}

CommandSyntax loadSyntax()
{
    CommandSyntax syntax { .usage = "jacinthroad load --profile lienzo-andino|drenthe [options]" };
    auto add = syntax.options.add_options();
    add("profile", options::value<std::string>()->required(), "lienzo-andino or drenthe");
    add("seed", options::value<std::uint64_t>()->default_value(1), "seed of the requests");
    add("policy", options::value<std::string>()->default_value("all"),
        "name of a policy, or all to run each in turn");
    add("seconds", options::value<double>()->default_value(36),
        "total duration of all runs in seconds");
    add("time-scale", options::value<double>()->default_value(4),
        "speed of model time relative to real time");
    add("nodes", options::value<std::size_t>()->default_value(7), "number of entry nodes");
    add("demand", options::value<double>()->default_value(1),
        "demand as a multiple of the rated demand");
    add("slow-servers", options::value<std::size_t>()->default_value(0),
        "number of engines that become four times slower");
    add("crashes", options::value<std::size_t>()->default_value(0), "number of engines that crash");
    add("sample-one-in", options::value<std::uint32_t>()->default_value(16),
        "report one cached block in this many to peers; 0 reports none");
    add("recompute-price", options::value<double>(),
        "price of a recomputed token in ms; overrides the profile's");
    add("overhead",
        "compare one node with direct calls to the engine instead of measuring policies");
    add("property-runs", options::value<std::uint64_t>()->default_value(0),
        "number of property runs with random faults, with seeds from --seed on, instead of "
        "measuring policies");
    add("bounds", options::value<std::string>(),
        "file of bounds on the report; exit code 1 when one is violated");
    return syntax;
}

bool checkBounds(const Values &values, const Json::Value &report)
{
    if (values.count("bounds") == 0) {
        return true;
    }
    const auto text = readFile(values["bounds"].as<std::string>());
    const auto bounds = text.has_value() ? readBounds(*text) : tl::make_unexpected(text.error());
    if (!bounds.has_value()) {
        printError(bounds.error());
        return false;
    }
    const auto broken = violatedBounds(report, *bounds);
    for (const std::string &line : broken) {
        std::cerr << "bound violated: " << line << "\n";
    }
    return broken.empty();
}

ExitCode runProperties(std::uint64_t firstSeed, std::uint64_t runs)
{
    std::uint64_t violated = 0;
    OutcomeCounts total;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + runs; ++seed) {
        const PropertyRunResult result = runProperty({ .seed = seed });
        total.requests += result.counts.requests;
        total.bookings += result.counts.bookings;
        if (result.violations.empty()) {
            continue;
        }
        ++violated;
        std::cout << "violated: jacinthroad load --profile lienzo-andino --property-runs 1 --seed "
                  << seed << "\n  faults:";
        for (const std::string &fault : result.faults) {
            std::cout << " " << fault << ",";
        }
        for (const std::string &violation : result.violations) {
            std::cout << "\n  " << violation;
        }
        std::cout << std::endl;
    }
    std::cout << runs << " runs, " << total.requests << " requests, " << total.bookings
              << " bookings: " << violated << " runs violated a promise\n";
    return violated == 0 ? ExitCode::Success : ExitCode::Failed;
}

} // namespace

ExitCode runLoad(const Arguments &arguments)
{
    const ParsedArguments parsed = parseArguments(loadSyntax(), arguments);
    if (parsed.exit.has_value()) {
        return *parsed.exit;
    }
    const auto experiment = readExperimentOptions(parsed.values);
    if (!experiment.has_value()) {
        printError(experiment.error());
        return ExitCode::UsageError;
    }
    configureLog({ .minimumLevel = LogLevel::Error });
    if (parsed.values.count("overhead") != 0) {
        const auto overhead = measureOverhead();
        if (!overhead.has_value()) {
            printError(overhead.error());
            return ExitCode::Failed;
        }
        std::cout << overheadText(*overhead);
        return ExitCode::Success;
    }
    const auto propertyRuns = parsed.values["property-runs"].as<std::uint64_t>();
    if (propertyRuns > 0) {
        return runProperties(experiment->seed, propertyRuns);
    }
    const auto report = runExperiment(
        *experiment, [](const std::string &line) { std::cerr << line << std::endl; });
    if (!report.has_value()) {
        printError(report.error());
        return ExitCode::Failed;
    }
    const Json::Value json = reportJson(*report);
    std::cout << (wantsJson(parsed.values) ? writeJsonIndented(json) : reportText(*report));
    return checkBounds(parsed.values, json) ? ExitCode::Success : ExitCode::Failed;
}

} // namespace jacinthroad
