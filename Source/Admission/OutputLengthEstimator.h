#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace jacinthroad {

/// Learns how many tokens answers have, for each group of like requests. A group is a hash of
/// team, model and the caller's bound; the quantile estimates move by stochastic approximation,
/// so a group costs a few words whatever its traffic.
class OutputLengthEstimator
{
public:
    /// Keeps at most so many groups; the least recently used half goes when it is reached.
    explicit OutputLengthEstimator(std::size_t capacity);

    /// Takes the length of a finished answer in tokens.
    void observe(std::uint64_t group, std::uint32_t outputTokens);

    /// The expected length in tokens: the learned 80th percentile, within the caller's bound.
    /// With neither experience nor bound it is a job of normal length.
    [[nodiscard]] std::uint32_t predict(std::uint64_t group,
                                        std::optional<std::uint32_t> bound) const;

    /// Groups held now.
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
