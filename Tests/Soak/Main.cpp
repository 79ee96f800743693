#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>

#include <boost/program_options.hpp>

#include "SoakRun.h"

namespace options = boost::program_options;

namespace {

std::string disturbanceNames()
{
    std::string names;
    for (const jacinthroad::Disturbance disturbance : jacinthroad::allDisturbances()) {
        names += (names.empty() ? "" : ", ");
        names += jacinthroad::disturbanceName(disturbance);
    }
    return names;
}

/// The rates that a text with commas lists; unset unless they are valid.
std::optional<jacinthroad::SoakRates> parseRates(const std::string &text)
{
    jacinthroad::SoakRates rates {};
    std::istringstream stream(text + ",");
    char comma = 0;
    for (double &rate : rates) {
        if (!(stream >> rate >> comma) || comma != ',' || rate < 0) {
            return std::nullopt;
        }
    }
    const bool ended = stream.peek() == std::istringstream::traits_type::eof();
    const bool any = std::any_of(rates.begin(), rates.end(), [](double rate) { return rate > 0; });
    return ended && any ? std::optional(rates) : std::nullopt;
}

void print(const jacinthroad::SoakReport &report)
{
    std::cout << report.requests << " requests, " << report.served << " served, "
              << report.closedNotRun << " closed and not run (" << report.closedPastIdleLimit
              << " on connections past their idle limit); " << report.brokenOff
              << " runs broken off, " << report.serverCrashes << " server crashes; " << report.stops
              << " stops, " << report.kills << " kills, " << report.pauses << " pauses, "
              << report.reloads << " reloads, " << report.earlySignals << " early signals, "
              << report.commonRestarts << " restarts with all nodes, " << report.configurations
              << " configurations; deadly part: " << report.deadlyPart.crashes << " crashes, "
              << report.deadlyPart.lateArrivals << " late arrivals ("
              << report.deadlyPart.lateArrivalsFromCalmNodes << " from calm nodes), "
              << report.deadlyPart.relatedServed << " of " << report.deadlyPart.related
              << " related requests served; deadly key: " << report.deadlyKey.crashes
              << " crashes, " << report.deadlyKey.lateArrivals << " late arrivals ("
              << report.deadlyKey.lateArrivalsFromCalmNodes << " from calm nodes); "
              << report.storeRestores << " restores; responses of servers that leave "
              << report.statements.leaving << ", with a pause " << report.statements.pauses
              << ", with a limit " << report.statements.limits << "; " << report.silences
              << " silent servers, " << report.pausesBesideRejections
              << " pauses beside rejections, " << report.linkCuts
              << " cuts of a node's links (served " << report.withoutLinks.cutServed << " of "
              << report.withoutLinks.cut << " without links, " << report.withoutLinks.otherServed
              << " of " << report.withoutLinks.other << " with links), " << report.oddEntries
              << " odd entries, " << report.logLimits << " log limits, " << report.releases
              << " releases, " << report.streamVersions.joined << " streams of several versions, "
              << report.streamVersions.takeUps << " take-ups ("
              << report.streamVersions.judgedWentOn << " of " << report.streamVersions.judgedTakeUps
              << " judged went on, " << report.streamVersions.newStreamsBegun << " of "
              << report.streamVersions.newStreams << " new streams began); ";
    for (const auto &[build, figures] : report.builds) {
        std::cout << figures.requests << " requests at the " << jacinthroad::buildName(build)
                  << " build (" << figures.served << " served, " << figures.helped
                  << " forwarded to it, " << figures.runsAfterEnd
                  << " runs after their connection's end); ";
    }
    if (!report.builds.empty()) {
        std::cout << report.replacements << " replacements, " << report.storeCalls
                  << " store calls; ";
    }
    if (report.logStandstills > 0) {
        std::cout << report.logStandstills << " standstills of a log's reader; ";
    }
    if (report.cacheReads > 0) {
        std::cout << report.cacheReads << " calls for cache events, " << report.cacheFetches
                  << " fetches from caches, " << report.cacheSaves << " saves to the cache store; ";
    }
    if (report.endlessResponses > 0) {
        std::cout << report.endlessResponses << " responses without end in " << report.endlessForms
                  << " forms, " << report.endlessRequests << " requests without end; ";
    }
    if (report.largestMb > 0) {
        std::cout << "largest resident size with unread bytes " << report.largestMb << " MB; ";
    }
    if (report.longestStop > jacinthroad::Duration::zero()) {
        std::cout << "nodes kept from running for up to "
                  << jacinthroad::toMilliseconds(report.longestStop) << " ms; ";
    }
    std::cout << report.violations.size() << " violations\n";
    std::map<std::string, unsigned> checks;
    for (const jacinthroad::Violation &violation : report.violations) {
        ++checks[violation.check];
    }
    for (const auto &[check, count] : checks) {
        std::cout << "  " << check << ": " << count << "\n";
    }
    for (const jacinthroad::Violation &violation : report.violations) {
        std::cout << "  " << violation.check << ": " << violation.text << "\n";
    }
    std::cout.flush();
}

} // namespace

int main(int count, char **arguments)
{
    jacinthroad::SoakOptions soak;
    std::uint64_t firstSeed = 1;
    unsigned seeds = 1;
    double seconds = 15;
    std::vector<std::string> without;
    options::options_description syntax(
        "GatewaySoak: faults at gateway processes and backend servers under callers on open "
        "connections");
    syntax.add_options()("help", "prints this help");
    syntax.add_options()("program", options::value(&soak.program)->required(),
                         "path of the jacinthroad program");
    syntax.add_options()("earlier-program", options::value(&soak.earlierProgram),
                         "path of an earlier build of the program, which nodes begin with");
    syntax.add_options()("earlier-without", options::value(&soak.withoutSettings)->composing(),
                         "setting that the earlier build refuses, such as listen.forwarding; may "
                         "be repeated");
    syntax.add_options()("folder", options::value(&soak.folder)->required(),
                         "folder for settings files and logs");
    syntax.add_options()("seed", options::value(&firstSeed), "first seed");
    syntax.add_options()("seeds", options::value(&seeds), "number of runs, each with its own seed");
    syntax.add_options()("seconds", options::value(&seconds), "time with faults in each run");
    syntax.add_options()("nodes", options::value(&soak.nodes), "number of node processes");
    syntax.add_options()("clients", options::value(&soak.clients), "number of callers");
    syntax.add_options()(
        "without", options::value(&without)->composing(),
        ("disturbance to leave out; may be repeated: " + disturbanceNames()).c_str());
    std::vector<std::string> only;
    syntax.add_options()("only", options::value(&only)->composing(),
                         "disturbance to keep while all others are left out; may be repeated");
    std::vector<std::string> with;
    syntax.add_options()("with", options::value(&with)->composing(),
                         "disturbance to add to the usual ones; may be repeated: log-limit, "
                         "cache-events, full-servers, log-pipe, full-disk");
    double grace = 0;
    syntax.add_options()("grace", options::value(&grace), "grace period of every stop in seconds");
    std::string zones;
    syntax.add_options()("zones", options::value(&zones),
                         "number of nodes in each zone, separated by commas");
    syntax.add_options()("memory-mb", options::value(&soak.memoryMb),
                         "memory of each node, which ends a node that takes more");
    syntax.add_options()("descriptors", options::value(&soak.descriptors),
                         "limit of each node's open descriptors");
    syntax.add_options()("processor-share", options::value(&soak.processorShare),
                         "part of a core that each node has in each tenth of a second");
    std::string rates;
    syntax.add_options()("rates", options::value(&rates),
                         "requests a second on the routes safe, unsafe, events, once and "
                         "resumable, separated by commas; servers work on them for longer");
    double callerDelayMs = 0;
    syntax.add_options()("caller-delay-ms", options::value(&callerDelayMs),
                         "time between callers and nodes, in each direction");
    std::string bodies;
    syntax.add_options()("bodies", options::value(&bodies),
                         "'site' gives streams prompts of 18 kB in the mean and up to 110 kB, and "
                         "responses of up to 52 or 213 pieces; needs --rates");
    std::vector<std::string> known;
    syntax.add_options()(
        "known", options::value(&known)->composing(),
        "check whose violations are printed and don't fail a run; may be repeated");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(count, arguments, syntax), values);
        if (values.count("help") > 0) {
            std::cout << syntax;
            return 0;
        }
        options::notify(values);
    } catch (const options::error &fault) {
        std::cerr << "GatewaySoak: " << fault.what() << "; see --help\n";
        return 2;
    }
    const auto named = [](const std::vector<std::string> &names) {
        jacinthroad::Disturbances found;
        for (const std::string &name : names) {
            const auto disturbance = jacinthroad::findDisturbance(name);
            if (!disturbance.has_value()) {
                std::cerr << "GatewaySoak: no disturbance '" << name << "'; see --help\n";
                std::exit(2);
            }
            found.insert(*disturbance);
        }
        return found;
    };
    if (!only.empty()) {
        soak.disturbances = named(only);
    }
    soak.disturbances.merge(named(with));
    for (const jacinthroad::Disturbance disturbance : named(without)) {
        soak.disturbances.erase(disturbance);
    }
    if (values.count("grace") > 0) {
        soak.stopGrace = jacinthroad::fromMilliseconds(grace * 1000);
    }
    std::istringstream zoneStream(zones);
    for (std::string nodes; std::getline(zoneStream, nodes, ',');) {
        soak.zones.push_back(static_cast<unsigned>(std::strtoul(nodes.c_str(), nullptr, 10)));
    }
    if (std::count(soak.zones.begin(), soak.zones.end(), 0U) > 0) {
        std::cerr << "GatewaySoak: --zones '" << zones
                  << "' is not a list of numbers above 0; see --help\n";
        return 2;
    }
    if (soak.processorShare <= 0 || soak.processorShare > 1) {
        std::cerr << "GatewaySoak: --processor-share is not above 0 and at most 1; see --help\n";
        return 2;
    }
    if (!rates.empty()) {
        soak.rates = parseRates(rates);
        if (!soak.rates.has_value()) {
            std::cerr << "GatewaySoak: --rates '" << rates
                      << "' is not five numbers from 0 on, one of them above 0; see --help\n";
            return 2;
        }
    }
    soak.callerDelay = jacinthroad::fromMilliseconds(callerDelayMs);
    soak.longBodies = bodies == "site";
    if (!bodies.empty() && (!soak.longBodies || !soak.rates.has_value())) {
        std::cerr << "GatewaySoak: --bodies '" << bodies
                  << "' is not 'site' with --rates; see --help\n";
        return 2;
    }
    soak.faultTime = jacinthroad::fromMilliseconds(seconds * 1000);
    const std::string folder = soak.folder;
    unsigned failedRuns = 0;
    for (unsigned number = 0; number < seeds; ++number) {
        soak.seed = firstSeed + number;
        soak.folder = folder + "/seed-" + std::to_string(soak.seed);
        const jacinthroad::SoakReport report = jacinthroad::runSoak(soak);
        std::cout << "seed " << soak.seed << ": ";
        print(report);
        const bool failed = std::any_of(
            report.violations.begin(), report.violations.end(), [&](const auto &violation) {
                return std::find(known.begin(), known.end(), violation.check) == known.end();
            });
        failedRuns += failed ? 1 : 0;
    }
    std::cout << seeds << " runs, " << failedRuns << " with violations\n";
    return failedRuns == 0 ? 0 : 1;
}
