#include "Configuration/Configuration.h"

#include <boost/test/unit_test.hpp>

#include "Configuration/MergePatch.h"
#include "Configuration/PatchLog.h"
#include "Core/Json.h"

using namespace jacinthroad;

namespace {

const Instant Start = Instant() + std::chrono::hours(1);

std::string digest(char digit)
{
    return std::string(64, digit);
}

Json::Value document()
{
    return *parseJson(R"({"teams": {"a": {"key_sha256": [")" + digest('a') + R"("]}},
        "models": {"m": {"version": "v1"}},
        "backend_servers": {"s": {"zone": "z", "url": "http://127.0.0.1:1", "model": "m"}},
        "services": {"b": {"urls": ["http://127.0.0.1:2"]}}})");
}

SubmitPatch submission(SubmissionToken token, std::uint64_t base, const std::string &patch)
{
    return { .token = token,
             .base = base,
             .author = "ana",
             .nonce = "nonce-" + std::to_string(token),
             .patch = *parseJson(patch) };
}

template <typename Effect> std::vector<Effect> only(const std::vector<PatchLogEffect> &effects)
{
    std::vector<Effect> result;
    for (const PatchLogEffect &effect : effects) {
        if (const auto *typed = std::get_if<Effect>(&effect)) {
            result.push_back(*typed);
        }
    }
    return result;
}

/// Returns a log at version 1 with the document of document().
PatchLog logAtVersion1()
{
    PatchLog log;
    SubmitPatch first = submission(1, 0, "{}");
    first.patch = document();
    const auto create = only<CreatePatchObject>(log.handle(first, Start));
    BOOST_TEST_REQUIRE(create.size() == 1U);
    const auto effects = log.handle(
        PatchCreateCompleted { .version = 1, .createOutcome = CreateOutcome::Created }, Start);
    BOOST_TEST(only<ConfigurationActivated>(effects).size() == 1U);
    BOOST_TEST(only<PatchAccepted>(effects).size() == 1U);
    return log;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationTest)

BOOST_AUTO_TEST_CASE(reportsInvalidReferencesWithPathAndRemedy)
{
    Json::Value invalid = document();
    invalid["backend_servers"]["s"]["model"] = "n";
    invalid["backend_servers"]["s"]["url"] = "http://engine.example:80";
    invalid["teams"]["b"]["key_sha256"].append("short");
    std::vector<std::string> paths;
    for (const Fault &fault : checkConfiguration(invalid)) {
        paths.push_back(fault.path);
        BOOST_TEST(!fault.remedy.empty());
    }
    const std::vector<std::string> expected { "teams.b.key_sha256", "backend_servers.s.model",
                                              "backend_servers.s.url", "models.m" };
    BOOST_TEST(paths == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(callsNotListedAsRetryableAreNotRetryable)
{
    const Configuration configuration = readConfiguration(document(), 1);
    const Service &service = configuration.services.at(ServiceId("b"));
    BOOST_TEST(service.isRetryable("GET", "/stock"));
    BOOST_TEST(!service.isRetryable("POST", "/stock"));
    BOOST_TEST(!service.isRetryable("DELETE", "/"));
    BOOST_TEST(configuration.teamOfKey(digest('a'))->id.text() == "a");
    BOOST_TEST(configuration.teamOfKey(digest('b')) == nullptr);
}

BOOST_AUTO_TEST_CASE(mergePatchFollowsTheRfc)
{
    const Json::Value from = *parseJson(R"({"a": {"b": 1, "c": 2}, "d": [1]})");
    const Json::Value patch = *parseJson(R"({"a": {"b": null, "e": 3}, "d": [2]})");
    const Json::Value to = *parseJson(R"({"a": {"c": 2, "e": 3}, "d": [2]})");
    BOOST_TEST((applyMergePatch(from, patch) == to));
    BOOST_TEST((applyMergePatch(from, makeMergePatch(from, to)) == to));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PatchLogTest)

BOOST_AUTO_TEST_CASE(concurrentPatchIsRejectedWithConflictingChanges)
{
    PatchLog first = logAtVersion1();
    PatchLog second = logAtVersion1();
    const std::string firstPatch = R"({"teams": {"a": {"weight": 2}}})";
    const std::string secondPatch = R"({"teams": {"a": {"weight": 3}}})";
    const auto create = only<CreatePatchObject>(first.handle(submission(5, 1, firstPatch), Start));
    static_cast<void>(second.handle(submission(6, 1, secondPatch), Start));
    // The platform accepts the version 2 of the first operator.
    static_cast<void>(first.handle(
        PatchCreateCompleted { .version = 2, .createOutcome = CreateOutcome::Created }, Start));
    const auto reads = only<ReadPatchObject>(second.handle(
        PatchCreateCompleted { .version = 2, .createOutcome = CreateOutcome::Exists }, Start));
    BOOST_TEST_REQUIRE(reads.size() == 1U);
    const auto rejected = only<PatchRejected>(second.handle(
        PatchReadCompleted { .version = 2, .responded = true, .text = create[0].text }, Start));
    BOOST_TEST_REQUIRE(rejected.size() == 1U);
    BOOST_TEST((rejected[0].error.kind == ErrorKind::VersionConflict));
    BOOST_TEST(rejected[0].error.message.find("teams.a") != std::string::npos);
    BOOST_TEST(second.version() == 2U);
    BOOST_TEST(second.document()["teams"]["a"]["weight"].asInt() == 2);
}

BOOST_AUTO_TEST_CASE(lostCreateResponseIsResolvedByReadingObject)
{
    PatchLog log = logAtVersion1();
    const auto create = only<CreatePatchObject>(
        log.handle(submission(5, 1, R"({"teams": {"a": {"weight": 2}}})"), Start));
    static_cast<void>(log.handle(
        PatchCreateCompleted { .version = 2, .createOutcome = CreateOutcome::NoResponse }, Start));
    const auto accepted = only<PatchAccepted>(log.handle(
        PatchReadCompleted { .version = 2, .responded = true, .text = create[0].text }, Start));
    BOOST_TEST(accepted.size() == 1U);
    BOOST_TEST(log.version() == 2U);
}

BOOST_AUTO_TEST_CASE(unresolvedPatchIsReportedAsUnknown)
{
    PatchLog log = logAtVersion1();
    static_cast<void>(log.handle(submission(5, 1, R"({"teams": {"a": {"weight": 2}}})"), Start));
    static_cast<void>(log.handle(
        PatchCreateCompleted { .version = 2, .createOutcome = CreateOutcome::NoResponse }, Start));
    const auto rejected
        = only<PatchRejected>(log.handle(PatchLogTick {}, Start + std::chrono::seconds(11)));
    BOOST_TEST_REQUIRE(rejected.size() == 1U);
    BOOST_TEST((rejected[0].error.kind == ErrorKind::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(versionNeverDecreasesAndMissingPatchesAreRead)
{
    PatchLog source = logAtVersion1();
    std::vector<PatchReceived> patches;
    for (std::uint64_t version = 1; version < 5; ++version) {
        const auto create = only<CreatePatchObject>(source.handle(
            submission(version + 10, version,
                       R"({"teams": {"a": {"weight": )" + std::to_string(version + 1) + "}}}"),
            Start));
        static_cast<void>(
            source.handle(PatchCreateCompleted { .version = version + 1,
                                                 .createOutcome = CreateOutcome::Created },
                          Start));
        patches.push_back({ .version = version + 1, .text = create[0].text });
    }
    PatchLog log = logAtVersion1();
    // Patches arrive late, twice and out of order.
    const auto reads = only<ReadPatchObject>(log.handle(patches[3], Start));
    BOOST_TEST_REQUIRE(reads.size() == 1U);
    BOOST_TEST(reads[0].version == 2U);
    std::uint64_t highest = log.version();
    for (const std::size_t index : { 1U, 0U, 3U, 0U, 2U, 1U }) {
        static_cast<void>(log.handle(patches[index], Start));
        BOOST_TEST(log.version() >= highest);
        highest = log.version();
    }
    BOOST_TEST(log.version() == 5U);
    BOOST_TEST((log.document() == source.document()));
}

BOOST_AUTO_TEST_CASE(regressedPlatformIsReportedAndRepaired)
{
    PatchLog log = logAtVersion1();
    const auto effects = log.handle(PlatformVersionReceived { .version = 0 }, Start);
    BOOST_TEST(only<PlatformVersionRegressed>(effects).size() == 1U);
    BOOST_TEST(only<CreatePatchObject>(effects).size() == 1U);
    BOOST_TEST(log.version() == 1U);
    BOOST_TEST(log.handle(PlatformVersionReceived { .version = 0 }, Start).empty());
}

BOOST_AUTO_TEST_CASE(patchThatMakesConfigurationInvalidIsRejected)
{
    PatchLog log = logAtVersion1();
    const auto rejected
        = only<PatchRejected>(log.handle(submission(5, 1, R"({"models": {"m": null}})"), Start));
    BOOST_TEST_REQUIRE(rejected.size() == 1U);
    BOOST_TEST(rejected[0].error.message.find("backend_servers.s.model") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(dryRunWritesNothing)
{
    PatchLog log = logAtVersion1();
    SubmitPatch patch = submission(5, 1, R"({"teams": {"a": {"weight": 2}}})");
    patch.dryRun = true;
    const auto effects = log.handle(patch, Start);
    BOOST_TEST(only<CreatePatchObject>(effects).empty());
    BOOST_TEST(only<PatchAccepted>(effects).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
