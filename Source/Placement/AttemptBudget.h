#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// Limits this node's retries to each service so that all nodes together stay within the share of
/// requests that may be retried in a sliding window.
class AttemptBudget
{
public:
    struct Options
    {
        /// Retries in a window as a share of the requests in it.
        double retryRatio = 0.2;
        Duration window = std::chrono::seconds(10);
        /// Retries allowed in a window in addition to that share.
        double allowance = 3;
    };

    explicit AttemptBudget(const Options &options);

    /// Replaces the limits at `now`. Of the counts of the current window, the retries count for the
    /// whole of a window of another length, and the requests for its first tenth.
    void setOptions(const Options &options, Instant now);

    /// Leaves the allowance out until a window has passed since `startedAt`, when this process
    /// started: a former process of the node may have used it up.
    void withholdAllowance(Instant startedAt) { withheldSince_ = startedAt; }
    /// Ends that, as there was no former process.
    void releaseAllowance() { withheldSince_.reset(); }

    /// Records a request for a service.
    void noteRequest(const ServiceId &service, Instant now);
    /// Consumes one retry; returns false if the window has none left.
    [[nodiscard]] bool spend(const ServiceId &service, Instant now);
    /// Gives back a retry that was consumed at `spentAt` and not made. One that no longer counts
    /// changes nothing.
    void giveBack(const ServiceId &service, Instant spentAt, Instant now);

private:
    static constexpr std::size_t Slices = 10;

    struct Window
    {
        std::array<std::uint32_t, Slices> requests {};
        std::array<std::uint32_t, Slices> retries {};
        std::int64_t slice = 0;
    };

    /// Number of the slice of a moment; slices of windows of another length have other numbers.
    [[nodiscard]] std::int64_t sliceOf(Instant moment) const;
    Window &windowOf(const ServiceId &service, Instant now);

    /// The retries that may be made in a window beyond their share of the requests.
    [[nodiscard]] double allowanceAt(Instant now) const;

    Options options_;
    std::optional<Instant> withheldSince_;
    std::unordered_map<ServiceId, Window> windows_;
};

} // namespace jacinthroad
