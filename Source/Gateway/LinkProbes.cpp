#include "Gateway/LinkProbes.h"

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Core/Endpoint.h"
#include "Core/Log.h"
#include "Gateway/EventLoop.h"
#include "Gateway/RestartingTask.h"

namespace jacinthroad {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Time after which a probe is given up.
constexpr Duration ProbeTimeout = milliseconds(400);

/// Opens a connection to a server and closes it.
asio::awaitable<void> probe(TrafficState &state, ListedServer server)
{
    const auto endpoint = parseEndpoint(server.address);
    if (!endpoint.has_value()) {
        co_return;
    }
    asio::ip::tcp::socket socket(state.context);
    DeadlineTimer limit(state.context);
    limit.expireAfter(ProbeTimeout, [&socket] {
        error_code ignored;
        socket.close(ignored);
    });
    state.links.noteConnecting(server.id, std::chrono::steady_clock::now());
    error_code error;
    co_await socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    const Instant now = std::chrono::steady_clock::now();
    if (error) {
        state.noteConnectFailed(server.id, now);
    } else {
        state.noteConnected(server.id, now);
    }
}

} // namespace

LinkProbes::LinkProbes(TrafficState &state)
    : state_(state)
    , timer_(state.context)
{ }

void LinkProbes::start()
{
    timer_.expireAfter(LinkHealth::UpdateInterval,
                       [this] { runThen([this] { update(); }, [this] { start(); }); });
}

void LinkProbes::update()
{
    const Instant now = std::chrono::steady_clock::now();
    const std::vector<ServerId> linkProbes = state_.links.update(now);
    noteChange(now);
    std::set<ServerId> probes(linkProbes.begin(), linkProbes.end());
    for (const ServerId &id : state_.paths.probes(now)) {
        probes.insert(id);
    }
    for (const ServerId &id : probes) {
        if (const ListedServer *server = state_.pool.listed(id)) {
            asio::co_spawn(state_.context, probe(state_, *server), logFailure("link_probe"));
        }
    }
}

void LinkProbes::noteChange(Instant now)
{
    std::set<ServiceId> lost = state_.links.lostServices(now);
    bool changed = false;
    for (const ServiceId &service : lost) {
        if (lostAt_.try_emplace(service, now).second) {
            changed = true;
            logLine(
                LogLevel::Warning, "links_lost",
                { { "service", service.text() },
                  { "failed_servers", static_cast<std::int64_t>(state_.links.failedServers(now)) },
                  { "listed_servers", static_cast<std::int64_t>(state_.links.listedServers()) },
                  { "all_services", std::int64_t { state_.links.lost(now) ? 1 : 0 } },
                  { "reason", "no server of the service accepts connections of this node" },
                  { "remedy", "Check the network between this node and the backend servers." } });
        }
    }
    for (auto entry = lostAt_.begin(); entry != lostAt_.end();) {
        if (lost.contains(entry->first)) {
            ++entry;
            continue;
        }
        changed = true;
        logLine(LogLevel::Info, "links_restored",
                { { "service", entry->first.text() },
                  { "lost_ms", toMilliseconds(now - entry->second) } });
        entry = lostAt_.erase(entry);
    }
    if (changed) {
        state_.pool.setLostServices(std::move(lost));
        state_.notifyPeersSoon();
    }
}

} // namespace jacinthroad
