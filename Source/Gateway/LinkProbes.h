#pragma once

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

    TrafficState &state_;
    DeadlineTimer timer_;
};

} // namespace jacinthroad
