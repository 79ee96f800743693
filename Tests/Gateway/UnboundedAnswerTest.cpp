#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Gateway/ControlClient.h"
#include "platform/CacheEvents.h"
#include "platform/Orders.h"
#include "platform/Store.h"

namespace jacinthroad {

namespace data = boost::unit_test::data;

BOOST_AUTO_TEST_SUITE(UnboundedAnswerTest)

/// Complete answers of the largest size, of which one part repeats; the forms of UnboundedInput
/// never become complete.
BOOST_DATA_TEST_CASE(parserTakesIt,
                     data::make({ std::string("["), std::string("{\"a\":"), std::string("9"),
                                  std::string("[1,"), std::string("\"\\u0041"),
                                  std::string("{\"models\":[{") }),
                     part)
{
    std::string text;
    while (text.size() < MaxServerResponseBytes) {
        text += part;
    }
    BOOST_TEST(!platform::readReport(text).has_value());
    BOOST_TEST(!platform::readReportedBoot(text).has_value());
    BOOST_TEST(!platform::readCacheEvents(text).has_value());
    BOOST_TEST(!platform::readPage(text).has_value());
    BOOST_TEST(!platform::readChanges(text).has_value());
    BOOST_TEST(!platform::readObject(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
