#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <malloc.h>

#include "platform/Store.h"

namespace jacinthroad::platform {

namespace {

/// A list of the largest size that consists of one entry, again and again.
struct LongList
{
    const char *name;
    std::string entry;
    SpecForm form;
};

std::ostream &operator<<(std::ostream &stream, const LongList &list)
{
    return stream << list.name;
}

std::vector<LongList> longLists()
{
    std::vector<LongList> lists;
    std::string emptyLists = "[]";
    while (emptyLists.size() < 64 * 1024) {
        emptyLists += ",[]";
    }
    const std::string named = R"({"metadata":{"name":"n","revision":1},"spec":[)" + emptyLists;
    for (const SpecForm form : { SpecForm::Tree, SpecForm::Text }) {
        lists.push_back({ "empty objects", "{}", form });
        lists.push_back({ "numbers", "1", form });
        lists.push_back({ "objects of many values", named + "]}", form });
        lists.push_back({ "objects of many values that no parser accepts",
                          named + R"(],"status":"\x"})", form });
        lists.push_back({ "metadata of many values",
                          R"({"metadata":{"name":"n","other":[)" + emptyLists + "]}}", form });
    }
    return lists;
}

constexpr std::size_t TextBytes = 8 * 1024 * 1024;
/// The text of specs, the values of a response, and its entries.
constexpr std::size_t MostBytes = TextBytes + 48 * 1024 * 1024;

std::string bodyOf(const std::string &list, const std::string &entry)
{
    std::string body = "{\"" + list + "\":[" + entry;
    while (body.size() < TextBytes) {
        body += "," + entry;
    }
    return body + R"(],"currentRev":7,"hasMore":false})";
}

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreResponseSizeTest)

BOOST_DATA_TEST_CASE(listOfTheLargestSizeTakesManyTimesItsMemory, longLists(), list)
{
    const std::string body = bodyOf("items", list.entry);
    const std::size_t before = allocatedBytes();
    const auto page = readPage(body, list.form);
    BOOST_TEST(allocatedBytes() <= before + MostBytes);
}

BOOST_DATA_TEST_CASE(changesOfTheLargestSizeTakeManyTimesTheirMemory, longLists(), list)
{
    const std::string body = bodyOf("events", R"({"object":)" + list.entry + "}");
    const std::size_t before = allocatedBytes();
    const auto changes = readChanges(body, list.form);
    BOOST_TEST(allocatedBytes() <= before + MostBytes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad::platform
