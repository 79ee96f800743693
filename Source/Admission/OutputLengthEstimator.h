#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace jacinthroad {

/// Estimates the length of responses in tokens for each group of similar requests. A group is a
/// hash of team, model and the caller's max_tokens. The quantile is estimated by stochastic
/// approximation, so a group takes a few words of memory regardless of its traffic.
class OutputLengthEstimator
{
public:
    /// Keeps at most `capacity` groups; the less recently observed half is evicted when needed.
    explicit OutputLengthEstimator(std::size_t capacity);

    /// Records the length of a finished response, in tokens.
    void observe(std::uint64_t group, std::uint32_t outputTokens);

    /// Returns the expected length in tokens: the learned 80th percentile, limited to
    /// `maxOutputTokens`. With too few observations it is `maxOutputTokens`, or a normal length if
    /// that is not given.
    [[nodiscard]] std::uint32_t predict(std::uint64_t group,
                                        std::optional<std::uint32_t> maxOutputTokens) const;

    /// Number of groups stored.
    [[nodiscard]] std::size_t size() const { return recent_.size() + older_.size(); }

private:
    struct Estimate
    {
        double quantile = 0;
        std::uint32_t samples = 0;
    };
    using Generation = std::unordered_map<std::uint64_t, Estimate>;

    [[nodiscard]] const Estimate *find(std::uint64_t group) const;

    std::size_t capacity_;
    Generation recent_;
    Generation older_;
};

} // namespace jacinthroad
