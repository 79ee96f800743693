#include "FleetPeers/FreshnessExchange.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// Number of sent digests whose times are kept; covers several seconds even if every request
/// triggers a digest.
constexpr std::size_t MaximumSentDigests = 2000;
/// Echoes per digest; keeps the datagram close to the size of one packet.
constexpr std::size_t MaximumEchoes = 16;

} // namespace

FreshnessExchange::FreshnessExchange(Options options)
    : options_(std::move(options))
{ }

void FreshnessExchange::noteSent(std::uint64_t sequence, BootInstant now)
{
    sent_.emplace_back(sequence, now);
    if (sent_.size() > MaximumSentDigests) {
        sent_.pop_front();
    }
}

void FreshnessExchange::noteReceived(const NodeDigest &digest, Duration oldAfter)
{
    if (milliseconds(digest.configurationAgeMs) >= oldAfter
        && digest.configurationAgeMs != UnknownAgeMs) {
        pendingEchoes_[digest.node] = { digest.boot, digest.sequence };
    }
}

std::vector<DigestEcho> FreshnessExchange::takeEchoes()
{
    std::vector<DigestEcho> echoes;
    while (!pendingEchoes_.empty() && echoes.size() < MaximumEchoes) {
        const auto first = pendingEchoes_.begin();
        echoes.push_back({ .node = first->first,
                           .boot = first->second.first,
                           .sequence = first->second.second });
        pendingEchoes_.erase(first);
    }
    return echoes;
}

std::optional<BootInstant> FreshnessExchange::confirmedBy(const NodeDigest &digest,
                                                          std::uint64_t version,
                                                          std::uint64_t contentHash) const
{
    if (digest.configurationVersion != version || digest.configurationHash != contentHash
        || digest.configurationAgeMs == UnknownAgeMs) {
        return std::nullopt;
    }
    for (const DigestEcho &echo : digest.echoes) {
        if (echo.node != options_.self || echo.boot != options_.boot) {
            continue;
        }
        const auto sent = std::lower_bound(
            sent_.begin(), sent_.end(), echo.sequence,
            [](const auto &entry, std::uint64_t sequence) { return entry.first < sequence; });
        if (sent != sent_.end() && sent->first == echo.sequence) {
            return sent->second - milliseconds(digest.configurationAgeMs);
        }
    }
    return std::nullopt;
}

} // namespace jacinthroad
