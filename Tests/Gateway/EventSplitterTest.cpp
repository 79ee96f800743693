#include <boost/test/unit_test.hpp>

#include "Gateway/EventSplitter.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(EventSplitterTest)

BOOST_AUTO_TEST_CASE(holdsPartialEventsUntilComplete)
{
    EventSplitter events;
    BOOST_TEST(events.feed("id: 1\ndata: a\n") == "");
    BOOST_TEST(events.hasPartialEvent());
    BOOST_TEST(events.feed("\nid: 2\nda") == "id: 1\ndata: a\n\n");
    BOOST_TEST(events.lastId() == "1");
    BOOST_TEST(events.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
    BOOST_TEST(!events.hasPartialEvent());
}

BOOST_AUTO_TEST_CASE(acceptsInputOneByteAtATime)
{
    const std::string stream = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n: comment\n\nid: 3\n\n";
    EventSplitter events;
    std::string out;
    for (const char byte : stream) {
        out += events.feed({ &byte, 1 });
    }
    BOOST_TEST(out == stream);
    BOOST_TEST(events.lastId() == "3");
}

BOOST_AUTO_TEST_CASE(eventsEndAtTheFirstBlankLineOfEitherKind)
{
    const std::string stream = "id: 1\r\n\r\n\nid: 2\n\r\n\r\nid: 3\r\n\nid: 4\n\n\r\n\r\nid: ";
    for (std::size_t first = 0; first <= stream.size(); ++first) {
        EventSplitter events;
        std::string out = events.feed(stream.substr(0, first));
        out += events.feed(stream.substr(first));
        BOOST_TEST(out == stream.substr(0, stream.size() - 4));
        BOOST_TEST(events.partialEvent() == "id: ");
        BOOST_TEST(events.lastId() == "4");
    }
}

BOOST_AUTO_TEST_CASE(resumedStreamSkipsDuplicatesAndPartialEvent)
{
    EventSplitter events;
    BOOST_TEST(events.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    events.startResumedStream();
    BOOST_TEST(events.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    BOOST_TEST(events.lastId() == "2");
}

BOOST_AUTO_TEST_CASE(brokenStreamLeavesMemoryOfItsPartialEvent)
{
    EventSplitter events;
    BOOST_TEST(events.feed("id: 1\n\ndata: " + std::string(250'000, 'x')) == "id: 1\n\n");
    events.startResumedStream();
    BOOST_TEST(events.heldBytes() < 1024U);
}

BOOST_AUTO_TEST_CASE(nextEventKeepsMemoryOfCompleteOne)
{
    for (const std::size_t next : { 0U, 10U, 16'000U }) {
        EventSplitter events;
        BOOST_TEST(events.feed("data: " + std::string(250'000, 'x')) == "");
        BOOST_TEST(events.feed("\n\n" + std::string(next, ':')).size() == 250'008U);
        BOOST_TEST(events.partialEvent() == std::string(next, ':'));
        BOOST_TEST(events.heldBytes() < next + 1024U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
