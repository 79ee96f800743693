#include <cstdint>
#include <limits>

#include <boost/test/unit_test.hpp>

#include "Core/Numbers.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(NumbersTest)

BOOST_AUTO_TEST_CASE(numbersThatNoIntegerHoldsAreNotConverted)
{
    for (const double number :
         { 1e300, -1e300, 0.5, 4294967296.0, -1.0, std::numeric_limits<double>::infinity(),
           std::numeric_limits<double>::quiet_NaN() }) {
        BOOST_TEST(!wholeNumber<std::uint32_t>(number).has_value(), number);
    }
    BOOST_TEST(!wholeNumber<std::uint64_t>(18446744073709551616.0).has_value());
    BOOST_TEST(!wholeNumber<std::int64_t>(9223372036854775808.0).has_value());
    BOOST_TEST(!wholeNumber<int>(2147483648.0).has_value());
}

BOOST_AUTO_TEST_CASE(wholeNumbersWithinTheBoundsAreConverted)
{
    BOOST_TEST((wholeNumber<std::uint32_t>(4294967295.0) == 4294967295U));
    BOOST_TEST((wholeNumber<std::int64_t>(-9223372036854775808.0)
                == std::numeric_limits<std::int64_t>::min()));
    BOOST_TEST((wholeNumber<int>(-0.0) == 0));
    BOOST_TEST((wholeNumber<int>(7.0, 1, 7) == 7));
    BOOST_TEST(!wholeNumber<int>(8.0, 1, 7).has_value());
    BOOST_TEST(!wholeNumber<int>(0.0, 1, 7).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
