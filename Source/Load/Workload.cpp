#include "Load/Workload.h"

#include <array>
#include <cmath>
#include <utility>

#include "Core/Hashing.h"
#include "PrefixIndex/PrefixKey.h"

namespace jacinthroad {

namespace {

constexpr double WarmUpFactor = 0.6;
constexpr double CrestBegins = 0.5;
constexpr double CrestEnds = 0.75;

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
          .leastHistoryTokens = 800,
          .mostHistoryTokens = 2400,
          .teamHeat = 0.9,
          .historyHeat = 0.9,
          .jobs = { { .share = 0.45, .leastOutput = 8, .mostOutput = 40 },
                    { .share = 0.5, .leastOutput = 50, .mostOutput = 110 },
                    { .share = 0.05, .leastOutput = 300, .mostOutput = 600 } },
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
          .leastHistoryTokens = 2500,
          .mostHistoryTokens = 6000,
          .teamHeat = 0.9,
          .historyHeat = 0.8,
          .jobs = { { .share = 0.78, .leastOutput = 4, .mostOutput = 14 },
                    { .share = 0.1, .leastOutput = 60, .mostOutput = 140 },
                    { .share = 0.12, .leastOutput = 500, .mostOutput = 1000 } },
          .ratedPerSecond = 26,
          .recomputePriceMsPerToken = 0.8 },
    } };
    return All;
}

/// Text of so many tokens, the same for the same seed.
std::string textOf(std::uint64_t seed, std::uint32_t tokens)
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

std::size_t Workload::zipf(std::size_t count, double exponent)
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
    const bool crest = at_ >= CrestBegins * seconds_ && at_ < CrestEnds * seconds_;
    const bool warmUp = at_ < WarmUpShare * seconds_;
    const double rate = profile_.ratedPerSecond
        * (crest        ? profile_.crestFactor
               : warmUp ? WarmUpFactor
                        : 1);
    at_ += std::exponential_distribution<double>(rate)(random_);
    if (at_ >= seconds_) {
        return std::nullopt;
    }
    PlannedRequest request;
    request.at = at_;
    request.inCrest = at_ >= CrestBegins * seconds_ && at_ < CrestEnds * seconds_;
    request.team = zipf(profile_.teams, profile_.teamHeat);
    request.toService
        = std::uniform_real_distribution<double>(0, 1)(random_) < profile_.serviceShare;
    const std::size_t guide = zipf(profile_.guides, profile_.historyHeat);
    const std::size_t history = zipf(profile_.histories, profile_.historyHeat);
    const std::uint64_t teamSeed = mix64(1, request.team);
    const std::uint64_t guideSeed = mix64(teamSeed, guide + 1000);
    const std::uint64_t historySeed = mix64(guideSeed, history + 1000000);
    const std::uint32_t spread = profile_.mostHistoryTokens - profile_.leastHistoryTokens;
    const auto historyTokens
        = profile_.leastHistoryTokens + static_cast<std::uint32_t>(historySeed % spread);
    if (!request.toService) {
        request.system = textOf(teamSeed, profile_.teamTokens)
            + textOf(guideSeed, profile_.guideTokens) + textOf(historySeed, historyTokens);
    }
    request.question = textOf(mix64(random_(), ++sent_), profile_.questionTokens);
    const JobClass &job = pickJob();
    request.outputTokens
        = std::uniform_int_distribution<std::uint32_t>(job.leastOutput, job.mostOutput)(random_);
    request.lengthClass = lengthClassOf(request.outputTokens);
    if (job.tellsBound) {
        request.maxTokens = job.mostOutput;
    }
    return request;
}

} // namespace jacinthroad
