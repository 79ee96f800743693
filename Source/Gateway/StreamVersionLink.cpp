#include "Gateway/StreamVersionLink.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace jacinthroad {

namespace asio = boost::asio;

void linkStreamVersions(asio::io_context &trafficContext, StreamVersionGate &gate,
                        asio::io_context &controlContext, StreamVersionSync &sync)
{
    gate.record = [&controlContext, &sync](std::vector<StreamOrigin> origins) {
        asio::post(controlContext, [&sync, origins = std::move(origins)]() mutable {
            sync.record(std::move(origins));
        });
    };
    gate.resolve = [&trafficContext, &controlContext,
                    &sync](StreamId stream, const ServiceId &service,
                           std::function<void(ResumeDecision)> decided) {
        asio::post(controlContext,
                   [&trafficContext, &sync, stream, service, decided = std::move(decided)] {
                       sync.resolve(stream, service,
                                    [&trafficContext, decided](const ResumeDecision &decision) {
                                        asio::post(trafficContext,
                                                   [decided, decision] { decided(decision); });
                                    });
                   });
    };
}

} // namespace jacinthroad
