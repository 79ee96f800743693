#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// The version of a model's weights; starts at 1 and increases.
using WeightsVersion = std::uint32_t;

/// The version of a server's software; servers of several versions may serve one service.
using SoftwareVersion = std::string;

/// One start of a backend server's process.
struct ServerInstance
{
    ServerId id;
    /// Boot time in Unix milliseconds.
    std::int64_t bootedAt = 0;
    /// `IP:port`.
    std::string address;

    friend bool operator==(const ServerInstance &, const ServerInstance &) = default;
};

/// One backend server as listed by the platform.
struct ListedServer
{
    ServerId id;
    ServiceId service;
    /// `IP:port`.
    std::string address;
    ZoneId zone;
    /// Maximum number of concurrent requests.
    unsigned slots = 1;
    /// The server is shutting down and accepts no new requests.
    bool leaving = false;
    /// Remaining warm-up time after the start, during which the server is slow.
    Duration warmUpRemaining {};
    std::map<ModelId, WeightsVersion> models;
    /// Empty if the platform names none.
    SoftwareVersion softwareVersion;
    /// Boot time in Unix milliseconds; tells restarts under the same identifier apart.
    std::int64_t bootedAt = 0;

    [[nodiscard]] ServerInstance instance() const { return { id, bootedAt, address }; }
};

/// The weights version that operators want for a model.
struct DesiredWeights
{
    ModelId model;
    WeightsVersion version = 0;
};

} // namespace jacinthroad
