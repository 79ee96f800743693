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

/// Takes the servers in turn.
struct RoundRobinPolicy
{
    std::uint64_t next = 0;
};

/// Takes the server with the least requests of this node under way; ties at random.
struct LeastOutstandingPolicy
{ };

/// Takes the first server in rendezvous order of the prompt's head, whatever its load.
struct PrefixHashPolicy
{
    std::uint32_t headTokens = 1024;
};

/// How a server is chosen. The first three are baselines: they dispatch at once and leave all
/// queueing to the engines.
using Policy
    = std::variant<RoundRobinPolicy, LeastOutstandingPolicy, PrefixHashPolicy, PredictedCostPolicy>;

/// Names as settings and reports write them, in the order of the variant.
[[nodiscard]] std::span<const std::string_view> policyNames();

/// Makes the policy of that name; nothing when there is none.
[[nodiscard]] std::optional<Policy> makePolicy(std::string_view name);

/// True for the policy that queues in the node, orders by class and refuses early.
[[nodiscard]] bool usesAdmissionQueue(const Policy &policy);

/// The server chosen by the policy, or nothing when the context has no candidate.
[[nodiscard]] std::optional<Choice> choose(Policy &policy, const ChoiceContext &context);

} // namespace jacinthroad
