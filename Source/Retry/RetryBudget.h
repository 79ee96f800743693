#pragma once

#include <unordered_map>

#include "Core/Ids.h"

namespace jacinthroad {

/// Limits each team's retries to a share of its first attempts. Every first attempt earns a
/// fraction of a token and every retry spends a whole token, so retries cannot amplify an overload.
class RetryBudget
{
public:
    /// `share` is the number of tokens that a first attempt earns. `reserve` is the maximum balance
    /// and the balance that a team starts with.
    RetryBudget(double share, double reserve);

    /// Records a first attempt.
    void earn(const TeamId &team);

    /// Spends one token; returns false if the balance is below one.
    [[nodiscard]] bool spend(const TeamId &team);

private:
    double share_;
    double reserve_;
    std::unordered_map<TeamId, double> tokens_;
};

} // namespace jacinthroad
