#include "StoreRelay/RelayResponder.h"

#include "StoreRelay/TransferChoice.h"

namespace jacinthroad {

bool RelayResponder::noteExpected(std::uint64_t bytes)
{
    expectedBytes_ = bytes;
    return isTooLarge(bytes, 1);
}

bool RelayResponder::isTooLarge(std::uint64_t bytes, std::size_t followers) const
{
    return options_.passingOnLimit.has_value()
        && isReadFromStore(
               { .bytes = bytes, .followers = followers, .linkMbps = options_.linkMbps },
               *options_.passingOnLimit);
}

bool RelayResponder::isInStore(const RelayQuery &query, std::size_t followers) const
{
    if (query.onlyHere || !options_.passingOnLimit.has_value()) {
        return false;
    }
    // A node with other objects than this one may have read what is arriving here.
    if (query.digest == log_->digest()) {
        return isTooLarge(expectedBytes_, 1);
    }
    return isTooLarge(log_->bytesAfter(query.position), followers);
}

bool RelayResponder::hasNews(const RelayQuery &query, std::size_t followers) const
{
    return log_->filled() && (log_->hasChanges(query.position) || isInStore(query, followers));
}

RelayPage RelayResponder::answer(const RelayQuery &query, std::size_t followers,
                                 BootInstant now) const
{
    if (isInStore(query, followers)) {
        return log_->emptyPage(RelayContent::InStore, now);
    }
    if (query.digest == log_->digest()) {
        return log_->emptyPage(RelayContent::Same, now);
    }
    return log_->pageAfter(query.position, now);
}

} // namespace jacinthroad
