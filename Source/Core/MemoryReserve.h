#pragma once

#include <cstddef>
#include <cstdint>

namespace jacinthroad {

/// How much memory is left to a process that holds a reserve.
enum class MemoryLevel : std::uint8_t {
    /// The system refused none, or has returned the whole reserve since.
    Sufficient,
    /// A part of the reserve is in use: no new work is taken on.
    Low,
    /// Over half of the reserve is in use: the rest is for the work in progress.
    Critical,
};

/// Size in bytes up to which allocations may use the reserve. Callers handle the refusal of larger
/// ones, which are for bodies.
constexpr std::size_t ReserveAllocationBytes = 65536;

/// Sets memory aside that releaseReservedMemory() gives back to the allocator. It is only written
/// to when it is used. Returns false if the system refuses it.
[[nodiscard]] bool holdMemoryReserve();
/// Gives a part of the reserve back so that an allocation can be tried again. Returns false if none
/// is left. Thread-safe.
[[nodiscard]] bool releaseReservedMemory() noexcept;
/// Takes back what was released, as far as the allocator grants it to this thread: what a thread
/// has freed is often kept for that thread. Returns the level after it. Thread-safe.
MemoryLevel refillMemoryReserve() noexcept;
/// Sufficient in a process that holds no reserve. Thread-safe.
[[nodiscard]] MemoryLevel memoryLevel() noexcept;

} // namespace jacinthroad
