#include "Placement/UnfinishedResponses.h"

#include <algorithm>
#include <cmath>

namespace jacinthroad {

namespace {

/// Longest time for which a sound server may be silent before it goes on.
constexpr Duration LongestSoundSilence = milliseconds(2600);
/// An attempt is compared with this multiple of what the other servers take.
constexpr int OverdueFactor = 10;
/// Weight of one more request in the share of unfinished ones.
constexpr double RequestWeight = 1.0 / 32;
/// What is known of the others before their first requests, and the smallest share of unfinished
/// ones that they are taken to have.
constexpr double PriorRequests = 10;
constexpr double PriorUnfinished = 0.5;
constexpr double SmallestUsualShare = 0.01;
/// Share from which the requests, or the service, are to blame.
constexpr double LargestUsualShare = 0.2;
/// Share of requests that a server at fault leaves unfinished at least.
constexpr double FaultyShare = 0.5;
/// Logarithm of the likelihood ratio from which a server is avoided. Three requests in a row reach
/// it if the others answer all.
constexpr double SufficientEvidence = 11.5;
/// Time without an answer of the others after which the service is taken to have come to a halt.
constexpr Duration HaltTime = std::chrono::seconds(2);
/// Answered trials that end an avoidance.
constexpr unsigned SufficientAnswers = 4;
/// Time for which the end of a request counts.
constexpr Duration RecordLifetime = std::chrono::minutes(2);
/// Number of routes, also earlier ones, whose records are kept.
constexpr std::size_t MaxRoutes = 4096;

} // namespace

void UnfinishedResponses::noteRequest(Record &record, bool unfinished)
{
    record.requests += 1 - RequestWeight * record.requests;
    record.unfinished += (unfinished ? 1 : 0) - RequestWeight * record.unfinished;
}

double UnfinishedResponses::evidence(const Record &record, double usualShare)
{
    return record.unfinishedRun * std::log(FaultyShare / usualShare)
        + record.answeredRun * std::log((1 - FaultyShare) / (1 - usualShare));
}

void UnfinishedResponses::endAvoidance(Record &record)
{
    record.avoided = false;
    record.unfinishedRun = 0;
    record.answeredRun = 0;
}

bool UnfinishedResponses::isCurrent(const Record &record, Instant now)
{
    const Instant latest
        = std::max({ record.answeredAt, record.unfinishedAt, record.avoidedUntil });
    return latest != Instant() && now - latest < RecordLifetime;
}

UnfinishedResponses::Record &UnfinishedResponses::currentRecord(std::string_view route,
                                                                const ServerId &server, Instant now)
{
    auto records = routes_.find(route);
    if (records == routes_.end()) {
        if (routes_.size() >= MaxRoutes) {
            routes_.clear();
        }
        records = routes_.try_emplace(std::string(route)).first;
    }
    Record &record = records->second.servers[server];
    if (!isCurrent(record, now)) {
        record = {};
    }
    return record;
}

const UnfinishedResponses::Record *UnfinishedResponses::find(std::string_view route,
                                                             const ServerId &server) const
{
    const auto records = routes_.find(route);
    if (records == routes_.end()) {
        return nullptr;
    }
    const auto record = records->second.servers.find(server);
    return record == records->second.servers.end() ? nullptr : &record->second;
}

UnfinishedResponses::Record *UnfinishedResponses::find(std::string_view route,
                                                       const ServerId &server)
{
    const auto records = routes_.find(route);
    if (records == routes_.end()) {
        return nullptr;
    }
    const auto record = records->second.servers.find(server);
    return record == records->second.servers.end() ? nullptr : &record->second;
}

void UnfinishedResponses::noteAnswered(std::string_view route, const ServerId &server,
                                       Duration after, Instant now)
{
    Record &record = currentRecord(route, server, now);
    record.answers.note(after);
    record.answeredAt = now;
    noteRequest(record, false);
    if (record.avoided && now - after < record.avoidedSince) {
        return;
    }
    record.answeredRun += record.unfinishedRun > 0 ? 1 : 0;
    if (!record.avoided) {
        return;
    }
    record.avoidedUntil = now;
    if (++record.trialAnswers >= SufficientAnswers) {
        endAvoidance(record);
    }
}

UnfinishedResponses::Comparison UnfinishedResponses::compare(std::string_view route,
                                                             std::span<const OtherServer> others,
                                                             Duration ran, Instant now) const
{
    Comparison comparison;
    std::size_t known = 0;
    const auto records = routes_.find(route);
    double requests = PriorRequests;
    double unfinished = PriorUnfinished;
    std::size_t answering = 0;
    std::size_t quick = 0;
    for (const OtherServer &other : others) {
        const auto found = records->second.servers.find(other.id);
        if (found == records->second.servers.end() || !isCurrent(found->second, now)) {
            continue;
        }
        const Record &record = found->second;
        ++known;
        if (record.avoided) {
            continue;
        }
        requests += record.requests;
        unfinished += record.unfinished;
        const std::optional<Duration> usual = record.answers.estimate();
        if (!usual.has_value()) {
            continue;
        }
        const bool ready = other.idle && record.answeredAt > record.unfinishedAt;
        const Duration age = now - record.answeredAt;
        answering += ready || age <= std::max(ran, HaltTime) ? 1 : 0;
        // Where the whole service has come to a halt, the others' answers are older.
        if ((ready || age <= ran / 2) && *usual * OverdueFactor <= ran) {
            ++quick;
            comparison.usual = std::max(comparison.usual, *usual);
        }
    }
    comparison.unfinishedShare = std::max(SmallestUsualShare, unfinished / requests);
    comparison.answering = answering > 0 && 2 * answering >= known;
    comparison.quick = quick > 0 && 2 * quick >= known;
    return comparison;
}

std::optional<UnfinishedResponses::Avoidance>
UnfinishedResponses::noteUnfinished(std::string_view route, const ServerId &server,
                                    std::span<const OtherServer> others,
                                    const UnfinishedAttempt &attempt, Instant now)
{
    Record &record = currentRecord(route, server, now);
    record.unfinishedAt = now;
    const Duration ran = now - attempt.sentAt - attempt.callerTime
        - std::min(attempt.longestSilence, LongestSoundSilence);
    const Comparison comparison = compare(route, others, ran, now);
    const bool sentSince = record.avoided && attempt.sentAt >= record.avoidedSince;
    if (attempt.withoutMemory ? !comparison.answering : !comparison.quick) {
        // Where the others are no better, there is no reason to avoid this one.
        if (sentSince && !comparison.answering) {
            endAvoidance(record);
        }
        return std::nullopt;
    }
    noteRequest(record, true);
    if (record.avoided && !sentSince) {
        return std::nullopt;
    }
    if (!record.avoided && evidence(record, comparison.unfinishedShare) <= 0) {
        record.unfinishedRun = 0;
        record.answeredRun = 0;
    }
    ++record.unfinishedRun;
    if (comparison.unfinishedShare > LargestUsualShare
        || evidence(record, comparison.unfinishedShare) < SufficientEvidence) {
        if (record.avoided) {
            endAvoidance(record);
        }
        return std::nullopt;
    }
    if (record.avoided) {
        record.interval = std::min(2 * record.interval, LongestAvoidance);
    } else {
        record.avoided = true;
        record.avoidedSince = now;
        record.interval = FirstAvoidance;
    }
    record.trialAnswers = 0;
    avoidUntil(route, record, now + record.interval);
    return Avoidance { .time = record.interval, .ran = ran, .usual = comparison.usual };
}

void UnfinishedResponses::avoidUntil(std::string_view route, Record &record, Instant until)
{
    record.avoidedUntil = until;
    Records &records = routes_.find(route)->second;
    records.avoidedUntil = std::max(records.avoidedUntil, until);
}

void UnfinishedResponses::noteSending(std::string_view route, const ServerId &server, Instant now)
{
    Record *record = find(route, server);
    if (record != nullptr && record->avoided && record->avoidedUntil <= now) {
        avoidUntil(route, *record, now + record->interval);
    }
}

void UnfinishedResponses::forget(const ServerId &server)
{
    for (auto &[route, records] : routes_) {
        records.servers.erase(server);
    }
}

bool UnfinishedResponses::avoidsAny(std::string_view route, Instant now) const
{
    const auto records = routes_.find(route);
    return records != routes_.end() && records->second.avoidedUntil > now;
}

bool UnfinishedResponses::avoided(std::string_view route, const ServerId &server, Instant now) const
{
    const Record *record = find(route, server);
    return record != nullptr && record->avoided && record->avoidedUntil > now;
}

} // namespace jacinthroad
