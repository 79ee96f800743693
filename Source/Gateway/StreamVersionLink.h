#pragma once

#include <set>

#include <boost/asio/io_context.hpp>

#include "Fleet/FleetConfiguration.h"
#include "Gateway/StreamVersionGate.h"
#include "Gateway/StreamVersionSync.h"

namespace jacinthroad {

/// Returns the services whose streams can be resumed.
[[nodiscard]] std::set<ServiceId> resumableServices(const FleetConfiguration &configuration);

/// Passes what the traffic thread has to record or to decide on to the control thread, and the
/// decisions back.
void linkStreamVersions(boost::asio::io_context &trafficContext, StreamVersionGate &gate,
                        boost::asio::io_context &controlContext, StreamVersionSync &sync);

} // namespace jacinthroad
