#include "Load/Workload.h"

#include <array>
#include <cmath>
#include <utility>

#include "Core/Hashing.h"
#include "PrefixIndex/PrefixKey.h"

namespace jacinthroad {

namespace {

constexpr double WarmUpRateFactor = 0.6;
constexpr double PeakStart = 0.5;
constexpr double PeakEnd = 0.75;

const std::array<Profile, 2> &profiles()
{
    static const std::array<Profile, 2> All { {
        { .name = "lienzo-andino",
          .model = "orientador",
          .service = "turnos-prestamo",
          .zones = { "aburra-norte", "aburra-sur", "aburra-este", "aburra-oeste" },
          .engines = 12,
          .serviceInstances = 4,
          .guides = 4,
          .histories = 10,
          .teamTokens = 1200,
          .guideTokens = 1400,
          .minHistoryTokens = 800,
          .maxHistoryTokens = 2400,
          .teamZipfExponent = 0.9,
          .historyZipfExponent = 0.9,
          .jobs = { { .share = 0.45, .minOutputTokens = 8, .maxOutputTokens = 40 },
                    { .share = 0.5, .minOutputTokens = 50, .maxOutputTokens = 110 },
                    { .share = 0.05, .minOutputTokens = 300, .maxOutputTokens = 600 } },
          .ratedPerSecond = 26,
          .recomputePriceMsPerToken = 0.4 },
        { .name = "drenthe",
          .model = "voerbrein",
          .service = "depot",
          .zones = { "assen", "emmen", "hoogeveen" },
          .engines = 18,
          .serviceInstances = 3,
          .guides = 4,
          .histories = 12,
          .teamTokens = 1000,
          .guideTokens = 1200,
          .minHistoryTokens = 2500,
          .maxHistoryTokens = 6000,
          .teamZipfExponent = 0.9,
          .historyZipfExponent = 0.8,
          .jobs = { { .share = 0.78, .minOutputTokens = 4, .maxOutputTokens = 14 },
                    { .share = 0.1, .minOutputTokens = 60, .maxOutputTokens = 140 },
                    { .share = 0.12, .minOutputTokens = 500, .maxOutputTokens = 1000 } },
          .ratedPerSecond = 26,
          .recomputePriceMsPerToken = 0.8 },
    } };
    return All;
}

/// Generates a text of `tokens` tokens, the same for the same seed.
std::string makeText(std::uint64_t seed, std::uint32_t tokens)
{
    constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz     ";
    const std::size_t bytes = std::size_t { tokens } * BytesPerToken;
    std::string text;
    text.reserve(bytes);
    std::uint64_t state = seed;
    while (text.size() < bytes) {
        state = mix64(state, text.size());
        text.push_back(Letters[state % Letters.size()]);
    }
    return text;
}

} // namespace

std::optional<Profile> findProfile(std::string_view name)
{
    for (const Profile &profile : profiles()) {
        if (profile.name == name) {
            return profile;
        }
    }
    return std::nullopt;
}

std::vector<std::string_view> profileNames()
{
    std::vector<std::string_view> names;
    for (const Profile &profile : profiles()) {
        names.push_back(profile.name);
    }
    return names;
}

std::string teamName(std::size_t team)
{
    return "team-" + std::to_string(team);
}

Workload::Workload(Profile profile, double seconds, std::uint64_t seed)
    : profile_(std::move(profile))
    , seconds_(seconds)
    , random_(seed)
{ }

std::size_t Workload::drawZipf(std::size_t count, double exponent)
{
    std::vector<double> weights(count);
    for (std::size_t rank = 0; rank < count; ++rank) {
        weights[rank] = 1 / std::pow(static_cast<double>(rank + 1), exponent);
    }
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random_);
}

const JobClass &Workload::pickJob()
{
    std::vector<double> shares;
    for (const JobClass &job : profile_.jobs) {
        shares.push_back(job.share);
    }
    return profile_
        .jobs[std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random_)];
}

std::optional<PlannedRequest> Workload::next()
{
    const bool peak = atSeconds_ >= PeakStart * seconds_ && atSeconds_ < PeakEnd * seconds_;
    const bool warmUp = atSeconds_ < WarmUpShare * seconds_;
    const double rate = profile_.ratedPerSecond
        * (peak         ? profile_.peakFactor
               : warmUp ? WarmUpRateFactor
                        : 1);
    atSeconds_ += std::exponential_distribution<double>(rate)(random_);
    if (atSeconds_ >= seconds_) {
        return std::nullopt;
    }
    PlannedRequest request;
    request.atSeconds = atSeconds_;
    request.inPeak = atSeconds_ >= PeakStart * seconds_ && atSeconds_ < PeakEnd * seconds_;
    request.team = drawZipf(profile_.teams, profile_.teamZipfExponent);
    request.toService
        = std::uniform_real_distribution<double>(0, 1)(random_) < profile_.serviceShare;
    const std::size_t guide = drawZipf(profile_.guides, profile_.historyZipfExponent);
    const std::size_t history = drawZipf(profile_.histories, profile_.historyZipfExponent);
    const std::uint64_t teamSeed = mix64(1, request.team);
    const std::uint64_t guideSeed = mix64(teamSeed, guide + 1000);
    const std::uint64_t historySeed = mix64(guideSeed, history + 1000000);
    const std::uint32_t spread = profile_.maxHistoryTokens - profile_.minHistoryTokens;
    const auto historyTokens
        = profile_.minHistoryTokens + static_cast<std::uint32_t>(historySeed % spread);
    if (!request.toService) {
        request.system = makeText(teamSeed, profile_.teamTokens)
            + makeText(guideSeed, profile_.guideTokens) + makeText(historySeed, historyTokens);
    }
    request.question = makeText(mix64(random_(), ++requestCount_), profile_.questionTokens);
    const JobClass &job = pickJob();
    request.outputTokens = std::uniform_int_distribution<std::uint32_t>(
        job.minOutputTokens, job.maxOutputTokens)(random_);
    request.lengthClass = lengthClassOf(request.outputTokens);
    if (job.sendsMaxTokens) {
        request.maxTokens = job.maxOutputTokens;
    }
    return request;
}

} // namespace jacinthroad
