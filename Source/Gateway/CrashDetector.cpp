#include "Gateway/CrashDetector.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Core/Endpoint.h"
#include "Gateway/DeadlineTimer.h"
#include "Gateway/Pause.h"

namespace jacinthroad {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Time between a loss and the probe: a process that ends closes its connections and its listening
/// socket one after the other.
constexpr Duration ProbeDelay = milliseconds(10);
/// A connection that is not accepted within this time proves nothing.
constexpr Duration ProbeTimeout = milliseconds(300);
/// Maximum time that a retry waits for a probe, and the interval of the check.
constexpr Duration MaxProbeWait = milliseconds(120);
constexpr Duration ProbeWaitInterval = milliseconds(5);
/// Maximum time until it must be known whether a refusal tells of the server or of this node's
/// link.
constexpr Duration MaxRefusalWait = milliseconds(400);
/// How long the platform's list may explain a loss. The platform removes a silent server after
/// three of its heartbeats, and nodes read the list every two seconds at most.
constexpr Duration ExplanationTime = std::chrono::seconds(15);

} // namespace

CrashDetector::CrashDetector(asio::io_context &context)
    : context_(context)
{ }

void CrashDetector::noteLoss(const ListedServer &server, const LostRequest &loss)
{
    dropExpired(loss.lostAt);
    Suspicion &suspicion = suspicions_[server.id];
    suspicion.bootedAt = server.bootedAt;
    suspicion.losses.push_back(loss);
    if (!suspicion.probing) {
        suspicion.probing = true;
        asio::co_spawn(context_, probe(server.id, server.address), asio::detached);
    }
}

asio::awaitable<error_code> CrashDetector::tryToConnect(std::string address)
{
    co_await pauseFor(context_, ProbeDelay);
    error_code error = asio::error::invalid_argument;
    if (const auto endpoint = parseEndpoint(address)) {
        asio::ip::tcp::socket socket(context_);
        DeadlineTimer limit(context_);
        limit.expireAfter(ProbeTimeout, [&socket] {
            error_code ignored;
            socket.close(ignored);
        });
        co_await socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    }
    co_return error;
}

asio::awaitable<bool> CrashDetector::refusesConnections(std::string address)
{
    const error_code error = co_await tryToConnect(std::move(address));
    co_return error == asio::error::connection_refused;
}

asio::awaitable<bool> CrashDetector::refusedByServer(ServerId server)
{
    const Instant refusedAt = std::chrono::steady_clock::now();
    RefusalCause cause = causeOfRefusal(server, refusedAt);
    // Servers that failed before look like a lost link until another one accepts a connection.
    while (cause != RefusalCause::Server
           && std::chrono::steady_clock::now() < refusedAt + MaxRefusalWait) {
        co_await pauseFor(context_, ProbeWaitInterval);
        cause = causeOfRefusal(server, refusedAt);
    }
    co_return cause != RefusalCause::Link;
}

asio::awaitable<void> CrashDetector::probe(ServerId server, std::string address)
{
    for (;;) {
        // Only losses from before the attempt are decided by it.
        const Instant startedAt = std::chrono::steady_clock::now() + ProbeDelay;
        const error_code error = co_await tryToConnect(address);
        // Separate statements because g++ 12 miscompiles co_await inside a conditional operator.
        bool ended = error == asio::error::connection_refused;
        if (ended) {
            ended = co_await refusedByServer(server);
        }
        if (ended) {
            confirm(server);
        } else if (!error) {
            dropLosses(server, startedAt);
        }
        // The list may have explained the losses meanwhile.
        const auto found = suspicions_.find(server);
        if (found == suspicions_.end()) {
            co_return;
        }
        if (error) {
            found->second.probing = false;
            co_return;
        }
    }
}

asio::awaitable<void> CrashDetector::waitForProbe(ServerId server)
{
    const Instant until = std::chrono::steady_clock::now() + MaxProbeWait;
    for (;;) {
        const auto found = suspicions_.find(server);
        if (found == suspicions_.end() || !found->second.probing
            || std::chrono::steady_clock::now() >= until) {
            co_return;
        }
        co_await pauseFor(context_, ProbeWaitInterval);
    }
}

void CrashDetector::noteListed(const ListedServer &server)
{
    const auto found = suspicions_.find(server.id);
    if (found != suspicions_.end() && found->second.bootedAt != server.bootedAt) {
        confirm(server.id);
    }
}

void CrashDetector::noteRemoved(const ServerId &server)
{
    confirm(server);
}

void CrashDetector::confirm(const ServerId &server)
{
    const auto found = suspicions_.find(server);
    if (found == suspicions_.end()) {
        return;
    }
    const Suspicion suspicion = std::move(found->second);
    suspicions_.erase(found);
    for (const LostRequest &loss : suspicion.losses) {
        onCrash(server, loss);
    }
}

void CrashDetector::dropLosses(const ServerId &server, Instant until)
{
    const auto found = suspicions_.find(server);
    if (found == suspicions_.end()) {
        return;
    }
    std::erase_if(found->second.losses,
                  [&](const LostRequest &loss) { return loss.lostAt <= until; });
    if (found->second.losses.empty()) {
        suspicions_.erase(found);
    }
}

void CrashDetector::dropExpired(Instant now)
{
    for (auto entry = suspicions_.begin(); entry != suspicions_.end();) {
        std::erase_if(entry->second.losses,
                      [&](const LostRequest &loss) { return now - loss.lostAt > ExplanationTime; });
        const bool explained = entry->second.losses.empty() && !entry->second.probing;
        entry = explained ? suspicions_.erase(entry) : std::next(entry);
    }
}

} // namespace jacinthroad
