#include <map>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Fleet/OddEntries.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(OddEntriesTest)

BOOST_AUTO_TEST_CASE(entryThatStaysOddIsLoggedOnce)
{
    OddEntries entries;
    BOOST_TEST(entries.noteOdd("a", "no address"));
    BOOST_TEST(!entries.noteOdd("a", "no address"));
    BOOST_TEST(entries.noteOdd("b", "no address"));
    BOOST_TEST(entries.noteOdd("a", "no zone"));
    BOOST_TEST(!entries.noteOdd("a", "no zone"));
    entries.noteUsable("a");
    BOOST_TEST(entries.noteOdd("a", "no zone"));
    entries.keepListed(std::map<std::string, int> { { "a", 1 } });
    BOOST_TEST(!entries.noteOdd("a", "no zone"));
    BOOST_TEST(entries.noteOdd("b", "no address"));
}

BOOST_AUTO_TEST_CASE(textOfAnotherWriterIsBoundedAndPrintable)
{
    BOOST_TEST(loggableText("i-7f is fine") == "i-7f is fine");
    BOOST_TEST(loggableText("a\r\nb\xff\x7f" + std::string(1, '\0')) == "a??b???");
    BOOST_TEST(loggableText(std::string(1000000, 'x')).size() == 160U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
