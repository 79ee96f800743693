#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <utility>

namespace jacinthroad {

/// What memory is reserved for.
enum class BodyKind : std::uint8_t {
    Request,
    Response,
    /// What the node needs to serve any request. It may exceed the limit by an eighth.
    Control,
};

/// Size in bytes up to which a body counts as short.
constexpr std::size_t ShortBodyBytes = 65536;

/// The memory in bytes that all data may take together that a node has received and not yet passed
/// on: what connections have received, headers, events and bodies. Its parts are held by
/// MemoryReservation and ReadBuffer. Long bodies leave a part of it to short ones, and requests to
/// responses, so that requests that were accepted can be answered. Thread-safe.
class MemoryBudget
{
public:
    explicit MemoryBudget(std::size_t limit)
        : limit_(limit)
    { }
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    /// Changes the limit. What exceeds it stays reserved.
    void setLimit(std::size_t bytes) { limit_ = bytes; }
    /// The memory in bytes that responses may take.
    struct ResponseLimits
    {
        /// All together, so that those of faulty servers leave room for requests.
        std::size_t all = std::numeric_limits<std::size_t>::max();
        /// The long ones together, so that they leave room for short ones.
        std::size_t longOnes = std::numeric_limits<std::size_t>::max();
    };
    /// Limits the memory for responses, which has no limit of its own otherwise.
    void setResponseLimits(const ResponseLimits &limits);
    /// Returns the sum up to which memory is reserved for a body of this kind and size.
    [[nodiscard]] std::size_t limit(BodyKind kind, std::size_t bodyBytes) const;
    /// The memory in bytes that all may take together.
    [[nodiscard]] std::size_t limit() const { return limit_; }
    /// True if a body of this kind and size finds room with nothing else reserved.
    [[nodiscard]] bool holdsAlone(BodyKind kind, std::size_t bodyBytes) const;
    /// Reserves memory for `bytes` of this kind. Returns false if the budget has no room.
    [[nodiscard]] bool reserve(BodyKind kind, std::size_t bytes);
    /// Gives back what was reserved with reserve().
    void release(BodyKind kind, std::size_t bytes);
    /// Sum of all reservations.
    [[nodiscard]] std::size_t used() const { return used_; }

private:
    friend class MemoryReservation;

    /// Changes one reservation. Returns false and changes nothing if it would grow beyond a limit.
    [[nodiscard]] bool change(BodyKind kind, std::size_t former, std::size_t bytes);
    /// Adds `bytes` unless the sum would exceed `limit`.
    [[nodiscard]] bool reserve(std::size_t bytes, std::size_t limit);
    /// Changes the part of one response in their sums unless one would grow beyond its limit.
    [[nodiscard]] bool changeResponses(std::size_t former, std::size_t bytes);

    std::atomic<std::size_t> limit_;
    std::atomic<std::size_t> used_ { 0 };
    /// A sum of reservations with its limit, both in bytes.
    struct Sum
    {
        std::atomic<std::size_t> limit { std::numeric_limits<std::size_t>::max() };
        std::atomic<std::size_t> used { 0 };

        /// Changes one part of the sum unless that would grow beyond the limit.
        [[nodiscard]] bool change(std::size_t former, std::size_t bytes);
    };
    Sum responses_;
    Sum longResponses_;
};

/// A part of a budget, given back when this object is destroyed.
class MemoryReservation
{
public:
    MemoryReservation(std::shared_ptr<MemoryBudget> budget, BodyKind kind)
        : budget_(std::move(budget))
        , kind_(kind)
    { }
    MemoryReservation(MemoryReservation &&other) noexcept
        : budget_(std::move(other.budget_))
        , kind_(other.kind_)
        , bytes_(std::exchange(other.bytes_, 0))
    { }
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;
    MemoryReservation &operator=(MemoryReservation &&) = delete;
    ~MemoryReservation();

    /// Changes the reserved size in bytes. Returns false and changes nothing if the budget has no
    /// room.
    [[nodiscard]] bool resize(std::size_t bytes);
    /// Reserves memory for a body that may be longer by `bytes` after the next read, up to `limit`
    /// bytes in all, and lets it grow in good time. Returns false if the budget has no room.
    [[nodiscard]] bool growBody(std::string &body, std::size_t bytes, std::size_t limit);
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    /// True if what others have reserved was the cause of the last refusal, and not the size.
    [[nodiscard]] bool refusedForOthers() const
    {
        return budget_->holdsAlone(kind_, refusedBytes_);
    }

private:
    std::shared_ptr<MemoryBudget> budget_;
    BodyKind kind_;
    std::size_t bytes_ = 0;
    /// Size that was refused last.
    std::size_t refusedBytes_ = 0;
};

/// A body with the memory that is reserved for it.
struct HeldBody
{
    std::string text;
    MemoryReservation memory;
};

} // namespace jacinthroad
