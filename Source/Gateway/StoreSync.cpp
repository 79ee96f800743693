#include "Gateway/StoreSync.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

#include "Core/Log.h"
#include "Core/PageAccount.h"
#include "Gateway/BootClock.h"
#include "Gateway/ConfigurationSlices.h"
#include "Gateway/Pause.h"
#include "Gateway/RestartingTask.h"
#include "platform/ConfigurationSplitter.h"
#include "platform/StoreObjects.h"

namespace jacinthroad {

namespace asio = boost::asio;
using platform::StoreStatus;

namespace {

/// The store normally responds within a few milliseconds, a slow one within a few hundred.
constexpr Duration CallTimeout = milliseconds(900);
/// Pause after a failed call; doubles with each further failure up to LongestPause.
constexpr Duration FirstPause = milliseconds(100);
constexpr Duration LongestPause = milliseconds(500);
/// What a list may take; a page of it has about 500 objects or one megabyte.
constexpr PageLimits ListLimits { .bytes = std::size_t { 16 } * 1024 * 1024,
                                  .time = std::chrono::seconds(120) };

/// Returns the last name on a page; empty if no object has one.
std::string lastName(const platform::ObjectPage &page)
{
    const auto found
        = std::find_if(page.objects.rbegin(), page.objects.rend(),
                       [](const platform::StoredObject &object) { return !object.name.empty(); });
    return found == page.objects.rend() ? std::string() : found->name;
}

/// Returns about the memory in bytes that the objects of a page take.
std::size_t memoryOf(const platform::ObjectPage &page)
{
    return std::accumulate(page.objects.begin(), page.objects.end(), std::size_t { 0 },
                           [](std::size_t sum, const platform::StoredObject &object) {
                               return sum + platform::memoryOf(object);
                           });
}

} // namespace

StoreSync::StoreSync(asio::io_context &context, StoreClient &client, Options options,
                     ChangeHandler changeHandler, ConfirmationHandler confirmationHandler)
    : context_(context)
    , client_(client)
    , options_(std::move(options))
    , changeHandler_(std::move(changeHandler))
    , confirmationHandler_(std::move(confirmationHandler))
    , readerChoice_({ .self = options_.node,
                      .kind = std::string(relayKindName(options_.kind)),
                      .linkMbps = options_.linkMbps })
    , relayLog_({ .kind = options_.kind, .source = options_.boot })
    , follower_(context, client.memory(),
                { .kind = options_.kind, .name = options_.name, .wait = options_.relayWait })
{ }

asio::awaitable<void> StoreSync::run()
{
    return runRestarting(context_, options_.name, [this] { return synchronise(); });
}

asio::awaitable<void> StoreSync::synchronise()
{
    // A change that the handler didn't complete is reported again.
    listed_ = false;
    onRelayExpected(0);
    for (;;) {
        bool done = false;
        // The response to another call may have told that the store was restored.
        listed_ = listed_ && era_ == client_.era();
        const auto reader = readerChoice_.reader(std::chrono::steady_clock::now());
        if (reader.has_value()) {
            if (!co_await follow(*reader)) {
                readerChoice_.noteFailed(reader->name, std::chrono::steady_clock::now());
            }
            continue;
        }
        if (follower_.collector().underWay()) {
            // Its pages would keep their memory until there is a reader again.
            follower_.collector().reset();
        }
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
    PageAccount account("list of '" + options_.name + "'", "the store", client_.memory(),
                        ListLimits);
    account.begin(std::chrono::steady_clock::now());
    // The store states no order of names; it must not return to one that it has passed.
    std::set<std::string> continuations;
    for (bool more = true; more;) {
        const auto reply = co_await client_.call(platform::listCall(options_.kind, after),
                                                 readLimits(CallTimeout));
        if (!reply.has_value() || reply->status != StoreStatus::Done) {
            setReachable(false,
                         reply.has_value() ? "unexpected response status" : reply.error().message);
            co_return false;
        }
        auto page = platform::readPage(reply->body, platform::specForm(options_.kind));
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
        const std::string last = lastName(*page);
        const auto added
            = account.add(memoryOf(*page) + last.size(), std::chrono::steady_clock::now());
        if (!added.has_value()) {
            refuseList(added.error());
            co_return false;
        }
        for (platform::StoredObject &object : page->objects) {
            if (!object.name.empty()) {
                co_await put(table, std::move(object));
            }
        }
        more = page->more && !page->objects.empty();
        if (more) {
            if (last.empty()) {
                setReachable(false, "no entry of a page has a name to continue the list after");
                co_return false;
            }
            if (!continuations.insert(last).second) {
                refuseList(account.fault("a page ends with the name of an earlier one").value());
                co_return false;
            }
            after = last;
        }
    }
    setReachable(true, {});
    if (era != client_.era()) {
        // The store was restored while a configuration was split.
        co_return true;
    }
    table_ = std::move(table);
    // The watch starts at the revision of the first page and reports later changes again.
    revision_ = revision;
    era_ = era;
    listed_ = true;
    reportChange();
    reportConfirmation(firstSent);
    co_return true;
}

void StoreSync::refuseList(const Error &error)
{
    logLine(LogLevel::Warning, "list_refused",
            { { "object", options_.name },
              { "reason", error.message },
              { "remedy", error.remedyText() + " The former copy stays in use." } });
    setReachable(false, error.message);
}

asio::awaitable<bool> StoreSync::watch()
{
    TransferProgress progress;
    progress.onSizeKnown = [this, &progress] { onRelayExpected(progress.ofBytes); };
    const auto reply
        = co_await client_.call(platform::watchCall(options_.kind, revision_, options_.watchWait),
                                readLimits(options_.watchWait + CallTimeout), &progress);
    onRelayExpected(0);
    if (reply.has_value() && (reply->status == StoreStatus::HistoryGone || reply->era != era_)) {
        listed_ = false;
        co_return true;
    }
    if (!reply.has_value() || reply->status != StoreStatus::Done) {
        setReachable(false,
                     reply.has_value() ? "unexpected response status" : reply.error().message);
        co_return false;
    }
    auto changes = platform::readChanges(reply->body, platform::specForm(options_.kind));
    if (!changes.has_value()) {
        setReachable(false, changes.error().message);
        listed_ = false;
        co_return false;
    }
    setReachable(true, {});
    const bool allNamed = std::none_of(
        changes->events.begin(), changes->events.end(),
        [](const platform::ObjectEvent &event) { return event.object.name.empty(); });
    for (platform::ObjectEvent &event : changes->events) {
        if (event.object.name.empty()) {
            continue;
        }
        if (event.removed) {
            remove(event.object.name);
        } else {
            co_await put(table_, std::move(event.object));
        }
    }
    if (era_ != client_.era()) {
        // The store was restored while a configuration was split.
        listed_ = false;
        co_return true;
    }
    revision_ = std::max(revision_, changes->revision);
    if (!changes->events.empty()) {
        reportChange();
    }
    if (!allNamed) {
        // Any object may have changed.
        listed_ = false;
        co_return false;
    }
    reportConfirmation(reply->sentAt);
    co_return true;
}

void StoreSync::remove(const std::string &name)
{
    if (options_.kind != platform::ObjectKind::Configuration) {
        table_.erase(name);
    } else if (name == platform::configurationName()) {
        table_.clear();
    }
}

asio::awaitable<void> StoreSync::put(ObjectTable &table, platform::StoredObject object)
{
    if (options_.kind != platform::ObjectKind::Configuration) {
        std::string name = object.name;
        table.insert_or_assign(std::move(name), std::move(object));
        co_return;
    }
    if (object.name != platform::configurationName()) {
        co_return;
    }
    platform::ConfigurationSplitter splitter(std::move(object));
    while (!splitter.splitSome(SplitSliceBytes)) {
        co_await pauseFor(context_, SlicePause);
    }
    table = splitter.takeTable();
}

asio::awaitable<bool> StoreSync::follow(RelayNode reader)
{
    const bool sameEra = era_ == client_.era();
    const auto reply = co_await follower_.ask(reader,
                                              { .digest = listed_ && sameEra ? tableDigest_ : 0,
                                                .maxAge = relayedAgeLimit(),
                                                .onlyHere = onlyFromReader_ });
    if (!reply.has_value()) {
        co_return follower_.mayGoOn();
    }
    if (reply->content == RelayContent::InStore) {
        co_await readInStore(reply->position);
        co_return true;
    }
    if (!applyRelayed(*reply)) {
        // After a change of the reader, the new one may be behind for a moment.
        if (confirmedAt_.has_value() && bootNow() - *confirmedAt_ <= relayedAgeLimit()) {
            co_await pauseFor(context_, FirstPause);
            co_return true;
        }
        logLine(LogLevel::Info, "relay_behind",
                { { "objects", options_.name },
                  { "node", reader.name },
                  { "age_ms", toMilliseconds(reply->age) } });
        co_return false;
    }
    failures_ = 0;
    readerChoice_.noteUsable(reader.name);
    co_return true;
}

asio::awaitable<void> StoreSync::readInStore(RelayPosition position)
{
    const bool again = toldToReadAt_ == position;
    toldToReadAt_ = position;
    if (again) {
        onlyFromReader_ = true;
        co_return;
    }
    const bool done = co_await list();
    onlyFromReader_ = !done;
}

bool StoreSync::applyRelayed(const RelayFollower::Reply &reply)
{
    if (!client_.adoptEra(reply.era)) {
        follower_.collector().reset();
        return false;
    }
    if (!reply.complete) {
        return true;
    }
    if (reply.age > relayedAgeLimit()) {
        return false;
    }
    const bool sameEra = era_ == client_.era();
    const bool replacesAll = follower_.collector().replacesAll();
    if (!replacesAll && (!listed_ || !sameEra)) {
        // These changes belong to a table that this node does not have any more.
        follower_.collector().reset();
        return true;
    }
    if (reply.content != RelayContent::Same) {
        if (sameEra && reply.revision < revision_) {
            return false;
        }
        const bool first = !listed_;
        if (replacesAll) {
            table_.clear();
        }
        const bool changed = first || replacesAll || !follower_.collector().events().empty();
        applyEvents(follower_.collector().events());
        revision_ = reply.revision;
        era_ = client_.era();
        if (changed) {
            tableDigest_ = objectsDigest(table_, era_);
        }
        if (!replacesAll && tableDigest_ != reply.digest) {
            // The changes follow objects that this node has replaced by those of the store.
            listed_ = false;
            follower_.collector().reset();
            return true;
        }
        listed_ = true;
        if (changed) {
            reportChange();
        }
    }
    revision_ = std::max(revision_, reply.revision);
    follower_.collector().clear();
    onlyFromReader_ = false;
    toldToReadAt_.reset();
    reportConfirmation(reply.sentAt - reply.age);
    return true;
}

void StoreSync::applyEvents(const std::vector<platform::ObjectEvent> &events)
{
    for (const platform::ObjectEvent &event : events) {
        if (event.object.name.empty()) {
            continue;
        }
        if (event.removed) {
            table_.erase(event.object.name);
        } else {
            table_[event.object.name] = event.object;
        }
    }
}

void StoreSync::reportChange()
{
    tableDigest_ = objectsDigest(table_, era_);
    if (relayLog_.applyTable(table_, revision_, era_)) {
        onRelayChange();
    }
    changeHandler_(table_);
}

void StoreSync::reportConfirmation(BootInstant moment)
{
    relayLog_.confirm(moment, revision_);
    const bool later = !confirmedAt_.has_value() || moment > *confirmedAt_;
    confirmedAt_ = std::max(confirmedAt_.value_or(moment), moment);
    if (later) {
        onRelayConfirmed();
    }
    confirmationHandler_(moment);
}

Duration StoreSync::relayedAgeLimit() const
{
    // All nodes of a fleet pace their calls alike, so this node's pacing is that of its reader.
    return relayAgeLimit({ .wait = options_.watchWait, .pause = options_.minimumPause })
        + CallTimeout;
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
