#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "Core/Hashing.h"
#include "Core/Ids.h"
#include "Fleet/ListedServer.h"

namespace jacinthroad {

/// Identifies a stream by a hash of the request id of the attempt that brought its first event.
using StreamId = std::uint64_t;

/// Returns the identifier of the stream that the attempt with this request id began.
[[nodiscard]] inline StreamId streamId(std::string_view requestId)
{
    return hash64(requestId);
}

/// The server version that a stream was sent to.
struct StreamOrigin
{
    StreamId stream = 0;
    ServiceId service;
    SoftwareVersion version;

    friend bool operator==(const StreamOrigin &, const StreamOrigin &) = default;
};

using VersionSet = std::set<SoftwareVersion>;
/// Software versions by service.
using VersionTable = std::map<ServiceId, VersionSet>;

} // namespace jacinthroad
