#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Core/Ids.h"
#include "Core/Time.h"
#include "Fleet/ListedServer.h"
#include "Placement/LinkHealth.h"
#include "Quarantine/Quarantine.h"

namespace jacinthroad {

/// What several requests share and may crash servers: a part of their prompts, or for a plain
/// service the route, the team and the API key.
struct SharedPart
{
    /// Hash under which nodes count crashes.
    RequestFingerprint fingerprint = 0;
    /// Identifier of the part, or the names of the group; for the log.
    std::string name;
    /// Position in the prompt, from 1 on, or the depth of the group.
    std::uint8_t depth = 1;
};

/// A request whose connection the server ended before its response was complete.
struct LostRequest
{
    RequestFingerprint fingerprint = 0;
    /// The parts that may have crashed the server; none if it had been responding for some time.
    std::vector<SharedPart> suspectParts;
    Instant sentAt;
    Instant lostAt;
};

/// Finds out whether a lost request met the end of the server's process. Servers also reset
/// connections and break off responses while they live, so a loss counts as a crash only if the
/// server's address then refuses a connection while this node has links to other servers, or if the
/// platform lists another boot of the server or no longer lists it. Used by the traffic thread
/// only.
class CrashDetector
{
public:
    explicit CrashDetector(boost::asio::io_context &context);

    /// Called for each loss that was caused by a crash.
    std::function<void(const ServerId &, const LostRequest &)> onCrash
        = [](const ServerId &, const LostRequest &) {};

    /// Returns what it tells that a server refused a connection at a moment; asked again for a
    /// while unless it tells of the server.
    std::function<RefusalCause(const ServerId &, Instant refusedAt)> causeOfRefusal
        = [](const ServerId &, Instant) { return RefusalCause::Server; };

    /// Examines a loss. `server` is the entry that the platform listed when the request was sent.
    void noteLoss(const ListedServer &server, const LostRequest &loss);
    /// Returns whether a server refuses connections at `address` after it has closed one: its
    /// process has ended. A connection that times out proves nothing.
    [[nodiscard]] boost::asio::awaitable<bool> refusesConnections(std::string address);
    /// Applies an entry of the platform's list.
    void noteListed(const ListedServer &server);
    /// Records that the platform no longer lists a server.
    void noteRemoved(const ServerId &server);
    /// Waits until the probe of a server has ended. The wait is bounded.
    [[nodiscard]] boost::asio::awaitable<void> waitForProbe(ServerId server);

private:
    /// The losses at one server that are not explained yet.
    struct Suspicion
    {
        std::int64_t bootedAt = 0;
        std::vector<LostRequest> losses;
        bool probing = false;
    };

    /// Opens a connection after a delay and closes it; returns why that failed.
    [[nodiscard]] boost::asio::awaitable<boost::system::error_code>
    tryToConnect(std::string address);
    /// Returns whether a refused connection tells that the server's process has ended.
    [[nodiscard]] boost::asio::awaitable<bool> refusedByServer(ServerId server);
    /// Tries to connect to the server's address and decides on its losses.
    [[nodiscard]] boost::asio::awaitable<void> probe(ServerId server, std::string address);
    void confirm(const ServerId &server);
    void dropLosses(const ServerId &server, Instant until);
    void dropExpired(Instant now);

    boost::asio::io_context &context_;
    std::unordered_map<ServerId, Suspicion> suspicions_;
};

} // namespace jacinthroad
