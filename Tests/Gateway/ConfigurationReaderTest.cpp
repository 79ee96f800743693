#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/Json.h"
#include "Gateway/ConfigurationReader.h"
#include "GatewayFixture.h"
#include "platform/StoreObjects.h"

namespace jacinthroad {

namespace {

constexpr int Routes = 2800;
constexpr std::uint64_t Era = 3;

Json::Value route(const std::string &name, const std::string &prefix)
{
    Json::Value entry;
    entry["name"] = name;
    entry["hostname"] = "h";
    entry["pathPrefix"] = prefix;
    entry["kind"] = "safe";
    entry["service"] = "plain";
    entry["timeoutMs"] = 1200;
    return entry;
}

Json::Value largeSpec(int version)
{
    Json::Value spec;
    spec["version"] = version;
    spec["services"][0]["name"] = "plain";
    spec["tenants"][0]["name"] = "north";
    spec["tenants"][0]["apiKeys"][0] = "k1";
    spec["tenants"][0]["apiKeys"][1] = "version-" + std::to_string(version);
    spec["routes"][0] = route("safe", "/safe/");
    for (int index = 1; index < Routes; ++index) {
        const std::string number = std::to_string(index);
        spec["routes"][index] = route(std::string(200, 'n') + number, "/" + number + "/");
    }
    return spec;
}

platform::ConfigurationTable tableOf(const std::string &text)
{
    platform::StoredObject object;
    object.name = std::string(platform::configurationName());
    object.revision = 1;
    object.text = text;
    return platform::splitConfiguration(std::move(object));
}

platform::ConfigurationTable largeTable(int version)
{
    return tableOf(writeJson(largeSpec(version)));
}

/// A reader that notes what it passes on.
struct ReaderFixture
{
    explicit ReaderFixture(bool released = true)
        : reader(
            context,
            { .onReadable
              = [this](
                    bool readable) { events.emplace_back(readable ? "readable" : "unreadable"); },
              .onDecoded =
                  [this](const ConfigurationIdentity &identity,
                         std::shared_ptr<const RouteTable> table, const ConfigurationTiming &) {
                      events.push_back("version " + std::to_string(identity.version));
                      routes = std::move(table);
                  },
              .onConfirmed =
                  [this](BootInstant moment, bool) {
                      events.push_back("confirmed " + std::to_string(moment.sinceBoot.count()));
                  } })
    {
        if (released) {
            reader.release();
        }
    }

    boost::asio::io_context context { 1 };
    std::vector<std::string> events;
    std::shared_ptr<const RouteTable> routes;
    ConfigurationReader reader;
};

using Events = std::vector<std::string>;

BootInstant moment(int count)
{
    return { Duration(count) };
}

bool respondOk(ScriptedConnection &connection, const ReceivedRequest &request)
{
    connection.write(validResponse(request));
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationReaderTest)

BOOST_AUTO_TEST_CASE(contentThatIsStillDecodedIsNotConfirmed)
{
    ReaderFixture fixture;
    fixture.reader.apply(largeTable(1), Era);
    fixture.reader.confirm(moment(5), Era);
    fixture.context.run_one();
    fixture.reader.confirm(moment(7), Era);
    fixture.reader.confirm(moment(6), Era);
    BOOST_TEST(fixture.events.empty());
    fixture.context.run();
    BOOST_TEST(fixture.events == Events({ "readable", "version 1", "confirmed 7" }));
    fixture.reader.confirm(moment(8), Era);
    BOOST_TEST(fixture.events.back() == "confirmed 8");
}

BOOST_AUTO_TEST_CASE(newerTableOvertakesTheOneBeingDecoded)
{
    ReaderFixture fixture;
    fixture.reader.apply(largeTable(1), Era);
    fixture.reader.confirm(moment(5), Era);
    fixture.context.run_for(milliseconds(5));
    BOOST_TEST(fixture.events.empty());
    fixture.reader.apply(largeTable(2), Era);
    fixture.context.restart();
    fixture.context.run();
    BOOST_TEST(fixture.events == Events({ "readable", "version 2", "confirmed 5" }));
}

BOOST_AUTO_TEST_CASE(confirmationOfAnEarlierEraIsForgotten)
{
    ReaderFixture fixture;
    fixture.reader.apply(largeTable(1), Era);
    fixture.reader.confirm(moment(5), Era);
    fixture.reader.apply(largeTable(2), Era + 1);
    fixture.context.run();
    BOOST_TEST(fixture.events == Events({ "readable", "version 2" }));
}

BOOST_AUTO_TEST_CASE(tableThatCannotBeDecodedIsReportedAndConfirmed)
{
    ReaderFixture fixture;
    fixture.reader.apply(tableOf(R"({"version":1,"routes":[{"name":"r"}]})"), Era);
    fixture.reader.confirm(moment(5), Era);
    fixture.context.run();
    BOOST_TEST(fixture.events == Events({ "unreadable", "confirmed 5" }));
    fixture.reader.apply({}, Era);
    fixture.reader.confirm(moment(6), Era);
    fixture.context.restart();
    fixture.context.run();
    BOOST_TEST(fixture.events == Events({ "unreadable", "confirmed 5", "confirmed 6" }));
}

BOOST_AUTO_TEST_CASE(configurationInForceIsNotConfirmedAfterANewerOneWasReplacedByAnUnreadableOne)
{
    for (const char *last : { R"({"version":3,"routes":[{"name":"r"}]})", "" }) {
        ReaderFixture fixture;
        fixture.reader.apply(tableOf(R"({"version":1})"), Era);
        fixture.context.run();
        fixture.reader.apply(largeTable(2), Era);
        fixture.reader.confirm(moment(5), Era);
        const std::string text = last;
        fixture.reader.apply(text.empty() ? platform::ConfigurationTable() : tableOf(text), Era);
        fixture.reader.confirm(moment(6), Era);
        fixture.context.restart();
        fixture.context.run();
        fixture.reader.confirm(moment(7), Era);
        const auto confirmed = std::count_if(
            fixture.events.begin(), fixture.events.end(),
            [](const std::string &event) { return event.starts_with("confirmed"); });
        BOOST_TEST(confirmed == 0);
        fixture.reader.apply(tableOf(R"({"version":4})"), Era);
        fixture.reader.confirm(moment(8), Era);
        fixture.context.restart();
        fixture.context.run();
        BOOST_TEST(fixture.events.back() == "confirmed 8");
    }
}

BOOST_AUTO_TEST_CASE(nothingIsPassedOnBeforeTheRelease)
{
    ReaderFixture fixture(false);
    fixture.reader.apply(tableOf(R"({"version":1})"), Era);
    fixture.reader.confirm(moment(5), Era);
    fixture.context.run();
    fixture.reader.confirm(moment(6), Era);
    BOOST_TEST(fixture.events.empty());
    fixture.reader.release();
    BOOST_TEST(fixture.events == Events({ "readable", "version 1", "confirmed 6" }));
}

BOOST_AUTO_TEST_CASE(tableIsFreedByTheReadersContextOnly)
{
    ReaderFixture fixture;
    fixture.reader.apply(tableOf(R"({"version":1})"), Era);
    fixture.context.run();
    fixture.context.restart();
    std::thread([&] { fixture.routes.reset(); }).join();
    BOOST_TEST(fixture.context.poll() == 1U);
}

BOOST_AUTO_TEST_CASE(requestsAreServedWhileLargeConfigurationsFollowEachOther)
{
    GatewayFixture fixture;
    fixture.addServer("s1", "plain", respondOk);
    fixture.configure(1, { "k1" });
    fixture.start();
    constexpr int LastVersion = 6;
    std::atomic<bool> written { false };
    std::jthread writer([&] {
        for (int version = 2; version <= LastVersion; ++version) {
            fixture.store.put("config", "main", largeSpec(version));
            std::this_thread::sleep_for(milliseconds(200));
        }
        written = true;
    });
    auto socket = fixture.connect();
    boost::beast::flat_buffer buffer;
    const auto statusOf = [&](const std::string &key) {
        const std::string text = "GET /safe/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n"
                                 "Authorization: Bearer "
            + key + "\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(text));
        CallerResponse response;
        boost::beast::http::read(socket, buffer, response);
        return response.result_int();
    };
    while (!written) {
        BOOST_TEST(statusOf("k1") == 200U);
        std::this_thread::sleep_for(milliseconds(2));
    }
    const Instant writtenAt = std::chrono::steady_clock::now();
    unsigned status = 401;
    while (status != 200U
           && std::chrono::steady_clock::now() - writtenAt
               < fixture.settings.configurationLimit / 2) {
        status = statusOf("version-" + std::to_string(LastVersion));
        std::this_thread::sleep_for(milliseconds(2));
    }
    BOOST_TEST(status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
