#pragma once

#include <cstdint>
#include <optional>

#include "StoreRelay/RelayLog.h"

namespace jacinthroad {

/// Decides what another node that asks gets: a page, or the word that the store is faster. Does no
/// I/O; the time is passed in.
class RelayResponder
{
public:
    struct Options
    {
        /// Link of this node in Mbit/s; 0 if it is not known.
        double linkMbps = 0;
        /// Nodes read content from the store if passing it on would take longer; nothing passes on
        /// everything.
        std::optional<Duration> passingOnLimit;
    };

    /// The log must outlive this object.
    RelayResponder(const RelayLog &log, const Options &options)
        : log_(&log)
        , options_(options)
    { }

    [[nodiscard]] const RelayLog &log() const { return *log_; }
    /// Notes the size of a change that is arriving from the store; 0 once it has arrived. Returns
    /// true if it takes so long that the nodes which wait for it have to read it at the same time.
    /// Of a smaller one it is seen first how little of it has changed.
    bool noteExpected(std::uint64_t bytes);
    /// True if a query need not wait. `followers` is the number of nodes that ask.
    [[nodiscard]] bool hasNews(const RelayQuery &query, std::size_t followers) const;
    /// Answers a query; the log must be filled.
    [[nodiscard]] RelayPage answer(const RelayQuery &query, std::size_t followers,
                                   BootInstant now) const;

private:
    [[nodiscard]] bool isTooLarge(std::uint64_t bytes, std::size_t followers) const;
    /// True if the asking node gets the objects sooner from the store.
    [[nodiscard]] bool isInStore(const RelayQuery &query, std::size_t followers) const;

    const RelayLog *log_;
    Options options_;
    std::uint64_t expectedBytes_ = 0;
};

} // namespace jacinthroad
