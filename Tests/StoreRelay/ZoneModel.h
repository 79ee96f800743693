#pragma once

#include <deque>
#include <string>
#include <vector>

#include "StoreRelay/RelayLog.h"

namespace jacinthroad {

/// A reader and its followers on links that are shared evenly, in steps of one millisecond. The
/// time starts with the write of the first configuration to the store.
class ZoneModel
{
public:
    struct Options
    {
        std::size_t followers = 15;
        double readerMbps = 10;
        double followerMbps = 10;
        double readerShare = 0.12;
    };
    struct Write
    {
        milliseconds at { 0 };
        ObjectTable table;
    };

    ZoneModel(const Options &options, std::vector<Write> writes);

    /// Runs until all followers have the last table, or `limit` has passed.
    void run(milliseconds limit);
    /// Time from the last write until the last follower had it; nothing if one has not.
    [[nodiscard]] std::optional<milliseconds> inForceAfter() const;
    /// Longest time for which a follower had no proof that its table is current.
    [[nodiscard]] milliseconds longestUnproven() const { return longestUnproven_; }
    /// Number of transfers that ended before their last byte.
    [[nodiscard]] int cuts() const { return cuts_; }
    [[nodiscard]] double megabytesSent() const { return sentBytes_ / 1e6; }

private:
    struct Follower
    {
        RelayPosition position;
        std::uint64_t revision = 0;
        Instant sentAt {};
        Instant lastProgress {};
        bool waiting = false;
        std::string response;
        double encodeLeft = 0;
        double received = 0;
        BootInstant confirmedAt {};
    };

    void readStore();
    void encode();
    void send();
    void receive(Follower &follower);
    void ask(Follower &follower);
    void answer(Follower &follower);

    Options options_;
    std::vector<Write> writes_;
    std::vector<Follower> followers_;
    RelayLog log_;
    Instant now_ {};
    Instant readDone_ {};
    std::size_t writesRead_ = 0;
    std::deque<std::size_t> encoding_;
    std::optional<Instant> allDone_;
    milliseconds longestUnproven_ {};
    int cuts_ = 0;
    double sentBytes_ = 0;
};

} // namespace jacinthroad
