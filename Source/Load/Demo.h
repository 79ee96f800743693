#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jacinthroad {

/// Settings of a demo.
struct DemoOptions
{
    /// Duration of the traffic in seconds of clock time.
    double seconds = 20;
    std::uint64_t seed = 1;
};

/// Whether one guarantee held.
struct GuaranteeResult
{
    std::string guarantee;
    bool held = false;
    /// The counts on which the result is based.
    std::string evidence;
};

/// The results of a demo.
struct DemoResult
{
    std::vector<GuaranteeResult> guarantees;
    std::string summary;
};

/// Runs two zones, four nodes, six engines, a plain service and the platform in this process with
/// the traffic of both profiles and one fault after the other. The results come from the callers'
/// records and the stand-ins' counters, not from the nodes' own counters.
class Demo
{
public:
    explicit Demo(DemoOptions options);

    /// Runs the demo; `progress` is called with lines of text for the user.
    [[nodiscard]] DemoResult run(const std::function<void(const std::string &)> &progress);

private:
    DemoOptions options_;
};

} // namespace jacinthroad
