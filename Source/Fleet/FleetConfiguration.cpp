#include "Fleet/FleetConfiguration.h"

#include <utility>

namespace jacinthroad {

namespace {

template <typename Part> std::vector<std::shared_ptr<const Part>> shareAll(std::vector<Part> parts)
{
    std::vector<std::shared_ptr<const Part>> sharedParts;
    sharedParts.reserve(parts.size());
    for (Part &part : parts) {
        sharedParts.push_back(std::make_shared<const Part>(std::move(part)));
    }
    return sharedParts;
}

} // namespace

SharedConfiguration share(FleetConfiguration configuration)
{
    return { .version = configuration.version,
             .routes = shareAll(std::move(configuration.routes)),
             .services = std::move(configuration.services),
             .teams = shareAll(std::move(configuration.teams)),
             .keysRequired = configuration.keysRequired,
             .limits = configuration.limits };
}

} // namespace jacinthroad
