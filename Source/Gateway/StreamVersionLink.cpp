#include "Gateway/StreamVersionLink.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace jacinthroad {

namespace asio = boost::asio;

std::set<ServiceId> resumableServices(const FleetConfiguration &configuration)
{
    std::set<ServiceId> services;
    for (const Route &route : configuration.routes) {
        if (route.kind == RouteKind::Streaming && route.resumable) {
            for (const ServiceShare &share : route.services) {
                services.insert(share.service);
            }
        }
    }
    return services;
}

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
