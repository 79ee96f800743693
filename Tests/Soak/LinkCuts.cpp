#include "LinkCuts.h"

#include <algorithm>
#include <array>
#include <random>
#include <thread>

#include "SoakTraffic.h"

namespace jacinthroad {

namespace {

constexpr int ShortestPauseMs = 300;
constexpr int LongestPauseMs = 2500;
/// Some cuts end before a node must serve without links.
constexpr int ShortestCutMs = 500;
constexpr int LongestCutMs = 7000;
constexpr std::array<LinkCutKind, 3> Kinds { LinkCutKind::Reset, LinkCutKind::NewRefused,
                                             LinkCutKind::Silent };

} // namespace

std::vector<LinkCut> cutLinks(const std::vector<NodeLinks> &nodes, std::uint64_t seed,
                              Instant until)
{
    std::mt19937_64 random(seed);
    std::vector<LinkCut> cuts;
    std::vector<NodeLinks> order = nodes;
    for (;;) {
        std::this_thread::sleep_for(milliseconds(between(random, ShortestPauseMs, LongestPauseMs)));
        const Instant begin = std::chrono::steady_clock::now();
        if (begin >= until) {
            return cuts;
        }
        std::shuffle(order.begin(), order.end(), random);
        const int most = std::max(1, static_cast<int>(order.size()) / 2);
        const auto count = static_cast<std::size_t>(between(random, 1, most));
        const LinkCutKind kind = Kinds[random() % Kinds.size()];
        const Instant end
            = std::min(until, begin + milliseconds(between(random, ShortestCutMs, LongestCutMs)));
        for (std::size_t number = 0; number < count; ++number) {
            order[number].links->cut(kind);
        }
        std::this_thread::sleep_until(end);
        for (std::size_t number = 0; number < count; ++number) {
            order[number].links->restore();
            cuts.push_back({ .node = order[number].node,
                             .kind = kind,
                             .begin = begin,
                             .end = std::chrono::steady_clock::now() });
        }
    }
}

} // namespace jacinthroad
