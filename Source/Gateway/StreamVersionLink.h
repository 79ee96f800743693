#pragma once

#include <boost/asio/io_context.hpp>

#include "Gateway/StreamVersionGate.h"
#include "Gateway/StreamVersionSync.h"

namespace jacinthroad {

/// Passes what the traffic thread has to record or to decide on to the control thread, and the
/// decisions back.
void linkStreamVersions(boost::asio::io_context &trafficContext, StreamVersionGate &gate,
                        boost::asio::io_context &controlContext, StreamVersionSync &sync);

} // namespace jacinthroad
