#define BOOST_TEST_MODULE jacinthroad
#include <boost/test/unit_test.hpp>
