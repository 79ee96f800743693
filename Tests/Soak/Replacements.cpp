#include "Replacements.h"

#include <algorithm>
#include <numeric>
#include <random>

#include "SoakTraffic.h"

namespace jacinthroad {

namespace {

/// Time from one replacement to the next; shorter than a stop in some waves.
constexpr int ShortestGapMs = 100;
constexpr int LongestGapMs = 1500;
/// Time between the last replacement of a wave and the first of the next.
constexpr int ShortestRestMs = 500;
constexpr int LongestRestMs = 5000;
/// One node in so many is left out of a wave.
constexpr int LeftOutOneIn = 5;

} // namespace

std::vector<std::vector<Replacement>> planReplacements(std::size_t nodes, std::uint64_t seed,
                                                       Instant begin, Instant until)
{
    std::mt19937_64 random(seed);
    std::vector<std::vector<Replacement>> plan(nodes);
    std::vector<std::size_t> order(nodes);
    std::iota(order.begin(), order.end(), 0);
    NodeBuild build = NodeBuild::New;
    for (Instant at = begin; at < until;) {
        std::shuffle(order.begin(), order.end(), random);
        const int longestGap = between(random, ShortestGapMs, LongestGapMs);
        for (const std::size_t node : order) {
            at += milliseconds(between(random, ShortestGapMs, longestGap));
            if (between(random, 1, LeftOutOneIn) > 1 && at < until) {
                plan[node].push_back({ .at = at, .build = build });
            }
        }
        at += milliseconds(between(random, ShortestRestMs, LongestRestMs));
        build = build == NodeBuild::New ? NodeBuild::Earlier : NodeBuild::New;
    }
    return plan;
}

} // namespace jacinthroad
