#pragma once

#include <map>

#include "Gateway/DeadlineTimer.h"
#include "Gateway/TrafficState.h"

namespace jacinthroad {

/// Updates the health of this node's links to the backend servers at a fixed interval, and opens
/// the connections by which it is examined. Used by the traffic thread only.
class LinkProbes
{
public:
    explicit LinkProbes(TrafficState &state);

    void start();

private:
    void update();
    /// Logs when the links were lost or regained.
    void noteChange(Instant now);

    TrafficState &state_;
    DeadlineTimer timer_;
    /// The services without links, and when they were found to be lost.
    std::map<ServiceId, Instant> lostAt_;
};

} // namespace jacinthroad
