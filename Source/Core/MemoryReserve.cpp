#include "Core/MemoryReserve.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <cstdlib>

namespace jacinthroad {

namespace {

constexpr std::size_t PartBytes = std::size_t { 256 } << 10;
constexpr std::int64_t PartCount = 32;
/// What must be free beside a part that is taken back, in bytes.
constexpr std::size_t RefillHeadroomBytes = std::size_t { 1 } << 20;

/// Null where a part is in use.
std::array<std::atomic<void *>, std::size_t { PartCount }> parts {};
std::atomic<std::int64_t> partsInUse { 0 };
/// Set while a thread takes parts back.
std::atomic_flag refilling;
static_assert(std::atomic<void *>::is_always_lock_free);

bool hasHeadroom() noexcept
{
    void *const headroom = std::malloc(PartBytes + RefillHeadroomBytes);
    std::free(headroom);
    return headroom != nullptr;
}

} // namespace

bool holdMemoryReserve()
{
    for (std::atomic<void *> &part : parts) {
        if (part.load() == nullptr) {
            part = std::malloc(PartBytes);
        }
    }
    return std::none_of(parts.begin(), parts.end(),
                        [](const std::atomic<void *> &part) { return part.load() == nullptr; });
}

bool releaseReservedMemory() noexcept
{
    for (std::atomic<void *> &part : parts) {
        void *const start = part.exchange(nullptr);
        if (start != nullptr) {
            ++partsInUse;
            std::free(start);
            return true;
        }
    }
    return false;
}

MemoryLevel refillMemoryReserve() noexcept
{
    if (partsInUse == 0 || refilling.test_and_set()) {
        return memoryLevel();
    }
    for (std::atomic<void *> &part : parts) {
        if (part.load() != nullptr) {
            continue;
        }
        void *const start = hasHeadroom() ? std::malloc(PartBytes) : nullptr;
        if (start == nullptr) {
            break;
        }
        part = start;
        --partsInUse;
    }
    refilling.clear();
    return memoryLevel();
}

MemoryLevel memoryLevel() noexcept
{
    const std::int64_t count = partsInUse;
    if (count <= 0) {
        return MemoryLevel::Sufficient;
    }
    return count > PartCount / 2 ? MemoryLevel::Critical : MemoryLevel::Low;
}

} // namespace jacinthroad
