#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "Admission/LengthClass.h"
#include "Core/Time.h"
#include "PrefixIndex/PrefixIndex.h"
#include "Routing/PredictedCostPolicy.h"
#include "Routing/RequestInfo.h"
#include "Routing/ServerTable.h"

namespace jacinthroad {

/// Chooses the servers in turn.
struct RoundRobinPolicy
{
    std::uint64_t next = 0;
};

/// Chooses the server with the fewest outstanding requests of this node; ties at random.
struct LeastOutstandingPolicy
{ };

/// Chooses the first server in rendezvous order for the prompt's leading tokens, regardless of
/// its load.
struct PrefixHashPolicy
{
    std::uint32_t prefixTokens = 1024;
};

/// A server selection policy. The first three are baselines: they dispatch immediately and leave
/// all queueing to the engines.
using Policy
    = std::variant<RoundRobinPolicy, LeastOutstandingPolicy, PrefixHashPolicy, PredictedCostPolicy>;

/// Policy names in settings and reports, in the order of the variant.
[[nodiscard]] std::span<const std::string_view> policyNames();

/// Creates the policy of that name; nullopt if there is none.
[[nodiscard]] std::optional<Policy> makePolicy(std::string_view name);

/// True for the policy that queues requests in the node, orders them by length class and rejects
/// those that cannot start in time.
[[nodiscard]] bool usesAdmissionQueue(const Policy &policy);

/// Returns the server chosen by the policy, or nullopt if the context has no candidate.
[[nodiscard]] std::optional<Choice> choose(Policy &policy, const ChoiceContext &context);

} // namespace jacinthroad
