#pragma once

#include <unordered_map>

#include "Core/Ids.h"

namespace jacinthroad {

/// Limits second attempts to a share of the first ones, for each team. Every first attempt earns
/// a fraction of a token and every further one spends a whole token, so retries cannot multiply
/// an overload.
class RetryBudget
{
public:
    /// `share` is what a first attempt earns; `reserve` is the most that can be saved and what a
    /// team starts with.
    RetryBudget(double share, double reserve);

    /// Notes a first attempt.
    void earn(const TeamId &team);

    /// Takes one token if there is one.
    [[nodiscard]] bool spend(const TeamId &team);

private:
    double share_;
    double reserve_;
    std::unordered_map<TeamId, double> tokens_;
};

} // namespace jacinthroad
