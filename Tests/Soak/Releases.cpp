#include "Releases.h"

#include <thread>

#include "SoakTraffic.h"

namespace jacinthroad {

namespace {

constexpr int ShortestPauseMs = 1000;
constexpr int LongestPauseMs = 4000;
constexpr int ShortestGapMs = 50;
constexpr int LongestGapMs = 500;
/// A release without overlap replaces at most this part at a time, as its servers start again late.
constexpr double SeriesShare = 0.4;

} // namespace

void releaseVersions(SoakServers &servers, std::uint64_t seed, Instant until,
                     std::atomic<unsigned> &releases)
{
    std::mt19937_64 random(seed);
    for (;;) {
        std::this_thread::sleep_for(milliseconds(between(random, ShortestPauseMs, LongestPauseMs)));
        if (std::chrono::steady_clock::now() >= until) {
            return;
        }
        const bool overlapping = between(random, 1, 3) > 1;
        const double share
            = overlapping ? between(random, 1, 4) / 4.0 : SeriesShare * between(random, 1, 2) / 2;
        servers.release(share, milliseconds(between(random, ShortestGapMs, LongestGapMs)),
                        overlapping);
        ++releases;
    }
}

} // namespace jacinthroad
