#include "Placement/ForwardChoice.h"

#include <algorithm>
#include <utility>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

/// Separates the two draws of one request.
constexpr std::uint64_t SecondDraw = 1;

} // namespace

ForwardChoice::ForwardChoice(Options options)
    : options_(std::move(options))
{ }

void ForwardChoice::setPeers(std::vector<ForwardPeer> peers)
{
    peers_ = std::move(peers);
    std::erase_if(loads_, [this](const auto &entry) {
        return *entry.second.inFlight == 0
            && std::none_of(peers_.begin(), peers_.end(),
                            [&](const ForwardPeer &peer) { return peer.name == entry.first; });
    });
}

bool ForwardChoice::Load::avoidedFor(const ServiceId &service, Instant now) const
{
    const auto declined = declinedUntil.find(service);
    return now < avoidedUntil || (declined != declinedUntil.end() && now < declined->second);
}

unsigned ForwardChoice::inFlight(const std::string &name) const
{
    const auto load = loads_.find(name);
    return load != loads_.end() ? *load->second.inFlight : 0;
}

std::optional<ForwardPeer> ForwardChoice::choose(const ServiceId &service,
                                                 std::span<const std::string> tried,
                                                 std::uint64_t seed, Instant now) const
{
    std::vector<const ForwardPeer *> near;
    std::vector<const ForwardPeer *> reporting;
    std::vector<const ForwardPeer *> others;
    for (const ForwardPeer &peer : peers_) {
        const auto load = loads_.find(peer.name);
        const bool avoided = load != loads_.end() && load->second.avoidedFor(service, now);
        const unsigned busy = inFlight(peer.name);
        if (avoided || busy >= options_.maxInFlight
            || std::find(tried.begin(), tried.end(), peer.name) != tried.end()) {
            continue;
        }
        others.push_back(&peer);
        if (peer.reportsLinks) {
            reporting.push_back(&peer);
            if (peer.zone == options_.zone && busy < options_.zoneInFlight) {
                near.push_back(&peer);
            }
        }
    }
    const auto &candidates = !near.empty() ? near : !reporting.empty() ? reporting : others;
    if (candidates.empty()) {
        return std::nullopt;
    }
    const ForwardPeer *first = candidates[mix64(seed, 0) % candidates.size()];
    const ForwardPeer *second = candidates[mix64(seed, SecondDraw) % candidates.size()];
    return inFlight(second->name) < inFlight(first->name) ? *second : *first;
}

ForwardUse ForwardChoice::begin(const std::string &name)
{
    const std::shared_ptr<unsigned> count = loads_[name].inFlight;
    ++*count;
    return { nullptr, [count](void *) { --*count; } };
}

void ForwardChoice::noteEnd(const std::string &name, const ServiceId &service, ForwardEnd end,
                            Instant now)
{
    Load &load = loads_[name];
    switch (end) {
    case ForwardEnd::Handled:
        break;
    case ForwardEnd::Declined:
        load.declinedUntil[service] = now + options_.declinedPause;
        break;
    case ForwardEnd::Unreachable:
        load.avoidedUntil = std::max(load.avoidedUntil, now + options_.unreachablePause);
        break;
    }
}

} // namespace jacinthroad
