#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// A node that may help a node that can't reach the backend servers.
struct ForwardPeer
{
    std::string name;
    std::string zone;
    /// `IP:port` for forwarded requests.
    std::string address;
    /// The node has reported lately that it reaches backend servers. Unknown for nodes that this
    /// one exchanges no digests with.
    bool reportsLinks = true;
};

/// How a forwarded request ended as far as it concerns the helping node.
enum class ForwardEnd : std::uint8_t {
    /// The node has dealt with the request, also by refusing it for what it is.
    Handled,
    /// The node can't help now, for this service at least.
    Declined,
    /// No connection to the node could be made, or it broke.
    Unreachable,
};

/// Counts one request as forwarded to a node while it exists.
using ForwardUse = std::shared_ptr<void>;

/// Chooses the node that a request is forwarded to: in the own availability zone if one there has
/// few forwarded requests of this node, otherwise anywhere; of two drawn at random the one with
/// fewer. This bounds the requests at one helping node, so that nodes without links share what it
/// can take. Does no I/O; the caller passes the time.
class ForwardChoice
{
public:
    struct Options
    {
        /// The node's own availability zone.
        std::string zone;
        /// Forwarded requests of this node in progress at one helping node, which also bounds the
        /// connections to it.
        unsigned maxInFlight = 256;
        /// Up to this number, a helping node of the own zone comes before those of other zones.
        unsigned zoneInFlight = 48;
        /// Time for which a node is left out for a service after it declined a request.
        Duration declinedPause = milliseconds(500);
        /// The same after a connection to it could not be made or broke.
        Duration unreachablePause = milliseconds(1000);
    };

    explicit ForwardChoice(Options options);

    /// Replaces the nodes that can help; what is known of their load stays.
    void setPeers(std::vector<ForwardPeer> peers);
    /// True if a node that could help is known, however busy.
    [[nodiscard]] bool hasPeers() const { return !peers_.empty(); }
    /// Returns the node to forward a request for a service to, or nothing if none can take it now.
    [[nodiscard]] std::optional<ForwardPeer> choose(const ServiceId &service,
                                                    std::span<const std::string> tried,
                                                    std::uint64_t seed, Instant now) const;
    /// Counts a request as forwarded to a node until the object returned is destroyed.
    [[nodiscard]] ForwardUse begin(const std::string &name);
    /// Records how a forwarded request for a service ended.
    void noteEnd(const std::string &name, const ServiceId &service, ForwardEnd end, Instant now);

private:
    struct Load
    {
        /// Shared with the requests, which may outlive this object.
        std::shared_ptr<unsigned> inFlight = std::make_shared<unsigned>(0);
        Instant avoidedUntil;
        /// A node may reach some services and not others.
        std::map<ServiceId, Instant> declinedUntil;

        [[nodiscard]] bool avoidedFor(const ServiceId &service, Instant now) const;
    };

    [[nodiscard]] unsigned inFlight(const std::string &name) const;

    Options options_;
    std::vector<ForwardPeer> peers_;
    std::unordered_map<std::string, Load> loads_;
};

} // namespace jacinthroad
