#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "UnboundedResponses.h"

namespace jacinthroad {

namespace data = boost::unit_test::data;

BOOST_AUTO_TEST_SUITE(UnboundedStreamTest)

/// Each form of a response and of its events times each reader of a stream.
BOOST_DATA_TEST_CASE(readerTakesMoreThanItsLimit,
                     data::make({ ResponseReader::Stream, ResponseReader::TakeUp })
                         * data::make(unboundedHeads() + unboundedChunks()
                                      + unboundedResponseParts() + unboundedEvents()),
                     reader, input)
{
    checkUnboundedResponse(reader, input);
}

/// The report that is read before a stream while several versions serve.
BOOST_DATA_TEST_CASE(reportTakesMoreThanItsLimit,
                     data::make(unboundedHeads() + unboundedChunks() + unboundedResponseParts()
                                + unboundedJson()),
                     input)
{
    checkUnboundedResponse(ResponseReader::Report, input);
}

// All forms at once, a few bytes at a time, until the request's time limit.
BOOST_AUTO_TEST_CASE(slowStreamsOutlastTheLimit)
{
    checkSlowResponses(ResponseReader::Stream,
                       unboundedHeads() + unboundedChunks() + unboundedResponseParts()
                           + unboundedEvents());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
