#pragma once

#include <cstdint>

#include "Core/Time.h"

namespace jacinthroad {

/// Settings of ServerHealth.
struct ServerHealthOptions
{
    /// Failures in a row after which a server is ejected.
    unsigned failuresToEject = 2;
    Duration firstEjection = std::chrono::seconds(1);
    Duration longestEjection = std::chrono::seconds(30);
    /// A slowdown that nothing confirms halves its distance to normal in this time.
    Duration slowdownHalfLife = std::chrono::seconds(5);
};

/// What one node knows of one backend server's ability to serve: a circuit breaker with
/// half-open probes, and a slowdown factor from token gaps that the node sees itself, long
/// before the server's own lagged report would tell.
class ServerHealth
{
public:
    enum class State : std::uint8_t { Serving, Ejected, HalfOpen };

    explicit ServerHealth(ServerHealthOptions options);

    /// Takes a success; a half-open server serves again.
    void noteSuccess();
    /// Takes a failure that was the server's.
    void noteFailure(Instant now);
    /// Notes that a half-open probe was sent, so that only one is under way.
    void noteProbeSent() { probing_ = true; }
    /// Takes a mean gap between tokens as a multiple of the fleet's usual one.
    void noteRelativeGap(double ratio, Instant now);

    /// The state at `now`; an ejection that has run out is half-open.
    [[nodiscard]] State state(Instant now) const;
    /// True when a request may be sent.
    [[nodiscard]] bool available(Instant now) const;
    /// How many times slower than usual the server is; 1 when it is as usual.
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
