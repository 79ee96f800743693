#pragma once

#include <span>
#include <string>
#include <vector>

namespace jacinthroad {

/// A node as it has registered itself in the store.
struct FleetNode
{
    std::string name;
    /// Empty if the node names none, as older builds do.
    std::string zone;
    /// `IP:port` for digests.
    std::string address;
    /// Its link in Mbit/s; 0 if it names none.
    double linkMbps = 0;
    /// `IP:port` for forwarded requests; empty if the node takes none, as older builds do.
    std::string forwardingAddress {};

    friend bool operator==(const FleetNode &, const FleetNode &) = default;
};

/// Decides which nodes tell each other what. In a small fleet each tells all others. In a large one
/// the nodes of an availability zone tell each other, and for each other zone one of them sends the
/// sums of its zone to the nodes there, so that what a node sends and receives grows with its zone
/// and the number of zones, not with the fleet. Does no I/O.
class FleetTopology
{
public:
    FleetTopology() = default;
    FleetTopology(const std::string &self, const std::string &zone,
                  std::span<const FleetNode> nodes);

    /// True if the fleet is so large that nodes tell only their own zone everything.
    [[nodiscard]] bool zoned() const { return zoned_; }
    /// The nodes with which this one exchanges digests, without itself.
    [[nodiscard]] const std::vector<FleetNode> &neighbours() const { return neighbours_; }
    /// The nodes of other zones with which it exchanges none, in a large fleet.
    [[nodiscard]] const std::vector<FleetNode> &remote() const { return remote_; }
    /// The nodes to which this one sends the sums of its zone, if `live` are the names of the nodes
    /// of the zone that were heard from recently, this one included.
    [[nodiscard]] std::vector<FleetNode> summaryReceivers(std::span<const std::string> live) const;

private:
    std::string self_;
    std::string zone_;
    bool zoned_ = false;
    std::vector<FleetNode> neighbours_;
    /// The nodes of all other zones.
    std::vector<FleetNode> remote_;
};

} // namespace jacinthroad
