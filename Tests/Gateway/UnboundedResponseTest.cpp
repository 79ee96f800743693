#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "UnboundedResponses.h"

namespace jacinthroad {

namespace data = boost::unit_test::data;

BOOST_AUTO_TEST_SUITE(UnboundedResponseTest)

/// Each form of a response times each reader of one that isn't a stream. Left out: forms of event
/// streams and of JSON, as the body of a response that isn't a stream isn't read.
BOOST_DATA_TEST_CASE(readerTakesMoreThanItsLimit,
                     data::make({ ResponseReader::Plain, ResponseReader::Repeat,
                                  ResponseReader::Head, ResponseReader::Skipped })
                         * data::make(unboundedHeads() + unboundedChunks()
                                      + unboundedResponseParts()),
                     reader, input)
{
    checkUnboundedResponse(reader, input);
}

// All forms at once, a few bytes at a time, until the request's time limit.
BOOST_DATA_TEST_CASE(slowResponsesOutlastTheLimit,
                     data::make({ ResponseReader::Plain, ResponseReader::Skipped }), reader)
{
    checkSlowResponses(reader, unboundedHeads() + unboundedChunks() + unboundedResponseParts());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
