#include "StoreRelay/RelayCollector.h"

#include <iterator>
#include <utility>

namespace jacinthroad {

bool RelayCollector::take(RelayedChanges page)
{
    if (page.content == RelayContent::InStore) {
        return false;
    }
    if (page.content != RelayContent::Changes || page.position.source != position_.source) {
        clear();
        replacesAll_ = page.content == RelayContent::All;
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
    events_.clear();
    pages_ = 0;
    bytesLeft_ = 0;
}

void RelayCollector::reset()
{
    clear();
    position_ = {};
}

} // namespace jacinthroad
