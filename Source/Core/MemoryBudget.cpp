#include "Core/MemoryBudget.h"

#include <algorithm>
#include <utility>

namespace jacinthroad {

namespace {

/// Sixteenths of the limit up to which memory is reserved. Long responses leave room for requests,
/// all of which need some.
constexpr std::size_t LongRequestParts = 12;
constexpr std::size_t ShortRequestParts = 14;
constexpr std::size_t LongResponseParts = 14;
constexpr std::size_t Parts = 16;

/// What a reservation of this size adds to the sum of the long ones.
std::size_t longPart(std::size_t bytes)
{
    return bytes > ShortBodyBytes ? bytes : 0;
}

} // namespace

std::size_t MemoryBudget::limit(BodyKind kind, std::size_t bodyBytes) const
{
    const std::size_t all = limit_;
    if (kind == BodyKind::Request) {
        return all / Parts * (bodyBytes > ShortBodyBytes ? LongRequestParts : ShortRequestParts);
    }
    if (kind == BodyKind::Control) {
        return all + all / 8;
    }
    return bodyBytes > ShortBodyBytes ? all / Parts * LongResponseParts : all;
}

bool MemoryBudget::holdsAlone(BodyKind kind, std::size_t bodyBytes) const
{
    if (bodyBytes > limit(kind, bodyBytes)) {
        return false;
    }
    return kind != BodyKind::Response
        || (bodyBytes <= responses_.limit && longPart(bodyBytes) <= longResponses_.limit);
}

void MemoryBudget::setResponseLimits(const ResponseLimits &limits)
{
    responses_.limit = limits.all;
    longResponses_.limit = limits.longOnes;
}

bool MemoryBudget::reserve(BodyKind kind, std::size_t bytes)
{
    return change(kind, 0, bytes);
}

void MemoryBudget::release(BodyKind kind, std::size_t bytes)
{
    static_cast<void>(change(kind, bytes, 0));
}

bool MemoryBudget::change(BodyKind kind, std::size_t former, std::size_t bytes)
{
    const bool isResponse = kind == BodyKind::Response;
    if (isResponse && !changeResponses(former, bytes)) {
        return false;
    }
    if (bytes <= former) {
        used_ -= former - bytes;
        return true;
    }
    if (reserve(bytes - former, limit(kind, bytes))) {
        return true;
    }
    if (isResponse) {
        static_cast<void>(changeResponses(bytes, former));
    }
    return false;
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

bool MemoryBudget::Sum::change(std::size_t former, std::size_t bytes)
{
    std::size_t sum = used;
    do {
        if (bytes > former && (sum - former > limit || bytes > limit - (sum - former))) {
            return false;
        }
    } while (!used.compare_exchange_weak(sum, sum - former + bytes));
    return true;
}

bool MemoryBudget::changeResponses(std::size_t former, std::size_t bytes)
{
    if (!responses_.change(former, bytes)) {
        return false;
    }
    if (!longResponses_.change(longPart(former), longPart(bytes))) {
        static_cast<void>(responses_.change(bytes, former));
        return false;
    }
    return true;
}

MemoryReservation::~MemoryReservation()
{
    if (bytes_ > 0) {
        static_cast<void>(resize(0));
    }
}

bool MemoryReservation::resize(std::size_t bytes)
{
    if (!budget_->change(kind_, bytes_, bytes)) {
        refusedBytes_ = bytes;
        return false;
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
    // reserve() would at least double the capacity of a string that has one.
    std::string grown;
    grown.reserve(capacity);
    grown.append(body);
    body = std::move(grown);
    return resize(body.capacity());
}

} // namespace jacinthroad
