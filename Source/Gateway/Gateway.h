#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

#include "Core/Error.h"
#include "Core/Time.h"
#include "Gateway/GatewaySettings.h"

namespace jacinthroad {

/// One node that routes by host and path. A traffic thread serves callers and selects servers; a
/// control thread handles the store and all tasks that involve other nodes.
class Gateway
{
public:
    /// Starts both threads; fails with InvalidSettings if an address cannot be used.
    [[nodiscard]] static Result<std::unique_ptr<Gateway>> start(const GatewaySettings &settings);

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    /// Applies changed limits. Changes of names and addresses need a restart of the process.
    void reload(const GatewaySettings &settings);

    /// Stops gracefully: reports not ready at once, then keeps serving until the balancer has
    /// stopped sending connections and requests have ended, at the latest until shortly before the
    /// end of the grace period, which began at `signalled`. Closes idle connections of callers once
    /// the balancer has moved them away, and rejects new ones after that. Returns true if no
    /// request was aborted.
    [[nodiscard]] bool drain(Instant signalled = std::chrono::steady_clock::now());

    /// Number of requests that were read and whose session ended without an end of theirs.
    [[nodiscard]] std::uint64_t requestsDropped() const;

private:
    struct Parts;

    explicit Gateway(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> parts_;
};

} // namespace jacinthroad
