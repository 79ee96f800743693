#include <array>
#include <string_view>

#include <boost/test/unit_test.hpp>

#include "Gateway/ForwardingFields.h"

namespace jacinthroad {

namespace {

struct Field
{
    std::string_view name;
    std::string_view value;
};

/// Fields as the build ab1a2b7 has set them.
constexpr std::array<Field, 6> RequestFields { {
    { "Jacinthroad-Forwarded-By", "front-1" },
    { "Jacinthroad-Forwarded-Configuration", "9" },
    { "Jacinthroad-Forwarded-Software", "v1" },
    { "Jacinthroad-Forwarded-Repeated", "1" },
    { "Jacinthroad-Forwarded-Server", "s1" },
    { "Jacinthroad-Forwarded-Server", "s2" },
} };
constexpr std::array<Field, 4> ResultFields { {
    { "Jacinthroad-Forwarded-Result", "not_run" },
    { "Jacinthroad-Forwarded-Refusal", "no_server" },
    { "Jacinthroad-Forwarded-Server", "s1" },
    { "Jacinthroad-Forwarded-Software", "v1" },
} };
/// Outcomes as the build ab1a2b7 names them, in the order of ForwardedOutcome.
constexpr std::array<std::string_view, 5> OutcomeNames { "relayed", "declined", "not_sent",
                                                         "not_run", "unknown" };

template <std::size_t Size> HeaderFields headerOf(const std::array<Field, Size> &fields)
{
    HeaderFields header;
    for (const Field &field : fields) {
        header.insert({ field.name.data(), field.name.size() },
                      { field.value.data(), field.value.size() });
    }
    return header;
}

template <std::size_t Size>
void checkHeader(const HeaderFields &header, const std::array<Field, Size> &expected)
{
    auto field = header.begin();
    for (const Field &one : expected) {
        BOOST_REQUIRE(field != header.end());
        BOOST_TEST(std::string_view(field->name_string().data(), field->name_string().size())
                   == one.name);
        BOOST_TEST(std::string_view(field->value().data(), field->value().size()) == one.value);
        ++field;
    }
    BOOST_TEST((field == header.end()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ForwardingFieldsTest)

BOOST_AUTO_TEST_CASE(fieldsOfAnEarlierBuildAreReadInFull)
{
    HeaderFields header = headerOf(RequestFields);
    header.insert("Jacinthroad-Forwarded-Later", "7");
    const auto request = readForwardedRequest(header);
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(request->node == "front-1");
    BOOST_TEST(request->configurationVersion == 9U);
    BOOST_TEST(request->softwareVersion == "v1");
    BOOST_TEST(request->repeated);
    BOOST_REQUIRE(request->tried.size() == 2U);
    BOOST_TEST(request->tried[0].text() == "s1");
    BOOST_TEST(request->tried[1].text() == "s2");
    const auto result = readForwardedResult(headerOf(ResultFields));
    BOOST_REQUIRE(result.has_value());
    BOOST_CHECK(result->outcome == ForwardedOutcome::NotRun);
    BOOST_TEST(result->refusal == "no_server");
    BOOST_TEST(result->server.text() == "s1");
    BOOST_TEST(result->softwareVersion == "v1");
}

BOOST_AUTO_TEST_CASE(anEarlierBuildReadsFieldsOfThisOne)
{
    HeaderFields request;
    setForwardedRequest(request,
                        { .node = "front-1",
                          .configurationVersion = 9,
                          .softwareVersion = "v1",
                          .repeated = true,
                          .tried = { ServerId("s1"), ServerId("s2") } });
    checkHeader(request, RequestFields);
    HeaderFields result;
    setForwardedResult(result,
                       { .outcome = ForwardedOutcome::NotRun,
                         .refusal = "no_server",
                         .server = ServerId("s1"),
                         .softwareVersion = "v1" });
    checkHeader(result, ResultFields);
    for (std::size_t index = 0; index < OutcomeNames.size(); ++index) {
        const auto outcome = static_cast<ForwardedOutcome>(index);
        BOOST_TEST(forwardedOutcomeName(outcome) == OutcomeNames.at(index));
        const HeaderFields header = headerOf(std::array<Field, 1> {
            { { "Jacinthroad-Forwarded-Result", OutcomeNames.at(index) } } });
        const auto read = readForwardedResult(header);
        BOOST_TEST((read.has_value() && read->outcome == outcome));
    }
}

BOOST_AUTO_TEST_CASE(outcomeOfANewerBuildCostsItsResponse)
{
    HeaderFields header = headerOf(ResultFields);
    header.set("Jacinthroad-Forwarded-Result", "later");
    const auto result = readForwardedResult(header);
    BOOST_REQUIRE(result.has_value());
    BOOST_CHECK(result->outcome == ForwardedOutcome::Unknown);
    BOOST_TEST(result->server.text() == "s1");
    BOOST_TEST(result->softwareVersion == "v1");
    header.set("Jacinthroad-Forwarded-Result", "");
    BOOST_TEST(!readForwardedResult(header).has_value());
    header.erase("Jacinthroad-Forwarded-Result");
    BOOST_TEST(!readForwardedResult(header).has_value());
}

BOOST_AUTO_TEST_CASE(fieldOfANewerBuildReachesServersAndCallers)
{
    HeaderFields header = headerOf(RequestFields);
    header.insert("jacinthroad-forwarded-later", "7");
    header.insert("Jacinthroad-Forwarded-Later", "8");
    header.insert("Jacinthroad-Forward", "9");
    removeForwardingFields(header);
    checkHeader(header, std::array<Field, 1> { { { "Jacinthroad-Forward", "9" } } });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
