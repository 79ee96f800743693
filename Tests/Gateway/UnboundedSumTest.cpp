#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "UnboundedResponses.h"

namespace jacinthroad {

namespace data = boost::unit_test::data;

/// Many at once, each of which may be within its limit, but not all together. Left out: the readers
/// of repeats, take-ups and reports, of which a request has one at a time, too. Those of requests
/// are in UnboundedRequestTest.
BOOST_AUTO_TEST_SUITE(UnboundedSumTest)

BOOST_DATA_TEST_CASE(responsesTakeMoreThanTheAccount,
                     data::make(unboundedHeads() + unboundedChunks() + unboundedResponseParts()),
                     input)
{
    checkManyResponses(ResponseReader::Plain, input);
}

BOOST_DATA_TEST_CASE(streamsTakeMoreThanTheAccount,
                     data::make(unboundedChunks() + unboundedEvents()), input)
{
    checkManyResponses(ResponseReader::Stream, input);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
