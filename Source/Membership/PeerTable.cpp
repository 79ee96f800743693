#include "Membership/PeerTable.h"

#include <set>
#include <utility>

namespace jacinthroad {

PeerTable::PeerTable(NodeId self, PeerTableOptions options)
    : self_(std::move(self))
    , options_(options)
{ }

bool PeerTable::acceptDatagram(const PeerIdentity &identity, std::uint64_t sequence, Instant now)
{
    if (identity.node == self_ || identity.node.empty()) {
        return false;
    }
    const auto found = peers_.find(identity.node);
    if (found != peers_.end()) {
        const Peer &known = found->second;
        const bool older = identity.incarnation < known.identity.incarnation;
        const bool replayed
            = identity.incarnation == known.identity.incarnation && sequence <= known.lastSequence;
        if (older || replayed) {
            return false;
        }
    }
    peers_[identity.node]
        = { .identity = identity, .lastReceivedAt = now, .lastSequence = sequence };
    return true;
}

void PeerTable::addAddress(const std::string &address)
{
    addresses_.try_emplace(address, true);
}

std::vector<NodeId> PeerTable::removeSilentPeers(Instant now)
{
    std::vector<NodeId> removed;
    for (const auto &[id, peer] : peers_) {
        if (now - peer.lastReceivedAt > options_.removeAfter) {
            removed.push_back(id);
        }
    }
    for (const NodeId &id : removed) {
        peers_.erase(id);
    }
    return removed;
}

PeerState PeerTable::state(const Peer &peer, Instant now) const
{
    if (peer.identity.leaving) {
        return PeerState::Leaving;
    }
    return now - peer.lastReceivedAt > options_.suspectAfter ? PeerState::Suspect
                                                             : PeerState::Alive;
}

std::size_t PeerTable::liveNodes(Instant now) const
{
    std::size_t count = 1;
    for (const auto &[id, peer] : peers_) {
        count += state(peer, now) == PeerState::Alive ? 1 : 0;
    }
    return count;
}

std::vector<std::string> PeerTable::targets() const
{
    std::set<std::string> result;
    for (const auto &[address, known] : addresses_) {
        result.insert(address);
    }
    for (const auto &[id, peer] : peers_) {
        result.insert(peer.identity.address);
    }
    return { result.begin(), result.end() };
}

std::optional<PeerIdentity> PeerTable::peerWithNewerConfiguration(std::uint64_t version,
                                                                  Instant now) const
{
    std::optional<PeerIdentity> newest;
    for (const auto &[id, peer] : peers_) {
        const std::uint64_t offered = peer.identity.configurationVersion;
        const bool recentlyReceived = now - peer.lastReceivedAt <= options_.suspectAfter;
        if (recentlyReceived && offered > version
            && (!newest.has_value() || offered > newest->configurationVersion)) {
            newest = peer.identity;
        }
    }
    return newest;
}

} // namespace jacinthroad
