#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// The version of a model's weights; they start at 1 and rise.
using WeightsVersion = std::uint32_t;

/// One backend server as the list of servers describes it.
struct ListedServer
{
    ServerId id;
    ServiceId service;
    /// `IP:port`.
    std::string address;
    ZoneId zone;
    /// Requests that it processes at once.
    unsigned slots = 1;
    /// It has said that it leaves and takes no new work.
    bool leaving = false;
    /// How much longer it is slow after its start.
    Duration warmUpRemaining {};
    std::map<ModelId, WeightsVersion> models;
    /// Start of this boot, Unix milliseconds; a server may come back under its identifier.
    std::int64_t bootedAt = 0;
};

/// The newest weights that operators have named for a model.
struct DesiredWeights
{
    ModelId model;
    WeightsVersion version = 0;
};

} // namespace jacinthroad
