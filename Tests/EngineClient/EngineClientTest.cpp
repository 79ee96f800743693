#include <boost/test/unit_test.hpp>

#include "EngineClient/ChatRequest.h"
#include "EngineClient/EngineHeaders.h"
#include "EngineClient/StreamRelay.h"

using namespace jacinthroad;

namespace {

std::string token(const std::string &id, int number)
{
    return "id: " + id + ":" + std::to_string(number) + "\ndata: {\"id\":\"" + id
        + "\",\"choices\":[{\"delta\":{\"content\":\" t" + std::to_string(number) + "\"}}]}\n\n";
}

std::string usageAndEnd(const std::string &id, int number)
{
    return "id: " + id + ":" + std::to_string(number) + "\ndata: {\"id\":\"" + id
        + "\",\"usage\":{\"prompt_tokens\":10,\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n"
          "data: [DONE]\n\n";
}

StreamRelay relay(std::uint32_t after = 0)
{
    return StreamRelay({ .attemptId = "r.1", .publicId = "r", .afterTokens = after });
}

} // namespace

BOOST_AUTO_TEST_SUITE(StreamRelayTest)

BOOST_AUTO_TEST_CASE(completeStreamIsForwardedWithThePublicId)
{
    StreamRelay stream = relay();
    std::string out;
    const std::string in = token("r.1", 1) + token("r.1", 2) + usageAndEnd("r.1", 2);
    for (const char character : in) {
        stream.feed({ &character, 1 }, out);
    }
    BOOST_TEST((stream.state() == RelayState::Complete));
    BOOST_TEST(out.find("r.1") == std::string::npos);
    BOOST_TEST(out.find("id: r:2\n") != std::string::npos);
    BOOST_TEST(*stream.cachedTokens() == 4U);
}

BOOST_AUTO_TEST_CASE(eventOfAnotherRequestIsNotForwarded)
{
    StreamRelay stream = relay();
    std::string out;
    stream.feed(token("r.1", 1) + token("other.1", 2) + token("r.1", 2), out);
    BOOST_TEST((stream.state() == RelayState::Crossed));
    BOOST_TEST(out.find("t2") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(duplicateTokenIsDroppedAndMissingTokenIsDetected)
{
    StreamRelay stream = relay();
    std::string out;
    stream.feed(token("r.1", 1) + token("r.1", 1) + token("r.1", 2), out);
    BOOST_TEST((stream.state() == RelayState::Open));
    BOOST_TEST(stream.lastToken() == 2U);
    stream.feed(token("r.1", 4), out);
    BOOST_TEST((stream.state() == RelayState::Crossed));
    BOOST_TEST(out.find("t4") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(resumedStreamContinuesAfterTheLastToken)
{
    StreamRelay stream = relay(5);
    std::string out;
    stream.feed(token("r.1", 6) + usageAndEnd("r.1", 6), out);
    BOOST_TEST((stream.state() == RelayState::Complete));
    BOOST_TEST(out.starts_with("id: r:6\n"));
}

BOOST_AUTO_TEST_CASE(endMarkerWithoutUsageIsMalformed)
{
    StreamRelay stream = relay();
    std::string out;
    stream.feed(token("r.1", 1) + "data: [DONE]\n\n", out);
    BOOST_TEST((stream.state() == RelayState::Malformed));
    BOOST_TEST(out.find("DONE") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(oversizedEventIsMalformed)
{
    StreamRelay stream = relay();
    std::string out;
    stream.feed("data: ", out);
    const std::string part(1 << 16, 'x');
    for (int index = 0; index < 20; ++index) {
        stream.feed(part, out);
    }
    BOOST_TEST((stream.state() == RelayState::Malformed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ChatRequestTest)

BOOST_AUTO_TEST_CASE(errorsNameTheField)
{
    const auto messageOf = [](const char *body) {
        const auto request = readChatRequest(body, true);
        return request.has_value() ? std::string("accepted") : request.error().message;
    };
    BOOST_TEST(messageOf("{").starts_with("not valid JSON"));
    BOOST_TEST(messageOf("[]") == "the body must be a JSON object");
    BOOST_TEST(messageOf("{}") == "field 'model' must be the name of a model.");
    BOOST_TEST(messageOf(R"({"model":"m"})")
               == "field 'messages' must be a list with at least one message.");
    BOOST_TEST(messageOf(R"({"model":"m","messages":[7]})")
               == "field 'messages[0].role' must be a string.");
    BOOST_TEST(
        messageOf(R"({"model":"m","max_tokens":-1,"messages":[{"role":"user","content":""}]})")
            .starts_with("field 'max_tokens'"));
    BOOST_TEST(messageOf(R"({"model":"m","messages":[{"role":"user","content":"a"}]})")
               == "accepted");
}

BOOST_AUTO_TEST_CASE(loadHeadersRoundTripAndMalformedOnesAreIgnored)
{
    const LoadReport report { .incarnation = 9,
                              .weights = "v2",
                              .load = { .inFlight = 3, .longJobs = 1, .waitingPrefill = 700 } };
    const auto parsed = readLoadReport(loadReportHeaders(report));
    BOOST_TEST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->load.waitingPrefill == 700);
    BOOST_TEST(parsed->weights == "v2");
    for (const char *malformed : { "", "1,2", "a,b,c", "1,2,nan", "-1,0,0", "1,2,1e999" }) {
        BOOST_TEST(
            !readLoadReport({ { "x-engine-incarnation", "9" }, { "x-engine-load", malformed } })
                 .has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
