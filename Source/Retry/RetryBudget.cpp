#include "Retry/RetryBudget.h"

#include <algorithm>

namespace jacinthroad {

RetryBudget::RetryBudget(double share, double reserve)
    : share_(share)
    , reserve_(reserve)
{ }

void RetryBudget::earn(const TeamId &team)
{
    double &tokens = tokens_.try_emplace(team, reserve_).first->second;
    tokens = std::min(reserve_, tokens + share_);
}

bool RetryBudget::spend(const TeamId &team)
{
    double &tokens = tokens_.try_emplace(team, reserve_).first->second;
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

} // namespace jacinthroad
