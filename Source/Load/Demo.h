#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jacinthroad {

/// Settings of a demonstration.
struct DemoOptions
{
    /// Length of the traffic on the clock.
    double seconds = 20;
    std::uint64_t seed = 1;
};

/// Whether one promise held.
struct GuaranteeResult
{
    std::string guarantee;
    bool held = false;
    /// The counts that tell.
    std::string evidence;
};

/// What a demonstration showed.
struct DemoResult
{
    std::vector<GuaranteeResult> guarantees;
    std::string summary;
};

/// Two zones, four nodes, six engines, a plain service and the platform in this process, with
/// both users' kinds of traffic and one fault after the other. The verdicts come from what
/// callers saw and from the stand-ins' own counts, never from the nodes'.
class Demo
{
public:
    explicit Demo(DemoOptions options);

    /// Runs it; `progress` is called with lines for people.
    [[nodiscard]] DemoResult run(const std::function<void(const std::string &)> &progress);

private:
    DemoOptions options_;
};

} // namespace jacinthroad
