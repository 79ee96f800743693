#pragma once

#include "Core/Time.h"

namespace jacinthroad {

/// How a node that reads the store itself paces its calls.
struct ReadPacing
{
    /// How long a watch waits for a change.
    Duration wait {};
    /// Pause between two watches, in which changes are batched.
    Duration pause {};
};

/// What the pacing depends on.
struct ReadSituation
{
    /// False while no read proves the configuration, so that the first that does has to follow
    /// soon.
    bool proven = true;
    /// Other nodes of the zone get the objects from this one.
    bool passesOn = false;
    /// Age from which the configuration rejects no key for good.
    Duration staleAfter {};
};

/// Pacing for the configuration, whose reads renew the freshness that checks of keys depend on. A
/// read proves what was true when it was sent. So a node that passes the configuration on waits
/// for a shorter time, and responds to waiting nodes with each new proof. With a store that
/// responds, the configuration does not become stale between two proofs.
[[nodiscard]] ReadPacing configurationPacing(const ReadSituation &situation);

/// Pacing for the list of servers, which changes with each heartbeat. It determines how soon a
/// leaving server gets no new requests.
[[nodiscard]] ReadPacing serversPacing(const ReadSituation &situation);

/// Longest time for which a node that keeps this pacing goes without a new proof that its objects
/// are current, apart from the duration of a call.
[[nodiscard]] Duration relayAgeLimit(const ReadPacing &pacing);

/// How long a query of another node waits there for a change of the configuration or the servers.
/// Also determines how soon a node that does not respond is noticed.
constexpr Duration RelayedConfigurationWait = milliseconds(500);
constexpr Duration RelayedServersWait = milliseconds(700);
/// The same for objects that rarely change.
constexpr Duration RelayedRareWait = milliseconds(2000);

} // namespace jacinthroad
