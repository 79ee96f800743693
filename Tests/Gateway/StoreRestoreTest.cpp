#include <thread>

#include <boost/test/unit_test.hpp>

#include "GatewayFixture.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(StoreRestoreTest)

BOOST_AUTO_TEST_CASE(nodeRegistersAgainAfterRestore)
{
    GatewayFixture fixture;
    fixture.store.sendEra(1);
    fixture.configure(1, { "k1" });
    fixture.store.snapshot();
    fixture.start();
    std::this_thread::sleep_for(milliseconds(500));
    BOOST_REQUIRE(fixture.store.spec("nodes", "front-1").isObject());
    fixture.store.restore();
    BOOST_REQUIRE(!fixture.store.spec("nodes", "front-1").isObject());
    std::this_thread::sleep_for(milliseconds(3000));
    BOOST_TEST(fixture.store.spec("nodes", "front-1").isObject());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
