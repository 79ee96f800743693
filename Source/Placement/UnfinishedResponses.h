#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Core/Ids.h"
#include "Core/Time.h"
#include "Fleet/UsualDuration.h"

namespace jacinthroad {

/// An attempt at a server that was ended, at its limit, by its caller or for lack of memory, before
/// the response was complete.
struct UnfinishedAttempt
{
    Instant sentAt;
    /// The longest time in which the server sent nothing for it.
    Duration longestSilence {};
    /// Time in which nothing was read from the server because the caller didn't read.
    Duration callerTime {};
    /// True if the node had no memory for more of the response. How long it took doesn't matter
    /// then.
    bool withoutMemory = false;
};

/// Another server of the same service.
struct OtherServer
{
    ServerId id;
    /// True if it has no request of this node in flight.
    bool idle = false;
};

/// Tells which servers leave the requests of a route without an end while the other servers of the
/// service answer them. What an attempt took is compared with what the others usually take for the
/// same route, so that neither short limits nor a service that is slow as a whole count. A server
/// that does so repeatedly is avoided for the route: it gets a single request from time to time,
/// and all again once it answers these. Does no I/O; the caller passes the time.
class UnfinishedResponses
{
public:
    /// A server gets no requests of a route for `time`, since a response was not complete after
    /// `ran` and the others usually take `usual` at most.
    struct Avoidance
    {
        Duration time {};
        Duration ran {};
        Duration usual {};
    };

    /// Records that a server has answered a request: the response was complete, or its first event
    /// arrived, `after` it was sent.
    void noteAnswered(std::string_view route, const ServerId &server, Duration after, Instant now);
    /// Records an attempt without a complete response. `others` are the listed servers of the
    /// service without this one. Returns the avoidance if one begins or lasts longer.
    [[nodiscard]] std::optional<Avoidance> noteUnfinished(std::string_view route,
                                                          const ServerId &server,
                                                          std::span<const OtherServer> others,
                                                          const UnfinishedAttempt &attempt,
                                                          Instant now);
    /// Records that a request is about to be sent to a server. The next one has to wait if the
    /// server is only tried.
    void noteSending(std::string_view route, const ServerId &server, Instant now);
    /// Forgets a server that is no longer listed, or has started again.
    void forget(const ServerId &server);

    /// Returns true while some server may be avoided for the route.
    [[nodiscard]] bool avoidsAny(std::string_view route, Instant now) const;
    /// Returns true while a server is to get no request of the route.
    [[nodiscard]] bool avoided(std::string_view route, const ServerId &server, Instant now) const;

    /// Time between two requests to an avoided server; doubles with each one that has no end.
    static constexpr Duration FirstAvoidance = std::chrono::seconds(1);
    static constexpr Duration LongestAvoidance = std::chrono::seconds(4);

private:
    /// How the requests of one route have ended on one server.
    struct Record
    {
        UsualDuration answers;
        Instant answeredAt;
        Instant unfinishedAt;
        /// Number of the latest requests, and of those of them that were left without an end.
        double requests = 0;
        double unfinished = 0;
        /// Both kinds since the first one without an end that counts against the server.
        unsigned unfinishedRun = 0;
        unsigned answeredRun = 0;
        bool avoided = false;
        /// When the avoidance began, when the next request is let through, and the time between
        /// two.
        Instant avoidedSince;
        Instant avoidedUntil;
        Duration interval = FirstAvoidance;
        /// Requests let through that were answered one after the other.
        unsigned trialAnswers = 0;
    };
    struct Records
    {
        std::unordered_map<ServerId, Record> servers;
        /// The latest end of an avoidance.
        Instant avoidedUntil;
    };

    /// What the other servers of the service say about an attempt.
    struct Comparison
    {
        /// The longest time that those take which are quick.
        Duration usual {};
        /// Share of the requests that those leave unfinished which are not avoided.
        double unfinishedShare = 0;
        /// True if at least half of those with requests of the route answer them lately.
        bool answering = false;
        /// True if these did so during the attempt, and quickly.
        bool quick = false;
    };

    /// Counts a request that has ended.
    static void noteRequest(Record &record, bool unfinished);
    /// Returns how much more likely the run of a record is if the server is at fault than if it is
    /// like the others, as a logarithm.
    [[nodiscard]] static double evidence(const Record &record, double usualShare);
    static void endAvoidance(Record &record);
    void avoidUntil(std::string_view route, Record &record, Instant until);
    [[nodiscard]] static bool isCurrent(const Record &record, Instant now);
    /// Returns the record, empty if the one that is kept is too old to count.
    [[nodiscard]] Record &currentRecord(std::string_view route, const ServerId &server,
                                        Instant now);
    [[nodiscard]] Record *find(std::string_view route, const ServerId &server);
    [[nodiscard]] const Record *find(std::string_view route, const ServerId &server) const;
    [[nodiscard]] Comparison compare(std::string_view route, std::span<const OtherServer> others,
                                     Duration ran, Instant now) const;

    /// Keyed by the name of the route.
    std::map<std::string, Records, std::less<>> routes_;
};

} // namespace jacinthroad
