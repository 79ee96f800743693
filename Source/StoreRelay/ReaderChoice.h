#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Time.h"

namespace jacinthroad {

/// A node of the own availability zone that passes on objects of the store.
struct RelayNode
{
    std::string name;
    /// `IP:port` at which it passes them on.
    std::string address;
    /// Its link in Mbit/s; 0 if it names none, as older builds do.
    double linkMbps = 0;

    friend bool operator==(const RelayNode &, const RelayNode &) = default;
};

/// Decides from which node of its zone a node gets the objects of one kind, so that store calls
/// grow with the zones and not with the nodes. All nodes that reach each other choose the same one,
/// which reads the store: one with a wide link if there is one, as a reader sends a change to its
/// whole zone. A node only chooses nodes that rank above itself, so that no two nodes
/// wait for each other whatever each of them believes. Answers the load of a large fleet on the
/// store. Does no I/O; the time is passed in.
class ReaderChoice
{
public:
    struct Options
    {
        std::string self;
        /// Name of the kind of objects; different kinds have different readers.
        std::string kind;
        /// Link of this node in Mbit/s; 0 if it is not known.
        double linkMbps = 0;
        /// Number of nodes that are tried one after the other before this one reads the store.
        std::size_t maxTried = 2;
        /// Time for which a node that did not pass on current objects is not asked again; doubles
        /// with each further failure.
        Duration retryAfter = std::chrono::seconds(5);
        Duration maxRetryAfter = std::chrono::seconds(60);
    };

    explicit ReaderChoice(Options options);

    /// Sets the registered nodes of the own zone that pass on objects, this one included; none in
    /// a small fleet, where each node reads the store itself.
    void setZone(std::vector<RelayNode> nodes);
    /// Sets the names of the nodes that were heard from recently, this one included.
    void setLive(std::span<const std::string> names);
    /// Records that a node did not pass on current objects.
    void noteFailed(std::string_view name, Instant now);
    /// Records that a node passed on current objects.
    void noteUsable(std::string_view name);
    /// Returns the node to get the objects from; nothing if this node reads the store itself.
    [[nodiscard]] std::optional<RelayNode> reader(Instant now) const;

private:
    struct Failure
    {
        Instant at;
        Duration retryAfter {};
    };

    void rank();

    Options options_;
    std::vector<RelayNode> zone_;
    std::vector<std::string> live_;
    /// The live nodes of the zone that rank above this one, best first.
    std::vector<RelayNode> ranked_;
    std::map<std::string, Failure, std::less<>> failures_;
};

} // namespace jacinthroad
