#include "Rollout/RolloutPlanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace jacinthroad {

RolloutPlanner::RolloutPlanner(const Options &options)
    : options_(options)
{ }

bool RolloutPlanner::hasOutdatedServers(std::span<const RolloutServer> servers,
                                        const std::map<ModelId, WeightsVersion> &desired)
{
    return std::any_of(servers.begin(), servers.end(), [&](const RolloutServer &server) {
        const auto target = desired.find(server.model);
        return !server.leaving && target != desired.end() && server.version < target->second;
    });
}

void RolloutPlanner::removeFinished(std::span<const RolloutServer> servers, Instant now)
{
    std::erase_if(progress_, [&](const auto &entry) {
        const Progress &progress = entry.second;
        const auto server
            = std::find_if(servers.begin(), servers.end(), [&](const RolloutServer &one) {
                  return one.id == entry.first && one.model == progress.model;
              });
        if (server == servers.end() || server->bootedAt != progress.bootedAt || server->leaving
            || server->version >= progress.target) {
            return true;
        }
        switch (progress.stage) {
        case Stage::Paused:
            return now - progress.since >= options_.rejectedOrderDelay;
        case Stage::Loading:
        case Stage::Ordered:
            return now - progress.since >= options_.loadTimeout;
        case Stage::Draining:
            break;
        }
        return false;
    });
}

std::vector<RolloutStep> RolloutPlanner::plan(std::span<const RolloutServer> servers,
                                              const std::map<ModelId, WeightsVersion> &desired,
                                              Instant now)
{
    removeFinished(servers, now);
    std::vector<RolloutStep> steps;
    for (const auto &[model, target] : desired) {
        planModel(model, target, servers, now, steps);
    }
    return steps;
}

void RolloutPlanner::planModel(const ModelId &model, WeightsVersion target,
                               std::span<const RolloutServer> servers, Instant now,
                               std::vector<RolloutStep> &steps)
{
    std::vector<const RolloutServer *> candidates;
    unsigned total = 0;
    unsigned loading = 0;
    unsigned draining = 0;
    for (const RolloutServer &server : servers) {
        if (server.model != model || server.leaving) {
            continue;
        }
        ++total;
        const auto progress = progress_.find(server.id);
        if (progress == progress_.end()) {
            if (server.version < target) {
                candidates.push_back(&server);
            }
        } else if (progress->second.stage == Stage::Draining) {
            ++draining;
        } else if (progress->second.stage != Stage::Paused) {
            ++loading;
        }
    }
    const auto maxLoading
        = static_cast<unsigned>(std::max(1.0, std::round(total * options_.concurrentLoadShare)));
    for (const RolloutServer &server : servers) {
        const auto progress = progress_.find(server.id);
        const bool due = server.model == model && progress != progress_.end()
            && progress->second.model == model && progress->second.stage == Stage::Draining
            && now - progress->second.since >= options_.drainTime && loading < maxLoading;
        if (due) {
            ++loading;
            --draining;
            progress->second.stage = Stage::Ordered;
            progress->second.since = now;
            progress->second.target = target;
            steps.push_back({ .action = RolloutStep::Action::Order,
                              .server = server.id,
                              .model = model,
                              .version = target });
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const RolloutServer *left, const RolloutServer *right) {
                  return std::tie(left->version, left->inFlight, left->id)
                      < std::tie(right->version, right->inFlight, right->id);
              });
    for (const RolloutServer *server : candidates) {
        if (loading + draining >= maxLoading + options_.drainAhead) {
            break;
        }
        ++draining;
        progress_[server->id] = { .stage = Stage::Draining,
                                  .model = model,
                                  .target = target,
                                  .bootedAt = server->bootedAt,
                                  .since = now };
        steps.push_back({ .action = RolloutStep::Action::Drain,
                          .server = server->id,
                          .model = model,
                          .version = target });
    }
}

void RolloutPlanner::noteOrderOutcome(const ServerId &server, OrderOutcome outcome, Instant now)
{
    const auto progress = progress_.find(server);
    if (progress == progress_.end()) {
        return;
    }
    const bool loads = outcome == OrderOutcome::Accepted || outcome == OrderOutcome::AlreadyLoaded;
    progress->second.stage = loads ? Stage::Loading : Stage::Paused;
    progress->second.since = now;
}

} // namespace jacinthroad
