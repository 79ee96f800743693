#include <boost/asio/error.hpp>
#include <boost/test/unit_test.hpp>

#include "Gateway/RequestEnd.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(RequestEndTest)

BOOST_AUTO_TEST_CASE(completeResponseHasNoEndBySomethingElse)
{
    const RequestEnd end
        = requestEnd({ .responseComplete = true, .limitReached = true, .serverBrokeOff = true });
    BOOST_TEST((end == RequestEnd::Responded));
    BOOST_TEST(endedByName(end).empty());
}

BOOST_AUTO_TEST_CASE(callerThatHasLeftEndsTheRequestWhateverItsServerDoes)
{
    BOOST_TEST(
        (requestEnd({ .responseComplete = true, .callerLeft = true }) == RequestEnd::Caller));
    BOOST_TEST((requestEnd({ .callerLeft = true, .limitReached = true, .serverBrokeOff = true })
                == RequestEnd::Caller));
}

BOOST_AUTO_TEST_CASE(limitThatAStopHasShortenedIsTheStops)
{
    BOOST_TEST((requestEnd({ .limitReached = true, .serverBrokeOff = true }) == RequestEnd::Limit));
    BOOST_TEST((requestEnd({ .limitReached = true, .limitedByStop = true }) == RequestEnd::Stop));
    BOOST_TEST((requestEnd({ .limitedByStop = true }) == RequestEnd::Node));
}

BOOST_AUTO_TEST_CASE(cutWithoutAnyOfTheReasonsIsTheNodes)
{
    BOOST_TEST((requestEnd({ .serverBrokeOff = true }) == RequestEnd::Server));
    BOOST_TEST((requestEnd({}) == RequestEnd::Node));
    BOOST_TEST(endedByName(RequestEnd::Node) == "node");
}

BOOST_AUTO_TEST_CASE(responseWithoutEndIsNotEndedByItsNode)
{
    const RequestEnd end = requestEnd({ .serverBrokeOff = true, .responseTooLong = true });
    BOOST_TEST((end == RequestEnd::Size));
    BOOST_TEST(endedByName(end) == "size");
    BOOST_TEST(
        (requestEnd({ .limitReached = true, .responseTooLong = true }) == RequestEnd::Limit));
}

BOOST_AUTO_TEST_CASE(closeByThisNodeIsToldFromOneByTheOtherSide)
{
    BOOST_TEST(isOwnClose(boost::asio::error::bad_descriptor));
    BOOST_TEST(isOwnClose(boost::asio::error::operation_aborted));
    BOOST_TEST(!isOwnClose(boost::asio::error::eof));
    BOOST_TEST(!isOwnClose(boost::asio::error::connection_reset));
    BOOST_TEST(!isOwnClose(boost::asio::error::timed_out));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
