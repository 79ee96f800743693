#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "StoreRelay/RelayCollector.h"
#include "StoreRelay/RelayResponder.h"

namespace jacinthroad {

/// The reader of a zone and its followers, on links that are shared evenly, in steps of one
/// millisecond. The decisions are those of the library; the time is passed in.
class ZoneModel
{
public:
    struct Options
    {
        std::size_t followers = 15;
        double readerMbps = 10;
        double followerMbps = 10;
        /// Share of a core that the reader has.
        double readerShare = 0.12;
        /// Time within which a configuration has to be in force.
        Duration configurationLimit = milliseconds(3000);
    };
    struct Write
    {
        milliseconds at { 0 };
        ObjectTable table;
    };

    ZoneModel(const Options &options, std::vector<Write> writes);

    /// Runs until all followers have the last table, or `limit` has passed.
    void run(milliseconds limit);
    /// Longest time from a write until the last follower had it or a later one; nothing if one has
    /// not.
    [[nodiscard]] std::optional<milliseconds> inForceAfter() const;
    /// Longest time for which a follower had no proof that its table is current.
    [[nodiscard]] milliseconds longestUnproven() const { return longestUnproven_; }
    /// Number of transfers that ended before their last byte.
    [[nodiscard]] int cuts() const { return cuts_; }
    /// Number of times that followers read the store.
    [[nodiscard]] int storeReads() const { return storeReads_; }
    [[nodiscard]] double megabytesPassedOn() const { return passedOnBytes_ / 1e6; }

private:
    enum class State { Waiting, Encoding, Receiving, ReadingStore };

    /// Memory for received data of a node of 110 MB.
    static constexpr std::size_t ReceivedBytes = 70'000'000;

    struct Follower
    {
        RelayCollector collector { "transfer", std::make_shared<MemoryBudget>(ReceivedBytes) };
        std::size_t version = 0;
        State state = State::Waiting;
        Instant sentAt {};
        Instant lastProgress {};
        std::string response {};
        double work = 0;
        double bytesLeft = 0;
        std::size_t versionRead = 0;
        BootInstant confirmedAt {};
    };

    void stepReader();
    void wakeFollowers();
    void encode();
    void move(State state, double megabits);
    void receive(Follower &follower);
    void ask(Follower &follower);
    void answer(Follower &follower);
    [[nodiscard]] RelayQuery queryOf(const Follower &follower) const;
    [[nodiscard]] std::size_t versionInStore() const;

    Options options_;
    std::vector<Write> writes_;
    std::vector<std::uint64_t> digests_;
    std::vector<Follower> followers_;
    RelayLog log_;
    RelayResponder responder_;
    Instant now_ {};
    Instant watchSentAt_ {};
    /// Bytes of the reader's own read that are missing, if it has begun.
    std::optional<double> readLeft_;
    std::size_t versionBeingRead_ = 0;
    std::size_t versionRead_ = 0;
    std::size_t versionEncoded_ = 0;
    std::deque<Follower *> encoding_;
    std::vector<std::optional<Instant>> inForceAt_;
    milliseconds longestUnproven_ {};
    int cuts_ = 0;
    int storeReads_ = 0;
    double passedOnBytes_ = 0;
};

} // namespace jacinthroad
