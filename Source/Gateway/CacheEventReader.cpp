#include "Gateway/CacheEventReader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Gateway/ControlClient.h"
#include "Gateway/Pause.h"
#include "Gateway/RestartingTask.h"
#include "platform/CacheEvents.h"

namespace jacinthroad {

namespace asio = boost::asio;

namespace {

/// How long the server may hold a call open until events arrive.
constexpr Duration EventsWait = milliseconds(800);
constexpr Duration EventsTimeout = milliseconds(1500);
/// Pause between two calls. Events are batched during it, so that a busy server does not cause a
/// call for each one.
constexpr Duration EventsPause = milliseconds(100);
/// Pause after a failed call.
constexpr Duration FailedPause = milliseconds(600);

CacheEvents translate(const platform::CacheEventBatch &batch, bool restarted)
{
    CacheEvents events { .restarted = restarted };
    for (const platform::CacheEvent &event : batch.events) {
        const std::uint64_t key = partKey(event.model, event.salt, event.part);
        if (event.grown) {
            events.stored.push_back({ .key = key, .tokens = event.tokens });
            std::erase(events.removed, key);
        } else {
            events.removed.push_back(key);
            std::erase_if(events.stored, [&](const CachedPart &part) { return part.key == key; });
        }
    }
    return events;
}

} // namespace

CacheEventReader::CacheEventReader(asio::io_context &context, std::shared_ptr<MemoryBudget> memory,
                                   EventHandler eventHandler)
    : context_(context)
    , memory_(std::move(memory))
    , eventHandler_(std::move(eventHandler))
{ }

void CacheEventReader::assign(const std::map<ServerId, std::string> &addresses)
{
    std::erase_if(sources_, [&](const auto &entry) {
        const auto found = addresses.find(entry.first);
        const bool unchanged = found != addresses.end() && found->second == entry.second->address;
        entry.second->active = unchanged;
        return !unchanged;
    });
    for (const auto &[id, address] : addresses) {
        if (!sources_.contains(id)) {
            auto source = std::make_shared<Source>(Source { .address = address });
            sources_[id] = source;
            asio::co_spawn(context_,
                           runRestarting(context_, "cache_events",
                                         [this, id = id, source] { return read(id, source); }),
                           asio::detached);
        }
    }
}

asio::awaitable<void> CacheEventReader::read(ServerId id, std::shared_ptr<Source> source)
{
    // Events are numbered: a batch that arrives again is fetched and applied once more.
    ControlClient caller(context_, source->address, ConnectionUse::Kept, memory_,
                         BodyKind::Response, MaxServerResponseBytes);
    boost::beast::http::fields headers;
    platform::setCacheEventsWait(headers, EventsWait);
    std::uint64_t since = 0;
    std::uint64_t boot = 0;
    while (source->active) {
        Duration pause = FailedPause;
        const auto reply = co_await caller.call(platform::cacheEventsCall(since), headers,
                                                readLimits(EventsTimeout));
        if (reply.has_value() && reply->status == 200) {
            const auto batch = platform::readCacheEvents(reply->body);
            if (batch.has_value()) {
                const bool restarted = boot != 0 && batch->boot != boot;
                boot = batch->boot;
                since = batch->next;
                eventHandler_(id, translate(*batch, restarted), reply->memory);
                pause = EventsPause;
            }
        }
        co_await pauseFor(context_, pause);
    }
}

} // namespace jacinthroad
