#include "Admission/OutputLengthEstimator.h"

#include <algorithm>
#include <cmath>

namespace jacinthroad {

namespace {

constexpr double Quantile = 0.8;
constexpr std::uint32_t MinimumSamples = 8;
constexpr std::uint32_t DefaultOutputTokens = 128;
// Adjustment per observation, as a share of the current estimate.
constexpr double InitialStep = 0.5;
constexpr double MinimumStep = 0.05;

} // namespace

OutputLengthEstimator::OutputLengthEstimator(std::size_t capacity)
    : capacity_(capacity)
{ }

const OutputLengthEstimator::Estimate *OutputLengthEstimator::find(std::uint64_t group) const
{
    if (const auto found = recent_.find(group); found != recent_.end()) {
        return &found->second;
    }
    const auto found = older_.find(group);
    return found == older_.end() ? nullptr : &found->second;
}

void OutputLengthEstimator::observe(std::uint64_t group, std::uint32_t outputTokens)
{
    if (recent_.size() >= capacity_ / 2 && !recent_.contains(group)) {
        older_ = std::move(recent_);
        recent_.clear();
    }
    auto [entry, added] = recent_.try_emplace(group);
    if (added) {
        if (const auto found = older_.find(group); found != older_.end()) {
            entry->second = found->second;
            older_.erase(found);
        }
    }
    Estimate &estimate = entry->second;
    const double observed = outputTokens;
    if (estimate.samples == 0) {
        estimate.quantile = observed;
    } else {
        const double share
            = std::max(MinimumStep, InitialStep / std::sqrt(static_cast<double>(estimate.samples)));
        const double step = share * std::max(1.0, estimate.quantile);
        estimate.quantile
            += observed > estimate.quantile ? step * Quantile : -step * (1 - Quantile);
    }
    ++estimate.samples;
}

std::uint32_t OutputLengthEstimator::predict(std::uint64_t group,
                                             std::optional<std::uint32_t> maxOutputTokens) const
{
    const Estimate *estimate = find(group);
    const std::uint32_t limit = maxOutputTokens.value_or(UINT32_MAX);
    if (estimate == nullptr || estimate->samples < MinimumSamples) {
        return maxOutputTokens.value_or(DefaultOutputTokens);
    }
    const double rounded = std::ceil(std::max(1.0, estimate->quantile));
    return std::min(limit, static_cast<std::uint32_t>(rounded));
}

} // namespace jacinthroad
