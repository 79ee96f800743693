#include "Disturbance.h"

#include <algorithm>
#include <array>
#include <utility>

namespace jacinthroad {

namespace {

constexpr auto Names = std::to_array<std::pair<Disturbance, std::string_view>>({
    { Disturbance::BreakOff, "break-off" },
    { Disturbance::SecondResponse, "second-response" },
    { Disturbance::DeadlyPart, "deadly-part" },
    { Disturbance::DeadlyKey, "deadly-key" },
    { Disturbance::Statements, "statements" },
    { Disturbance::HeldConnections, "held-connections" },
    { Disturbance::Stop, "stop" },
    { Disturbance::Kill, "kill" },
    { Disturbance::EarlySignals, "early-signals" },
    { Disturbance::Pause, "pause" },
    { Disturbance::Reload, "reload" },
    { Disturbance::RestartAll, "restart-all" },
    { Disturbance::Configuration, "configuration" },
    { Disturbance::StoreRestore, "store-restore" },
    { Disturbance::SoftwareVersions, "software-versions" },
    { Disturbance::TakeUps, "take-ups" },
    { Disturbance::OddEntries, "odd-entries" },
    { Disturbance::LateRequests, "late-requests" },
    { Disturbance::SilentServers, "silent-servers" },
    { Disturbance::PausesBesideRejections, "pauses-beside-rejections" },
    { Disturbance::LinkCuts, "link-cuts" },
    { Disturbance::Upgrade, "upgrade" },
    { Disturbance::LogLimit, "log-limit" },
    { Disturbance::CacheEvents, "cache-events" },
    { Disturbance::FullServers, "full-servers" },
    { Disturbance::LogPipe, "log-pipe" },
    { Disturbance::EndlessResponses, "endless-responses" },
    { Disturbance::FullDisk, "full-disk" },
    { Disturbance::NewWeights, "new-weights" },
});

} // namespace

const Disturbances &allDisturbances()
{
    static const Disturbances All = [] {
        Disturbances all;
        for (const auto &[disturbance, name] : Names) {
            all.insert(disturbance);
        }
        return all;
    }();
    return All;
}

Disturbances usualDisturbances()
{
    Disturbances usual = allDisturbances();
    for (const Disturbance special :
         { Disturbance::LogLimit, Disturbance::CacheEvents, Disturbance::FullServers,
           Disturbance::LogPipe, Disturbance::FullDisk, Disturbance::EndlessResponses,
           Disturbance::NewWeights }) {
        usual.erase(special);
    }
    return usual;
}

std::string_view disturbanceName(Disturbance disturbance)
{
    const auto *found = std::find_if(Names.begin(), Names.end(),
                                     [&](const auto &entry) { return entry.first == disturbance; });
    return found == Names.end() ? std::string_view() : found->second;
}

std::optional<Disturbance> findDisturbance(std::string_view name)
{
    const auto *found = std::find_if(Names.begin(), Names.end(),
                                     [&](const auto &entry) { return entry.second == name; });
    return found == Names.end() ? std::nullopt : std::optional(found->first);
}

} // namespace jacinthroad
