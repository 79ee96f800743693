#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "Core/PageAccount.h"
#include "StoreRelay/RelayMessage.h"

namespace jacinthroad {

/// Collects the pages of one other node until they add up to one state of its objects. Pages that
/// arrived stay when a connection is lost. Does no I/O; the time is passed in.
class RelayCollector
{
public:
    /// `object` names the objects in errors. What is kept of the pages is reserved from `memory`.
    RelayCollector(std::string object, std::shared_ptr<MemoryBudget> memory);

    /// Adds a page; returns true if the changes are complete. Fails with PlatformUnavailable if the
    /// pages take too much memory or time together, or don't advance; all are forgotten then.
    [[nodiscard]] Result<bool> take(RelayedChanges page, Instant now);
    /// True if some pages arrived and others are missing.
    [[nodiscard]] bool underWay() const { return bytesLeft_ > 0; }
    /// The position after the last page.
    [[nodiscard]] const RelayPosition &position() const { return position_; }
    /// True if the changes are all objects, which replace those from before.
    [[nodiscard]] bool replacesAll() const { return replacesAll_; }
    [[nodiscard]] const std::vector<platform::ObjectEvent> &events() const { return events_; }
    [[nodiscard]] std::size_t pages() const { return pages_; }
    [[nodiscard]] std::uint64_t bytesLeft() const { return bytesLeft_; }
    /// Forgets the changes, which were applied, and keeps the position.
    void clear();
    /// Forgets the position too, so that all objects are sent.
    void reset();

private:
    PageAccount account_;
    RelayPosition position_;
    bool replacesAll_ = false;
    std::vector<platform::ObjectEvent> events_;
    std::size_t pages_ = 0;
    std::uint64_t bytesLeft_ = 0;
};

} // namespace jacinthroad
