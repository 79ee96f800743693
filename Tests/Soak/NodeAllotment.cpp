#include "NodeAllotment.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "Core/Time.h"

namespace jacinthroad {

namespace {

constexpr Duration Period = milliseconds(100);
constexpr double BytesPerMb = 1e6;

/// What a node gets at a time of each period.
struct Turn
{
    Duration at;
    std::size_t node;
    bool runs;
};

std::vector<Turn> turnsOfPeriod(std::size_t nodes, double share)
{
    std::vector<Turn> turns;
    for (std::size_t node = 0; node < nodes; ++node) {
        const Duration begin = Period * node / nodes;
        const auto running = std::chrono::duration_cast<Duration>(Period * share);
        turns.push_back({ .at = begin, .node = node, .runs = true });
        turns.push_back({ .at = (begin + running) % Period, .node = node, .runs = false });
    }
    std::sort(turns.begin(), turns.end(), [](const Turn &left, const Turn &right) {
        return std::tie(left.at, left.node) < std::tie(right.at, right.node);
    });
    return turns;
}

} // namespace

NodeAllotment::NodeAllotment(std::vector<std::shared_ptr<NodeProcess>> nodes, Options options)
    : nodes_(std::move(nodes))
    , options_(options)
    , memoryThread_([this] { watchMemory(); })
{
    if (options_.processorShare < 1) {
        sharingThread_ = std::thread([this] { share(); });
    }
}

NodeAllotment::~NodeAllotment()
{
    stopping_ = true;
    if (sharingThread_.joinable()) {
        sharingThread_.join();
    }
    memoryThread_.join();
}

double NodeAllotment::largestMb() const
{
    return static_cast<double>(largestBytes_.load()) / BytesPerMb;
}

void NodeAllotment::share()
{
    const std::vector<Turn> turns = turnsOfPeriod(nodes_.size(), options_.processorShare);
    std::vector<Instant> stoppedAt(nodes_.size(), Instant::max());
    for (Instant period = std::chrono::steady_clock::now(); !stopping_; period += Period) {
        for (const Turn &turn : turns) {
            std::this_thread::sleep_until(period + turn.at);
            // A late turn delays the others, so that no node runs for less than its share.
            const Instant now = std::chrono::steady_clock::now();
            period = now - turn.at;
            nodes_[turn.node]->allot(turn.runs);
            if (!turn.runs) {
                stoppedAt[turn.node] = now;
            } else if (stoppedAt[turn.node] < now) {
                longestStop_ = std::max(longestStop_.load(), now - stoppedAt[turn.node]);
            }
        }
    }
    for (const auto &node : nodes_) {
        node->allot(true);
    }
}

void NodeAllotment::watchMemory()
{
    const std::uint64_t limit = options_.memoryMb > 0
        ? static_cast<std::uint64_t>(options_.memoryMb * BytesPerMb)
        : std::numeric_limits<std::uint64_t>::max();
    while (!stopping_) {
        const Instant next = std::chrono::steady_clock::now() + Period;
        for (const auto &node : nodes_) {
            largestBytes_ = std::max(largestBytes_.load(), node->killOverMemory(limit));
        }
        std::this_thread::sleep_until(next);
    }
}

} // namespace jacinthroad
