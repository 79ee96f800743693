#include <string>

#include <boost/test/unit_test.hpp>

#include "Core/JsonExtents.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(JsonExtentsTest)

BOOST_AUTO_TEST_CASE(findsElementsAndMembersOfAnyDepthAndType)
{
    const std::string deep = std::string(1000000, '[') + std::string(1000000, ']');
    const std::string text = R"( [ {"a":"]},{\"\\"} , 1e999,"x , y",)" + deep + ", null ] ";
    const auto elements = jsonElements(text);
    BOOST_REQUIRE(elements.has_value());
    BOOST_REQUIRE(elements->size() == 5U);
    BOOST_TEST((*elements)[0] == R"({"a":"]},{\"\\"})");
    BOOST_TEST((*elements)[1] == "1e999");
    BOOST_TEST((*elements)[2] == R"("x , y")");
    BOOST_TEST((*elements)[3] == deep);
    BOOST_TEST((*elements)[4] == "null");
    const auto members = jsonMembers(R"({ "a" : {"b":[1,2]} , "c":3 , "a":"" })");
    BOOST_REQUIRE(members.has_value());
    BOOST_REQUIRE(members->size() == 3U);
    BOOST_TEST((*members)[0].name == "a");
    BOOST_TEST((*members)[0].value == R"({"b":[1,2]})");
    BOOST_TEST((*members)[1].value == "3");
    BOOST_TEST((*members)[2].value == R"("")");
    BOOST_TEST(jsonElements("[]")->empty());
    BOOST_TEST(jsonMembers(" { } ")->empty());
}

BOOST_AUTO_TEST_CASE(textWithoutAnEndHasNoExtents)
{
    for (const char *text : { "", "[", "]", "[1", "[1,", "[1,]", "[,]", "[\"", "[\"\\", "[\"\\\"]",
                              "[1]2", "[{]", "{}" }) {
        BOOST_TEST(!jsonElements(text).has_value(), text);
    }
    for (const char *text : { "", "{", "{\"a\"}", "{\"a\":}", "{\"a\":1", "{\"a\":1,}", "{a:1}",
                              "{\"a\":1}}", "[]" }) {
        BOOST_TEST(!jsonMembers(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
