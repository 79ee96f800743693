#pragma once

#include <cstdint>

#include "Core/Time.h"

namespace jacinthroad {

/// Options of ServerHealth.
struct ServerHealthOptions
{
    /// Consecutive failures after which a server is ejected.
    unsigned failuresToEject = 2;
    Duration firstEjection = std::chrono::seconds(1);
    Duration longestEjection = std::chrono::seconds(30);
    /// Time in which an unconfirmed slowdown decays halfway to 1.
    Duration slowdownHalfLife = std::chrono::seconds(5);
};

/// The health of a backend server as one node sees it: a circuit breaker with half-open probes, and
/// a slowdown factor. The factor is based on token gaps that the node measures itself, because the
/// server's own report arrives much later.
class ServerHealth
{
public:
    enum class State : std::uint8_t { Serving, Ejected, HalfOpen };

    explicit ServerHealth(ServerHealthOptions options);

    /// Records a success; a half-open server returns to serving.
    void noteSuccess();
    /// Records a failure that is attributed to the server.
    void noteFailure(Instant now);
    /// Records that a half-open probe was sent, so that no second one is sent meanwhile.
    void noteProbeSent() { probing_ = true; }
    /// Records a mean gap between tokens as a multiple of the fleet's usual gap.
    void noteRelativeGap(double ratio, Instant now);

    /// Returns the state at `now`; a server whose ejection has expired is half-open.
    [[nodiscard]] State state(Instant now) const;
    /// Returns true if a request may be sent.
    [[nodiscard]] bool available(Instant now) const;
    /// Returns the factor by which the server is slower than usual; at least 1.
    [[nodiscard]] double slowdown(Instant now) const;

private:
    ServerHealthOptions options_;
    unsigned failures_ = 0;
    unsigned ejections_ = 0;
    bool ejected_ = false;
    bool probing_ = false;
    Instant ejectedUntil_;
    double slowdown_ = 1;
    Instant slowdownAt_;
};

} // namespace jacinthroad
