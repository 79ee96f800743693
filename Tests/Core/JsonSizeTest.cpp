#include <fstream>
#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <malloc.h>

#include "Core/Json.h"
#include "Core/JsonExtents.h"

namespace jacinthroad {

namespace {

/// A text whose part its sender repeats up to the largest size of a response.
struct LongText
{
    const char *name;
    std::string begin;
    std::string part;
    std::string end;
};

std::ostream &operator<<(std::ostream &stream, const LongText &text)
{
    return stream << text.name;
}

std::vector<LongText> longTexts()
{
    return {
        { "lists", "[0", ",[]", "]" },
        { "objects", "[0", ",{}", "]" },
        { "numbers", "[0", ",1", "]" },
        { "strings", "[0", ",\"\"", "]" },
        { "members", "[{\"a\":0", "},{\"a\":0", "}]" },
        { "colons", "[0", ",:", "]" },
        { "lists of lists", "[0", ",[[[[]]]]", "]" },
        { "lists behind a comment with a quote", "[/*\"*/0", ",[]", "]" },
        { "lists behind a line with a quote", "[//\"\n0", ",[]", "]" },
        { "lists behind a string with an escaped quote", "[\"\\\\\\\"\"", ",[]", "]" },
        { "lists that don't end", "[0", ",[]", "" },
        { "nesting", "", "[", "" },
        { "nesting of objects", "", "{\"a\":", "" },
        { "digits", "[", "9", "]" },
        { "digits that don't end", "", "9", "" },
        { "spaces", "[", " ", "]" },
        { "comments", "[", "/**/", "]" },
        { "string", "[\"", "x", "\"]" },
        { "escapes", "[\"", "\\u0001", "\"]" },
        { "string that doesn't end", "[\"", "x", "" },
    };
}

constexpr std::size_t TextBytes = 8 * 1024 * 1024;

std::string textOf(const LongText &form)
{
    std::string text = form.begin;
    text.reserve(TextBytes + 64);
    while (text.size() < TextBytes) {
        text += form.part;
    }
    return text + form.end;
}

/// Memory in bytes that the allocator has handed out.
std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

BOOST_AUTO_TEST_SUITE(JsonSizeTest)

BOOST_DATA_TEST_CASE(textOfTheLargestSizeTakesManyTimesItsMemory, longTexts(), form)
{
    // The characters of its strings, and all values.
    constexpr std::size_t MostBytes = TextBytes + MaximumJsonMemory;
    const std::string text = textOf(form);
    const std::size_t before = allocatedBytes();
    const auto value = parseJson(text);
    BOOST_TEST(allocatedBytes() <= before + MostBytes);
    if (!value.has_value()) {
        BOOST_TEST(value.error().message.size() < 1000U);
    }
}

BOOST_DATA_TEST_CASE(memoryOfATextIsUnderestimated, longTexts(), form)
{
    constexpr std::size_t MostBytes = MaximumJsonMemory * 15 / 16;
    std::string text = form.begin;
    for (std::size_t size = 0; size + 160 <= MostBytes; size += 160) {
        text += form.part;
    }
    text += form.end;
    const auto estimate = estimateJsonMemory(text);
    const std::size_t before = allocatedBytes();
    const auto value = parseJson(text);
    const std::size_t after = allocatedBytes();
    if (value.has_value()) {
        BOOST_TEST_REQUIRE(estimate.has_value());
        BOOST_TEST(after <= before + *estimate + text.size() + 65536);
    }
}

BOOST_AUTO_TEST_CASE(textWithinTheLimitsIsRefused)
{
    const std::string nested = std::string(64, '[') + std::string(64, ']');
    BOOST_TEST(parseJson(nested).has_value());
    BOOST_TEST(!parseJson("[" + nested + "]").has_value());
    // About the densest list of the store.
    std::string servers = "{\"items\":[0";
    while (servers.size() < 1024 * 1024) {
        servers += R"(,{"metadata":{"name":"r1","revision":12},"spec":{"service":"s","zone":"z",)"
                   R"("version":"1","slotCount":8,"state":"ready","coldLeftMs":0,"seq":12}})";
    }
    BOOST_TEST(parseJson(servers + "]}").has_value());
    // Tokens of a long prompt.
    std::string tokens = "[0";
    for (int count = 0; count < 128 * 1024; ++count) {
        tokens += ",1";
    }
    BOOST_TEST(parseJson(tokens + "]").has_value());
}

BOOST_AUTO_TEST_CASE(bracketsOfStringsAndCommentsAreCounted)
{
    BOOST_TEST(*estimateJsonMemory(R"(["[[[[{", "\",[[[["])") == 160U + 2 * 128U);
    BOOST_TEST(*estimateJsonMemory(R"(["\\",[],[]])") == 3 * 160U + 128U);
    BOOST_TEST(*estimateJsonMemory("[1 /* [[[[ */, 2 // [[[[\n]") == 160U + 2 * 96U);
    BOOST_TEST(*estimateJsonMemory(R"({"a" : 1, "b":"c"})") == 160U + 2 * 32U + 96U + 128U);
}

BOOST_AUTO_TEST_CASE(textsThatShareALimitTakeMoreMemoryTogether)
{
    std::size_t left = 1000;
    BOOST_TEST(parseJson("[1,2,3]", left).has_value());
    BOOST_TEST(left == 1000U - 160U - 3 * 96U);
    BOOST_TEST(!parseJson("[1,2,3,4,5,6]", left).has_value());
    BOOST_TEST(left == 0U);
    BOOST_TEST(!parseJson("1", left).has_value());
}

BOOST_AUTO_TEST_CASE(elementsWithoutEndAreFound)
{
    const std::string text = textOf({ "", "[0", ",0", "]" });
    BOOST_TEST(!jsonElements(text).has_value());
    const std::string members = textOf({ "", "{\"\":0", ",\"\":0", "}" });
    BOOST_TEST(!jsonMembers(members).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
