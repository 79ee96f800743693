#include "Gateway/StoreSync.h"

#include <algorithm>
#include <utility>

#include "Core/Log.h"
#include "Gateway/Pause.h"
#include "Gateway/RestartingTask.h"

namespace jacinthroad {

namespace asio = boost::asio;
using platform::StoreStatus;

namespace {

/// The store normally responds within a few milliseconds, a slow one within a few hundred.
constexpr Duration CallTimeout = milliseconds(900);
/// Pause after a failed call; doubles with each further failure up to LongestPause.
constexpr Duration FirstPause = milliseconds(100);
constexpr Duration LongestPause = milliseconds(500);

/// Returns the last name on a page; empty if no object has one.
std::string lastName(const platform::ObjectPage &page)
{
    const auto found
        = std::find_if(page.objects.rbegin(), page.objects.rend(),
                       [](const platform::StoredObject &object) { return !object.name.empty(); });
    return found == page.objects.rend() ? std::string() : found->name;
}

} // namespace

StoreSync::StoreSync(asio::io_context &context, StoreClient &client, Options options,
                     ChangeHandler changeHandler, ConfirmationHandler confirmationHandler)
    : context_(context)
    , client_(client)
    , options_(std::move(options))
    , changeHandler_(std::move(changeHandler))
    , confirmationHandler_(std::move(confirmationHandler))
{ }

asio::awaitable<void> StoreSync::run()
{
    return runRestarting(context_, options_.name, [this] { return synchronise(); });
}

asio::awaitable<void> StoreSync::synchronise()
{
    // A change that the handler didn't complete is reported again.
    listed_ = false;
    for (;;) {
        bool done = false;
        // The response to another call may have told that the store was restored.
        listed_ = listed_ && era_ == client_.era();
        if (listed_) {
            done = co_await watch();
        } else {
            done = co_await list();
        }
        if (done) {
            failures_ = 0;
            if (options_.minimumPause > Duration::zero()) {
                co_await pauseFor(context_, options_.minimumPause);
            }
        } else {
            ++failures_;
            co_await pauseFor(context_, pauseAfterFailure());
        }
    }
}

asio::awaitable<bool> StoreSync::list()
{
    ObjectTable table;
    std::string after;
    std::uint64_t revision = 0;
    std::optional<std::uint64_t> era;
    BootInstant firstSent;
    for (bool more = true; more;) {
        const auto reply
            = co_await client_.call(platform::listCall(options_.kind, after), CallTimeout);
        if (!reply.has_value() || reply->status != StoreStatus::Done) {
            setReachable(false,
                         reply.has_value() ? "unexpected response status" : reply.error().message);
            co_return false;
        }
        const auto page = platform::readPage(reply->body);
        if (!page.has_value()) {
            setReachable(false, page.error().message);
            co_return false;
        }
        if (after.empty()) {
            firstSent = reply->sentAt;
            revision = page->revision;
            era = reply->era;
        } else if (reply->era != era) {
            co_return false;
        }
        for (const platform::StoredObject &object : page->objects) {
            if (!object.name.empty()) {
                table[object.name] = object;
            }
        }
        more = page->more && !page->objects.empty();
        if (more) {
            std::string next = lastName(*page);
            if (next.empty() || next == after) {
                setReachable(false, "no entry of a page has a name to continue the list after");
                co_return false;
            }
            after = std::move(next);
        }
    }
    setReachable(true, {});
    table_ = std::move(table);
    // The watch starts at the revision of the first page and reports later changes again.
    revision_ = revision;
    era_ = era;
    listed_ = true;
    changeHandler_(table_);
    confirmationHandler_(firstSent);
    co_return true;
}

asio::awaitable<bool> StoreSync::watch()
{
    const auto reply
        = co_await client_.call(platform::watchCall(options_.kind, revision_, options_.watchWait),
                                options_.watchWait + CallTimeout);
    if (reply.has_value() && (reply->status == StoreStatus::HistoryGone || reply->era != era_)) {
        listed_ = false;
        co_return true;
    }
    if (!reply.has_value() || reply->status != StoreStatus::Done) {
        setReachable(false,
                     reply.has_value() ? "unexpected response status" : reply.error().message);
        co_return false;
    }
    const auto changes = platform::readChanges(reply->body);
    if (!changes.has_value()) {
        setReachable(false, changes.error().message);
        listed_ = false;
        co_return false;
    }
    setReachable(true, {});
    bool allNamed = true;
    for (const platform::ObjectEvent &event : changes->events) {
        if (event.object.name.empty()) {
            allNamed = false;
        } else if (event.removed) {
            table_.erase(event.object.name);
        } else {
            table_[event.object.name] = event.object;
        }
    }
    revision_ = std::max(revision_, changes->revision);
    if (!changes->events.empty()) {
        changeHandler_(table_);
    }
    if (!allNamed) {
        // Any object may have changed.
        listed_ = false;
        co_return false;
    }
    confirmationHandler_(reply->sentAt);
    co_return true;
}

Duration StoreSync::pauseAfterFailure() const
{
    Duration wait = FirstPause;
    for (unsigned step = 1; step < failures_ && wait < LongestPause; ++step) {
        wait *= 2;
    }
    return std::min(wait, LongestPause);
}

void StoreSync::setReachable(bool reachable, std::string_view reason)
{
    if (reachable == reachable_) {
        return;
    }
    reachable_ = reachable;
    if (reachable) {
        logLine(LogLevel::Info, "store_regained", { { "objects", options_.name } });
        onRegained();
    } else {
        logLine(LogLevel::Warning, "store_lost",
                { { "objects", options_.name }, { "reason", reason } });
    }
}

} // namespace jacinthroad
