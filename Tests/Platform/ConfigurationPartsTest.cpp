#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Core/Json.h"
#include "Fleet/RouteTable.h"
#include "platform/ConfigurationDecoder.h"
#include "platform/ConfigurationSplitter.h"
#include "platform/StoreObjects.h"

namespace jacinthroad::platform {

namespace {

/// Bytes that a slice may handle beyond its bound: one entry.
constexpr std::size_t EntryBytes = 400;

StoredObject configuration(std::string text, std::uint64_t revision = 1)
{
    StoredObject object;
    object.name = std::string(configurationName());
    object.revision = revision;
    object.text = std::move(text);
    return object;
}

std::string routeText(const std::string &name, const std::string &host, const std::string &prefix,
                      const std::string &service = "a")
{
    return R"({"name":")" + name + R"(","hostname":")" + host + R"(","pathPrefix":")" + prefix
        + R"(","kind":"safe","timeoutMs":800,"service":")" + service + R"("})";
}

std::string largeText(int version, int routes)
{
    std::string list;
    for (int index = 0; index < routes; ++index) {
        const std::string number = std::to_string(index);
        list += (index == 0 ? "" : ",") + routeText("route-" + number, "h", "/p" + number + "/");
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + list
        + R"(],"tenants":[{"name":"t","apiKeys":["k1"]}]})";
}

Result<DecodedConfiguration> decode(ConfigurationDecoder &decoder, const ConfigurationTable &table)
{
    decoder.setTable(table);
    while (!decoder.decodeSome(1000)) { }
    return decoder.result();
}

Result<DecodedConfiguration> decode(const std::string &text)
{
    ConfigurationDecoder decoder;
    return decode(decoder, splitConfiguration(configuration(text)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationPartsTest)

BOOST_AUTO_TEST_CASE(partsDecodeToTheWholeConfiguration)
{
    const std::string text = R"( {"version":7 , "x":{"routes":[1]}, "routes":[)"
        + routeText("r", "Jepu9.example", "/l/") + " , " + routeText("q", "h", "/q/")
        + R"(],"services":[{"name":"a"}],"limits":{"maxBodyBytes":77},
        "tenants":[{"name":"t","apiKeys":["k1","k2"]}]} )";
    const ConfigurationTable table = splitConfiguration(configuration(text, 12));
    BOOST_TEST(table.size() == 5U);
    BOOST_TEST(table.at("main").revision == 12U);
    BOOST_TEST(table.contains("main/routes/r"));
    const auto decoded = decode(text);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->configuration.version == 7U);
    BOOST_TEST(decoded->configuration.limits.bodyBytes == 77U);
    const RouteTable routes(decoded->configuration);
    BOOST_TEST(routes.route("jepu9.example", "/l/x")->name == "r");
    BOOST_TEST(routes.route("h", "/q/x")->name == "q");
    BOOST_TEST(routes.team("k2")->name.text() == "t");
    BOOST_TEST(routes.services().size() == 1U);
}

BOOST_AUTO_TEST_CASE(firstEntryOfAListWinsWhateverTheNames)
{
    const std::string text = R"({"version":1,"routes":[)" + routeText("z", "H", "/a/") + ","
        + routeText("a", "h", "\\u002fa/") + "," + routeText("z", "h", "/a/", "b") + ","
        + routeText("", "h", "/b/") + "," + routeText("", "h", "/c/")
        + R"(],"tenants":[{"name":"z","apiKeys":["k1"]},{"name":"a","apiKeys":["k2","k1"]},
        {"name":"b","apiKeys":["k2"]}]})";
    const auto decoded = decode(text);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->configuration.routes.size() == 5U);
    BOOST_TEST(decoded->configuration.teams.size() == 3U);
    const RouteTable routes(decoded->configuration);
    BOOST_TEST(routes.route("h", "/a/")->name == "z");
    BOOST_TEST(routes.route("h", "/a/")->services[0].service.text() == "a");
    BOOST_TEST(routes.route("h", "/b/") != nullptr);
    BOOST_TEST(routes.route("h", "/c/") != nullptr);
    BOOST_TEST(routes.team("k1")->name.text() == "z");
    BOOST_TEST(routes.team("k2")->name.text() == "a");
}

BOOST_AUTO_TEST_CASE(whatIsNoConfigurationIsNotDecoded)
{
    const std::string route = routeText("r", "h", "/");
    const std::vector<std::string> texts
        = { std::string(),
            std::string("[]"),
            std::string("{}"),
            std::string("null"),
            R"({"version":1,"routes":{}})",
            R"({"version":1,"routes":[1]})",
            R"({"version":1,"routes":[)" + route + R"(],"routes":[]})",
            R"({"version":1,"routes":[)" + route + R"(],"rout\u0065s":[]})",
            R"({"version":1,"routes":[)" + route + "}}",
            R"({"version":1,"routes":[)" + route + "]",
            R"({"version":1,"routes":[)" + route + "]}{}",
            R"({"version":1,"limits":{"a":)" + std::string(100, '[') + std::string(100, ']') + "}}",
            R"({"version":1,"tenants":[{"name":")" + std::string("\xff") + R"("}]})",
            R"({"version":1,"x":")" + std::string("\xff") + R"("})" };
    for (const std::string &text : texts) {
        BOOST_TEST(!decode(text).has_value(), text);
        BOOST_TEST(splitConfiguration(configuration(text)).contains("main"));
    }
    BOOST_TEST(decode(R"({"version":1,"routes":null,"services":[],"tenants":[ ]})").has_value());
    BOOST_TEST(decode(R"({"version":1,"rout\u0065s":[)" + route + "]}")->configuration.routes.size()
               == 1U);
    BOOST_TEST(
        decode(R"({"version":1,/* [ */"routes":[)" + route + "]}")->configuration.routes.size()
        == 1U);
}

// With the last team the list of teams became empty, and requests with any key or none ran.
BOOST_AUTO_TEST_CASE(emptyListOfTeamsRequiresKeysLikeAnyOther)
{
    const auto keysRequired = [](const std::string &members) {
        return RouteTable(decode(R"({"version":1)" + members + "}")->configuration).keysRequired();
    };
    BOOST_TEST(!keysRequired(""));
    BOOST_TEST(!keysRequired(R"(,"routes":[],"services":[])"));
    BOOST_TEST(keysRequired(R"(,"tenants":[])"));
    BOOST_TEST(keysRequired(R"(,"routes":[],"tenants":[ ],"limits":{})"));
    BOOST_TEST(keysRequired(R"(,"tenants":null)"));
    BOOST_TEST(keysRequired(R"(,"tenants":[{"name":"t","apiKeys":[]}])"));
    BOOST_TEST(keysRequired(R"(,"tenants":[{"name":"t","apiKeys":["k1"]}])"));
    // A text that isn't split is decoded as a whole.
    BOOST_TEST(keysRequired(R"(,/* [ */"tenants":[])"));
}

BOOST_AUTO_TEST_CASE(responsesKeepTheTextOfSpecs)
{
    const std::string object = R"({"metadata":{"name":"main","revision":4},"spec": {"a" :[1]} })";
    const auto page = readPage(R"({"items":[ )" + object + R"( ],"currentRev":9,"hasMore":true})",
                               SpecForm::Text);
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->more);
    BOOST_TEST(page->revision == 9U);
    BOOST_REQUIRE(page->objects.size() == 1U);
    BOOST_TEST(page->objects[0].name == "main");
    BOOST_TEST(page->objects[0].revision == 4U);
    BOOST_TEST(page->objects[0].text == R"({"a" :[1]})");
    const auto changes
        = readChanges(R"({"events":[{"object":)" + object + R"(},{"deleted":true,"object":)"
                          + object + R"(},{"deleted":true}],"currentRev":9})",
                      SpecForm::Text);
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST(changes->revision == 9U);
    BOOST_REQUIRE(changes->events.size() == 3U);
    BOOST_TEST(!changes->events[0].removed);
    BOOST_TEST(changes->events[0].object.text == R"({"a" :[1]})");
    BOOST_TEST(changes->events[1].removed);
    BOOST_TEST(changes->events[2].object.name.empty());
    const auto commented
        = readPage(R"({/*{*/"items":[{"metadata":{"name":"main","revision":4},"spec":{"a":1}}]})",
                   SpecForm::Text);
    BOOST_REQUIRE(commented.has_value());
    BOOST_TEST(commented->objects[0].text == R"({"a":1})");
    BOOST_TEST(!readPage("{", SpecForm::Text).has_value());
    BOOST_TEST(!readChanges("[]", SpecForm::Text).has_value());
}

BOOST_AUTO_TEST_CASE(sliceOfALargeConfigurationIsBounded)
{
    constexpr std::size_t Slice = 20000;
    const std::string text = largeText(1, 2800);
    ConfigurationSplitter splitter(configuration(text));
    std::size_t slices = 1;
    for (; !splitter.splitSome(Slice); ++slices) { }
    BOOST_TEST(slices >= text.size() / (Slice + EntryBytes));
    ConfigurationDecoder decoder;
    decoder.setTable(splitter.takeTable());
    bool done = false;
    while (!done) {
        const std::uint64_t before = decoder.decodedParts();
        done = decoder.decodeSome(Slice);
        BOOST_TEST(decoder.decodedParts() - before <= Slice / routeText("r", "h", "/").size() + 1);
    }
    BOOST_TEST(decoder.result()->configuration.routes.size() == 2800U);
}

BOOST_AUTO_TEST_CASE(onlyChangedPartsAreDecodedAndTheOthersAreShared)
{
    ConfigurationDecoder decoder;
    const auto first = decode(decoder, splitConfiguration(configuration(largeText(1, 100), 1)));
    const std::uint64_t before = decoder.decodedParts();
    const auto second = decode(decoder, splitConfiguration(configuration(largeText(2, 101), 2)));
    BOOST_TEST(decoder.decodedParts() - before == 2U);
    BOOST_TEST(second->configuration.version == 2U);
    BOOST_TEST(second->revision == 2U);
    BOOST_TEST(first->configuration.routes[0] == second->configuration.routes[0]);
    BOOST_TEST(first->contentHash != second->contentHash);
    const auto third = decode(decoder, splitConfiguration(configuration(largeText(1, 100), 1)));
    BOOST_TEST(first->contentHash == third->contentHash);
}

BOOST_AUTO_TEST_CASE(tableThatIsReplacedHalfwayLosesNoWork)
{
    ConfigurationDecoder decoder;
    decoder.setTable(splitConfiguration(configuration(largeText(1, 100), 1)));
    BOOST_TEST(!decoder.decodeSome(5000));
    const std::uint64_t before = decoder.decodedParts();
    BOOST_TEST(before > 10U);
    const auto second = decode(decoder, splitConfiguration(configuration(largeText(2, 100), 2)));
    BOOST_TEST(second->configuration.version == 2U);
    BOOST_TEST(second->configuration.routes.size() == 100U);
    BOOST_TEST(decoder.decodedParts() <= 103U);
    const ConfigurationTable whole = splitConfiguration(configuration(largeText(2, 100), 2));
    ConfigurationDecoder fresh;
    BOOST_TEST(decode(fresh, whole)->contentHash == second->contentHash);
}

BOOST_AUTO_TEST_CASE(headerOfTheSameRevisionInAnotherEraIsDecoded)
{
    ConfigurationDecoder decoder;
    BOOST_REQUIRE(
        decode(decoder, splitConfiguration(configuration(largeText(5, 1), 3))).has_value());
    const auto other = decode(decoder, splitConfiguration(configuration(largeText(6, 1), 3)));
    BOOST_TEST(other->configuration.version == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad::platform
