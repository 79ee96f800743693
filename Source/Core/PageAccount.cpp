#include "Core/PageAccount.h"

#include <utility>

namespace jacinthroad {

PageAccount::PageAccount(std::string object, std::string sender,
                         std::shared_ptr<MemoryBudget> budget, const PageLimits &limits)
    : object_(std::move(object))
    , sender_(std::move(sender))
    , limits_(limits)
    , memory_(std::move(budget), BodyKind::Control)
{ }

Result<void> PageAccount::add(std::size_t bytes, Instant now)
{
    if (!began_.has_value()) {
        began_ = now;
    }
    if (now - *began_ > limits_.time) {
        return fault("its pages take longer than " + std::to_string(wholeMilliseconds(limits_.time))
                     + " ms");
    }
    if (bytes > limits_.bytes || memory_.bytes() > limits_.bytes - bytes) {
        return fault("its pages take more than " + std::to_string(limits_.bytes)
                     + " bytes of memory");
    }
    if (!memory_.resize(memory_.bytes() + bytes)) {
        return makeError(ErrorKind::PlatformUnavailable,
                         object_ + " of " + sender_
                             + ": the node's memory for received data is used up",
                         "Give the node more memory, or send it fewer long requests at a time.");
    }
    return {};
}

void PageAccount::release()
{
    // A smaller reservation is never refused.
    static_cast<void>(memory_.resize(0));
}

tl::unexpected<Error> PageAccount::fault(const std::string &problem) const
{
    return makeError(ErrorKind::PlatformUnavailable, object_ + " of " + sender_ + ": " + problem,
                     "Check the sender.");
}

} // namespace jacinthroad
