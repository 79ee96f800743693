#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// Limits this node's repeated sends to each service, so that all nodes together stay inside the
/// share of requests that may be sent again in a window.
class AttemptBudget
{
public:
    struct Options
    {
        /// Sends beyond the first of each request, as a share of the requests.
        double retryRatio = 0.2;
        Duration window = std::chrono::seconds(10);
        /// Sends that this node may add to its share in a window.
        double allowance = 3;
    };

    explicit AttemptBudget(const Options &options);

    /// Takes other limits; what the window has counted stays.
    void setOptions(const Options &options) { options_ = options; }

    /// Notes a request for a service.
    void noteRequest(const ServiceId &service, Instant now);
    /// Takes one repeated send, if the window has one left.
    [[nodiscard]] bool spend(const ServiceId &service, Instant now);

private:
    static constexpr std::size_t Slices = 10;

    struct Window
    {
        std::array<std::uint32_t, Slices> requests {};
        std::array<std::uint32_t, Slices> repeats {};
        std::int64_t slice = 0;
    };

    Window &windowOf(const ServiceId &service, Instant now);

    Options options_;
    std::unordered_map<ServiceId, Window> windows_;
};

} // namespace jacinthroad
