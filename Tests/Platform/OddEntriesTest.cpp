#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Core/Json.h"
#include "platform/Store.h"
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

/// Specs that the JSON reader doesn't accept although their brackets balance.
std::vector<std::string> unreadableSpecs()
{
    return { R"({"x":)" + std::string(100000, '[') + std::string(100000, ']') + "}",
             R"({"born":1e999})",
             R"({"x":1,"x":2})",
             R"({"x":"\ud800"})",
             "{\"x\":\"\xff\xfe\"}",
             R"({"x":NaN})",
             R"({"x":[1}])" };
}

std::string objectText(const std::string &name, const std::string &revision,
                       const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + revision + R"(},"spec":)" + spec
        + "}";
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

BOOST_AUTO_TEST_CASE(serverWithAnAddressThatCannotBeCalledIsNotUsed)
{
    for (const char *address :
         { "", "10.128.0.9", "10.128.0.9:", ":8080", "10.128.0.9:0", "10.128.0.9:65536",
           "10.128.0.9:-1", "10.128.0.9:8080 ", "10.128.0.9:8080/x", "10.128.0.300:8080",
           "server.example:8080", "0.0.0.0:8080", "224.0.0.1:8080" }) {
        BOOST_TEST(!serverIsRead("address", address), address);
    }
    for (const char *address : { "10.128.0.9:1", "127.0.0.1:65535" }) {
        BOOST_TEST(serverIsRead("address", address), address);
    }
}

BOOST_AUTO_TEST_CASE(serverWhoseNameAHeaderCannotHoldIsNotUsed)
{
    const std::string tooLong(256, 'x');
    for (const std::string &name :
         { std::string(), std::string("i\r\nX-Tenant: t"), std::string("i\0", 2), tooLong }) {
        BOOST_TEST(!readServer(name, server()).has_value(), name.substr(0, 20));
        for (const char *field : { "service", "zone" }) {
            BOOST_TEST(!serverIsRead(field, name), field << " " << name.substr(0, 20));
        }
    }
    BOOST_TEST(serverIsRead("zone", std::string(255, 'x')));
    BOOST_TEST(serverIsRead("zone",
                            "coru\xc3\xb1"
                            "a 1"));
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

BOOST_AUTO_TEST_CASE(objectThatCannotBeReadCostsOnlyItselfOnAPage)
{
    for (const std::string &spec : unreadableSpecs()) {
        const auto page = readPage(
            R"({"items":[)" + objectText("a", "4", R"({"x":1})") + ", " + objectText("b", "5", spec)
            + "," + objectText("c", "6", R"({"x":3})") + R"(],"hasMore":true,"currentRev":9})");
        BOOST_REQUIRE_MESSAGE(page.has_value(), spec.substr(0, 20));
        BOOST_TEST(page->more);
        BOOST_TEST(page->revision == 9U);
        BOOST_REQUIRE(page->objects.size() == 3U);
        BOOST_TEST(page->objects[0].spec["x"].asInt() == 1);
        BOOST_TEST(page->objects[0].fault.empty());
        BOOST_TEST(page->objects[1].name == "b");
        BOOST_TEST(page->objects[1].revision == 5U);
        BOOST_TEST(page->objects[1].spec.isNull());
        BOOST_TEST(!page->objects[1].fault.empty());
        BOOST_TEST(page->objects[2].spec["x"].asInt() == 3);
    }
}

BOOST_AUTO_TEST_CASE(changeThatCannotBeReadCostsOnlyItself)
{
    for (const std::string &spec : unreadableSpecs()) {
        const auto changes = readChanges(
            R"({"events":[{"object":)" + objectText("a", "4", spec) + R"(,"deleted":false},)"
            + R"({"object":)" + objectText("b", "5", spec) + R"(,"deleted":true},)"
            + R"({"object":)" + objectText("c", "6", R"({"x":3})") + R"(}],"currentRev":6})");
        BOOST_REQUIRE_MESSAGE(changes.has_value(), spec.substr(0, 20));
        BOOST_TEST(changes->revision == 6U);
        BOOST_REQUIRE(changes->events.size() == 3U);
        BOOST_TEST(changes->events[0].object.name == "a");
        BOOST_TEST(changes->events[0].object.spec.isNull());
        BOOST_TEST(!changes->events[0].removed);
        BOOST_TEST(changes->events[1].object.name == "b");
        BOOST_TEST(changes->events[1].removed);
        BOOST_TEST(changes->events[2].object.spec["x"].asInt() == 3);
    }
}

BOOST_AUTO_TEST_CASE(objectWhoseSpecCannotBeReadKeepsItsNameAndRevision)
{
    for (const std::string &spec : unreadableSpecs()) {
        const auto object = readObject(objectText("a", "4", spec));
        BOOST_REQUIRE_MESSAGE(object.has_value(), spec.substr(0, 20));
        BOOST_TEST(object->name == "a");
        BOOST_TEST(object->revision == 4U);
        BOOST_TEST(object->spec.isNull());
    }
    BOOST_TEST(!readObject("not json").has_value());
    BOOST_TEST(!readObject(R"({"metadata":{"name":7},"spec":1e999})").has_value());
}

BOOST_AUTO_TEST_CASE(objectWhoseStatusOrMetadataCannotBeReadKeepsItsSpec)
{
    for (const std::string &value : unreadableSpecs()) {
        const auto status = readObject(
            R"({"metadata":{"name":"a","revision":4},"spec":{"x":1},"status":)" + value + "}");
        BOOST_REQUIRE(status.has_value());
        BOOST_TEST(status->spec["x"].asInt() == 1);
        BOOST_TEST(status->fault.empty());
        const auto metadata = readObject(R"({"metadata":{"finalizers":)" + value
                                         + R"(,"name":"a","revision":4},"spec":{"x":1}})");
        BOOST_REQUIRE(metadata.has_value());
        BOOST_TEST(metadata->revision == 4U);
        BOOST_TEST(metadata->spec["x"].asInt() == 1);
    }
}

BOOST_AUTO_TEST_CASE(objectWithTwoNamesHasNone)
{
    const auto page
        = readPage(R"({"items":[{"metadata":{"name":"a","name":"b","revision":4},"spec":{}},)"
                   + objectText("c", "5", "{}") + R"(],"currentRev":5})");
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->objects[0].name.empty());
    BOOST_TEST(!page->objects[0].fault.empty());
    BOOST_TEST(page->objects[1].name == "c");
}

BOOST_AUTO_TEST_CASE(listContinuesAfterANameWithCharactersThatATargetCannotHold)
{
    BOOST_TEST(listCall(ObjectKind::Servers, "i-7f_A.b~").target
               == "/-/objects/servers?after=i-7f_A.b~");
    BOOST_TEST(listCall(ObjectKind::Servers, "a b&c\r\n%\xc3\xb1").target
               == "/-/objects/servers?after=a%20b%26c%0D%0A%25%C3%B1");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad::platform
