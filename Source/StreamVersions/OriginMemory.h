#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "StreamVersions/StreamOrigin.h"

namespace jacinthroad {

/// Remembers the origins of streams that callers have resumed, up to a maximum number.
class OriginMemory
{
public:
    explicit OriginMemory(std::size_t maximum)
        : maximum_(maximum)
    { }

    /// Remembers an origin, and forgets the oldest if there are too many.
    void add(const StreamOrigin &origin);
    /// Returns the version that a stream of the service began at, if it is remembered.
    [[nodiscard]] std::optional<SoftwareVersion> find(StreamId stream,
                                                      const ServiceId &service) const;

private:
    std::size_t maximum_;
    std::unordered_map<StreamId, StreamOrigin> origins_;
    std::deque<StreamId> order_;
};

} // namespace jacinthroad
