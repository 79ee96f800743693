#include "StoreRelay/RelayCollector.h"

#include <iterator>
#include <utility>

namespace jacinthroad {

namespace {

/// What a transfer may take: a configuration of some megabytes in parts, from a node that passes it
/// on to all others of its zone at once over 10 Mbit/s.
constexpr PageLimits TransferPagesLimits { .bytes = std::size_t { 16 } * 1024 * 1024,
                                           .time = std::chrono::seconds(120) };

} // namespace

RelayCollector::RelayCollector(std::string object, std::shared_ptr<MemoryBudget> memory)
    : account_(std::move(object), "another node", std::move(memory), TransferPagesLimits)
{ }

Result<bool> RelayCollector::take(RelayedChanges page, Instant now)
{
    if (page.content == RelayContent::InStore) {
        return false;
    }
    if (!underWay()) {
        account_.begin(now);
    }
    const bool beginsAnew
        = page.content != RelayContent::Changes || page.position.source != position_.source;
    if (!beginsAnew && page.bytesLeft > 0 && page.position.sequence <= position_.sequence) {
        reset();
        return account_.fault("a page has no later position than the one before");
    }
    if (beginsAnew) {
        clear();
        replacesAll_ = page.content == RelayContent::All;
    }
    std::size_t bytes = 0;
    for (const platform::ObjectEvent &event : page.events) {
        bytes += platform::memoryOf(event.object);
    }
    const auto reserved = account_.add(bytes, now);
    if (!reserved.has_value()) {
        reset();
        return tl::make_unexpected(reserved.error());
    }
    position_ = page.position;
    ++pages_;
    bytesLeft_ = page.bytesLeft;
    events_.insert(events_.end(), std::make_move_iterator(page.events.begin()),
                   std::make_move_iterator(page.events.end()));
    return bytesLeft_ == 0;
}

void RelayCollector::clear()
{
    replacesAll_ = false;
    // clear() would keep its memory.
    std::vector<platform::ObjectEvent>().swap(events_);
    pages_ = 0;
    bytesLeft_ = 0;
    account_.release();
}

void RelayCollector::reset()
{
    clear();
    position_ = {};
}

} // namespace jacinthroad
