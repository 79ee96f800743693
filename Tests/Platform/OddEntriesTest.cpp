#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Core/Json.h"
#include "platform/StoreObjects.h"

namespace jacinthroad::platform {

namespace {

Json::Value server()
{
    return *parseJson(
        R"({"service":"huvo","address":"10.128.0.9:8080","zone":"norte","version":"v1",
        "slotCount":128,"state":"ready","coldLeftMs":0,"born":1780000000000,
        "models":[{"name":"daka","version":3}],"seq":4})");
}

bool serverIsRead(const std::string &field, const Json::Value &value)
{
    Json::Value spec = server();
    spec[field] = value;
    return readServer("i-7f", spec).has_value();
}

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

BOOST_AUTO_TEST_CASE(serverWithANumberOutOfRangeIsNotUsed)
{
    BOOST_REQUIRE(readServer("i-7f", server()).has_value());
    for (const char *number : { "1e300", "-1e300", "1e18", "-1", "1.5", "18446744073709551615" }) {
        const Json::Value value = *parseJson(number);
        BOOST_TEST(!serverIsRead("born", value), "born " << number);
        BOOST_TEST(!serverIsRead("slotCount", value), "slotCount " << number);
        Json::Value models(Json::arrayValue);
        models[0]["name"] = "daka";
        models[0]["version"] = value;
        BOOST_TEST(!serverIsRead("models", models), "models " << number);
    }
    BOOST_TEST(!serverIsRead("slotCount", Json::UInt64(1) << 32U));
    BOOST_TEST(!serverIsRead("coldLeftMs", 1e300));
    BOOST_TEST(!serverIsRead("coldLeftMs", -1e300));
    for (const char *field : { "born", "slotCount", "coldLeftMs" }) {
        BOOST_TEST(!serverIsRead(field, "7"), field);
    }
    BOOST_TEST(serverIsRead("coldLeftMs", -0.5));
    BOOST_TEST(serverIsRead("coldLeftMs", 1234.5));
}

BOOST_AUTO_TEST_CASE(desiredWeightsWithANumberOutOfRangeNameNoVersion)
{
    for (const char *number : { "1e300", "4294967297", "-1", "1.5" }) {
        Json::Value spec;
        spec["model"] = "daka";
        spec["version"] = *parseJson(number);
        BOOST_TEST(!readDesiredWeights(spec).has_value(), number);
    }
}

BOOST_AUTO_TEST_CASE(configurationWithANumberOutOfRangeIsNotRead)
{
    const std::vector<std::pair<const char *, const char *>> fields {
        { "routes", "timeoutMs" },        { "routes", "targetLatencyMs" },
        { "routes", "priority" },         { "routes", "maxAttempts" },
        { "services", "maxConnections" }, { "services", "kvCapacityTokens" },
        { "engine", "slotCount" },        { "engine", "kvCapacityTokens" },
        { "trafficSplit", "weight" },     { "tenants", "priority" },
        { "limits", "maxHeaderBytes" },   { "limits", "maxBodyBytes" },
        { "limits", "headerTimeoutMs" },  { "limits", "idleTimeoutMs" }
    };
    for (const auto &[part, field] : fields) {
        BOOST_TEST(configurationIsRead(part, field, 3), part << " " << field);
        BOOST_TEST(!configurationIsRead(part, field, 1e300), part << " " << field);
        BOOST_TEST(!configurationIsRead(part, field, -1e300), part << " " << field);
    }
}

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
