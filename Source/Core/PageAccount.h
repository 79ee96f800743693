#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "Core/Error.h"
#include "Core/MemoryBudget.h"
#include "Core/Time.h"

namespace jacinthroad {

/// What all pages together may take that are read one after the other until the last one.
struct PageLimits
{
    /// Memory in bytes of what is kept of them.
    std::size_t bytes = 0;
    /// Time from begin() to the last page.
    Duration time {};
};

/// The account of a reader whose pages are bounded each, but not their number: memory of what is
/// kept of them, from the budget of the node, and the time that they take. Does no I/O; the time is
/// passed in.
class PageAccount
{
public:
    /// `object` names what is read in errors, and `sender` who sends it.
    PageAccount(std::string object, std::string sender, std::shared_ptr<MemoryBudget> budget,
                const PageLimits &limits);

    /// Starts the time of the first page. Memory of earlier ones stays reserved.
    void begin(Instant now) { began_ = now; }
    /// Reserves `bytes` more for what is kept of a page that has arrived. Fails with
    /// PlatformUnavailable if it takes the pages over a limit, or the budget has no room.
    [[nodiscard]] Result<void> add(std::size_t bytes, Instant now);
    /// Gives all memory back, once the pages have been applied or given up.
    void release();
    /// The reserved memory in bytes.
    [[nodiscard]] std::size_t bytes() const { return memory_.bytes(); }
    /// Error for pages with another fault.
    [[nodiscard]] tl::unexpected<Error> fault(const std::string &problem) const;

private:
    std::string object_;
    std::string sender_;
    PageLimits limits_;
    MemoryReservation memory_;
    std::optional<Instant> began_;
};

} // namespace jacinthroad
