#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "Gateway/StoreSync.h"
#include "StoreStandIn.h"

namespace jacinthroad {

namespace asio = boost::asio;

BOOST_AUTO_TEST_SUITE(StoreSyncTest)

BOOST_AUTO_TEST_CASE(exceptionInHandlerDoesNotEndWatch)
{
    StoreStandIn store;
    store.put("nodes", "front-1", Json::Value("first"));
    asio::io_context context { 1 };
    GatewayMetrics metrics;
    StoreClient client(context, store.address(), metrics);
    unsigned calls = 0;
    unsigned completed = 0;
    StoreSync sync(
        context, client,
        { .kind = platform::ObjectKind::Nodes, .name = "nodes", .watchWait = milliseconds(100) },
        [&](const ObjectTable &table) {
            if (++calls == 1) {
                throw std::runtime_error("fault of the test");
            }
            completed += table.contains("front-1") ? 1 : 0;
        },
        [](BootInstant) {});
    asio::co_spawn(context, sync.run(), asio::detached);
    context.run_for(milliseconds(1500));
    BOOST_TEST(completed == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
