#pragma once

#include <memory>

#include "Core/Error.h"
#include "Gateway/GatewaySettings.h"

namespace jacinthroad {

/// One node that routes by host and path: a traffic thread with the edges and the placing, and a
/// control thread with the store and whatever needs more than this node.
class Gateway
{
public:
    /// Starts both threads; fails with InvalidSettings where an address cannot be used.
    [[nodiscard]] static Result<std::unique_ptr<Gateway>> start(const GatewaySettings &settings);

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    /// Takes changed bounds. Names and addresses stay until the process starts again.
    void reload(const GatewaySettings &settings);

    /// Stops gracefully: says at once that new connections are unwelcome, goes on serving until
    /// the balancer has left and requests have ended, at the latest shortly before the grace ends.
    /// Returns true where no request was cut.
    [[nodiscard]] bool drain();

private:
    struct Parts;

    explicit Gateway(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> parts_;
};

} // namespace jacinthroad
