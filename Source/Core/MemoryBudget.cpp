#include "Core/MemoryBudget.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// Eighths of the limit up to which memory is reserved.
constexpr std::size_t LongRequestEighths = 6;
constexpr std::size_t ShortRequestEighths = 7;
constexpr std::size_t LongResponseEighths = 7;

} // namespace

std::size_t MemoryBudget::limit(BodyKind kind, std::size_t bodyBytes) const
{
    const std::size_t all = limit_;
    if (kind == BodyKind::Request) {
        return all / 8 * (bodyBytes > ShortBodyBytes ? LongRequestEighths : ShortRequestEighths);
    }
    if (kind == BodyKind::Control) {
        return all + all / 8;
    }
    return bodyBytes > ShortBodyBytes ? all / 8 * LongResponseEighths : all;
}

bool MemoryBudget::reserve(BodyKind kind, std::size_t bytes)
{
    return reserve(bytes, limit(kind, bytes));
}

bool MemoryBudget::reserve(std::size_t bytes, std::size_t limit)
{
    std::size_t used = used_;
    do {
        if (used > limit || bytes > limit - used) {
            return false;
        }
    } while (!used_.compare_exchange_weak(used, used + bytes));
    return true;
}

MemoryReservation::~MemoryReservation()
{
    if (bytes_ > 0) {
        budget_->release(bytes_);
    }
}

bool MemoryReservation::resize(std::size_t bytes)
{
    if (bytes > bytes_) {
        if (!budget_->reserve(bytes - bytes_, budget_->limit(kind_, bytes))) {
            return false;
        }
    } else {
        budget_->release(bytes_ - bytes);
    }
    bytes_ = bytes;
    return true;
}

bool MemoryReservation::growBody(std::string &body, std::size_t bytes, std::size_t limit)
{
    const std::size_t needed = std::min(body.size() + bytes, limit);
    const std::size_t former = body.capacity();
    if (needed <= former) {
        return resize(std::max(bytes_, former));
    }
    const std::size_t capacity = std::min(std::max(needed, former + former / 2), limit);
    // Both are held while the body is copied.
    if (!resize(former + capacity)) {
        return false;
    }
    body.reserve(capacity);
    return resize(body.capacity());
}

} // namespace jacinthroad
