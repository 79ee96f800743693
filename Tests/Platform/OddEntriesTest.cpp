#include <string>

#include <boost/test/unit_test.hpp>

#include "Core/Json.h"
#include "platform/StoreObjects.h"

namespace jacinthroad::platform {

namespace {

/// A configuration with one field of the only route, service, team or limits replaced.
bool configurationIsRead(const std::string &part, const std::string &field,
                         const Json::Value &value)
{
    Json::Value spec = *parseJson(
        R"({"version":7,"routes":[{"name":"r","hostname":"h","pathPrefix":"/l/","kind":"safe",
        "trafficSplit":[{"service":"a","weight":1}]}],
        "services":[{"name":"a","kvStoreAddr":"172.20.0.2:8781","engine":{"slotCount":8}}],
        "tenants":[{"name":"t","apiKeys":["k1"]}],"limits":{}})");
    if (part == "limits") {
        spec[part][field] = value;
    } else if (part == "engine") {
        spec["services"][0][part][field] = value;
    } else if (part == "trafficSplit") {
        spec["routes"][0][part][0][field] = value;
    } else {
        spec[part][0][field] = value;
    }
    return readConfiguration(spec).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddEntriesTest)

BOOST_AUTO_TEST_CASE(configurationWithLimitsOfAnotherTypeIsNotRead)
{
    for (const char *field :
         { "maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs" }) {
        BOOST_TEST(!configurationIsRead("limits", field, "16384"), field);
    }
    BOOST_TEST(!readConfiguration(*parseJson(R"({"version":1,"limits":"none"})")).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad::platform
