#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "Admission/LengthClass.h"

namespace jacinthroad {

/// A class of jobs, by the length of their output.
struct JobClass
{
    /// Share of the requests.
    double share = 0;
    std::uint32_t minOutputTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /// Whether requests state their maximum output length as max_tokens.
    bool sendsMaxTokens = true;
};

/// A kind of traffic, in model time. Prompts share nested prefixes: a text of the team, a guide of
/// the team, a history or conversation under the guide, and a question, which is unique.
struct Profile
{
    std::string_view name;
    std::string_view model;
    std::string_view service;
    std::vector<std::string_view> zones;
    std::size_t engines = 0;
    std::size_t serviceInstances = 0;
    std::size_t teams = 8;
    std::size_t guides = 0;
    std::size_t histories = 0;
    std::uint32_t teamTokens = 0;
    std::uint32_t guideTokens = 0;
    std::uint32_t minHistoryTokens = 0;
    std::uint32_t maxHistoryTokens = 0;
    std::uint32_t questionTokens = 60;
    /// Exponents of the Zipf distributions of teams, and of guides and histories.
    double teamZipfExponent = 1;
    double historyZipfExponent = 1;
    std::vector<JobClass> jobs;
    /// Requests per second between the warm-up and the peak, and after the peak.
    double ratedPerSecond = 0;
    /// Request rate in the peak as a multiple of the rated one.
    double peakFactor = 3;
    /// Share of requests that go to the plain service.
    double serviceShare = 0.05;
    double recomputePriceMsPerToken = 0.05;
    std::size_t cacheBlocks = 1500;
    std::uint32_t slots = 12;
};

/// Returns the profile `lienzo-andino` or `drenthe`; nothing for other names.
[[nodiscard]] std::optional<Profile> findProfile(std::string_view name);

/// The names of all profiles.
[[nodiscard]] std::vector<std::string_view> profileNames();

/// A request of a workload.
struct PlannedRequest
{
    /// Seconds of model time from the start of the run to the sending.
    double atSeconds = 0;
    std::size_t team = 0;
    bool toService = false;
    bool inPeak = false;
    LengthClass lengthClass = LengthClass::Normal;
    std::uint32_t outputTokens = 0;
    std::optional<std::uint32_t> maxTokens;
    /// Text of the system message; empty for the plain service.
    std::string system;
    std::string question;
};

/// The name of a team of a profile, such as `team-3`.
[[nodiscard]] std::string teamName(std::size_t team);

/// Share of a run that warms the caches at a lower rate; latency and compute figures exclude it.
inline constexpr double WarmUpShare = 0.3;

/// Generates the requests of a run in order of time, the same for the same seed. Arrivals are a
/// Poisson process whose rate is lower in the warm-up and multiplied in the peak, which lasts from
/// a half to three quarters of the run.
class Workload
{
public:
    /// `seconds` is the length of the run in model time.
    Workload(Profile profile, double seconds, std::uint64_t seed);

    /// Returns the next request; nothing after the end of the run.
    [[nodiscard]] std::optional<PlannedRequest> next();

    [[nodiscard]] const Profile &profile() const { return profile_; }

private:
    [[nodiscard]] std::size_t drawZipf(std::size_t count, double exponent);
    [[nodiscard]] const JobClass &pickJob();

    Profile profile_;
    double seconds_;
    std::mt19937_64 random_;
    double atSeconds_ = 0;
    std::uint64_t requestCount_ = 0;
};

} // namespace jacinthroad
