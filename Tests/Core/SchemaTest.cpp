#include "Core/Schema.h"

#include <array>

#include <boost/test/unit_test.hpp>

#include "Core/ErrorKind.h"
#include "Core/Hashing.h"
#include "Core/Json.h"

using namespace jacinthroad;

namespace {

constexpr std::array<std::string_view, 2> Colours { "red", "blue" };
constexpr std::array<FieldRule, 3> Fields { {
    { .name = "name", .type = FieldType::String, .required = true, .help = "a name" },
    { .name = "weight",
      .type = FieldType::Number,
      .defaultText = "2.5",
      .minimum = 1,
      .maximum = 9,
      .unit = "kg" },
    { .name = "colour", .type = FieldType::String, .choices = Colours },
} };
constexpr ObjectSchema Schema { "Thing", Fields };

} // namespace

BOOST_AUTO_TEST_SUITE(SchemaTest)

BOOST_AUTO_TEST_CASE(reportsEveryFaultWithLineAndRemedy)
{
    const std::string text = "{\n  \"weigth\": 3,\n  \"weight\": 12,\n  \"colour\": \"green\"\n}\n";
    const auto faults = checkAgainst(Schema, *parseJson(text));
    BOOST_TEST_REQUIRE(faults.size() == 4U);
    BOOST_TEST(describeFault(faults[0], "f", text)
               == "f:1: field 'name': is missing. Add it: a name");
    BOOST_TEST(describeFault(faults[1], "f", text)
               == "f:2: field 'weigth': is not a known field. Did you mean 'weight'?");
    BOOST_TEST(describeFault(faults[2], "f", text)
               == "f:3: field 'weight': is 12, outside its range. Use 1 to 9 kg.");
    BOOST_TEST(describeFault(faults[3], "f", text)
               == "f:4: field 'colour': has the unknown value 'green'. Use one of: red, blue.");
}

BOOST_AUTO_TEST_CASE(absentFieldHasDefault)
{
    const Json::Value value = *parseJson("{\"name\": \"a\"}");
    BOOST_TEST(FieldReader(Schema, value).number("weight") == 2.5);
    BOOST_TEST(FieldReader(Schema, value).text("name") == "a");
}

BOOST_AUTO_TEST_CASE(parserAcceptsCommentsAndRejectsDuplicateKeys)
{
    BOOST_TEST(parseJson("{ // a comment\n \"a\": 1 }").has_value());
    BOOST_TEST(!parseJson("{\"a\": 1, \"a\": 2}").has_value());
    BOOST_TEST(!parseJson("{\"a\": 1} trailing").has_value());
    BOOST_TEST(!parseJson(std::string(100000, '[')).has_value());
}

BOOST_AUTO_TEST_CASE(everyErrorKindHasAResponse)
{
    for (const ErrorResponse &response : errorResponses()) {
        BOOST_TEST(!response.name.empty());
        BOOST_TEST(!response.remedy.empty());
        BOOST_TEST(response.status >= 400);
        BOOST_TEST(&errorResponse(response.kind) == &response);
    }
}

BOOST_AUTO_TEST_CASE(comparesWholeKeys)
{
    BOOST_TEST(sha256Hex("abc")
               == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    BOOST_TEST(equalConstantTime("same", "same"));
    BOOST_TEST(!equalConstantTime("same", "samd"));
    BOOST_TEST(!equalConstantTime("same", "sam"));
}

BOOST_AUTO_TEST_SUITE_END()
