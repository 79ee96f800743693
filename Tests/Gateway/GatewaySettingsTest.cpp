#include <string>
#include <string_view>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Gateway/GatewaySettings.h"
#include "Gateway/UnknownSettings.h"

namespace jacinthroad {

namespace {

/// The template of the build ab1a2b7 as filled in for a node.
constexpr std::string_view Recorded = R"({
  // Rendered by the platform at every start; see docs/reference/gateway-settings.md.
  "edge": "gateway",
  "node": { "name": "front-aburra-norte-1", "zone": "aburra-norte" },
  "listen": {
    "callers": "10.1.0.30:8782",
    "readiness": "10.1.0.30:8789",
    "readiness_path": "/-/ready",
    "metrics": "10.1.0.30:9464",
    "peers": "10.1.0.30:7340",
    "forwarding": "10.1.0.30:7355"
  },
  "store": { "address": "10.200.1.7:8784" },
  "bounds": {
    "key_revocation_ms": 4000,
    "configuration_ms": 2500,
    "lease_ms": 3500,
    "weights_ms": 14000,
    "repeat_share": 0.25,
    "repeat_allowance": 54,
    "repeat_window_s": 11,
    "stop_grace_s": 9
  },
  "limits": { "link_mbps": 1000.0 },
  "memory": { "total_mb": 110 },
  "log": { "level": "warning", "lines_per_s": 300 }
}
)";

std::string replaced(std::string_view from, std::string_view to)
{
    std::string text(Recorded);
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_SUITE(GatewaySettingsTest)

BOOST_AUTO_TEST_CASE(settingsOfAnEarlierBuildAreReadInFull)
{
    const auto settings = readGatewaySettings(Recorded, "f");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(unknownGatewaySettings(Recorded, "f").empty());
    BOOST_TEST(settings->name == "front-aburra-norte-1");
    BOOST_TEST(settings->zone == "aburra-norte");
    BOOST_TEST(settings->callerAddress == "10.1.0.30:8782");
    BOOST_TEST(settings->readinessAddress == "10.1.0.30:8789");
    BOOST_TEST(settings->readinessPath == "/-/ready");
    BOOST_TEST(settings->metricsAddress == "10.1.0.30:9464");
    BOOST_TEST(settings->peerAddress == "10.1.0.30:7340");
    BOOST_TEST(settings->forwardingAddress == "10.1.0.30:7355");
    BOOST_TEST(settings->storeAddress == "10.200.1.7:8784");
    BOOST_TEST(settings->linkMbps == 1000.0);
    BOOST_TEST(settings->memoryMb == 110.0);
    BOOST_TEST((settings->keyRevocation == milliseconds(4000)));
    BOOST_TEST((settings->configurationLimit == milliseconds(2500)));
    BOOST_TEST((settings->lease == milliseconds(3500)));
    BOOST_TEST((settings->weightsLimit == milliseconds(14000)));
    BOOST_TEST((settings->stopGrace == milliseconds(9000)));
    BOOST_TEST(settings->retryShare == 0.25);
    BOOST_TEST(settings->retryAllowance == 54.0);
    BOOST_TEST((settings->retryWindow == milliseconds(11000)));
    BOOST_TEST((settings->log.minimumLevel == LogLevel::Warning));
    BOOST_TEST(settings->log.linesPerSecond == 300U);
}

BOOST_AUTO_TEST_CASE(settingsThatLackAddedFieldsAreRejected)
{
    const auto settings = readGatewaySettings(R"({ "edge": "gateway",
        "node": { "name": "n", "zone": "z" },
        "listen": { "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2" },
        "store": { "address": "127.0.0.1:3" } })",
                                              "f");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->forwardingAddress.empty());
    BOOST_TEST(settings->linkMbps == 0.0);
    BOOST_TEST(settings->memoryMb == 128.0);
}

BOOST_AUTO_TEST_CASE(fieldsOfANewerBuildEndTheStart)
{
    const std::string text
        = replaced(R"("store": {)", R"("additional_part": { "a": [1] }, "store": { "x": 1,)");
    const auto settings = readGatewaySettings(text, "f");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->storeAddress == "10.200.1.7:8784");
    const std::vector<std::string> unknown = unknownGatewaySettings(text, "f");
    BOOST_REQUIRE(unknown.size() == 2U);
    BOOST_TEST(unknown[0] == "f:13: field 'additional_part': is not a known field. Remove it.");
    BOOST_TEST(unknown[1].find("field 'store.x'") != std::string::npos);
    BOOST_TEST((checkGatewaySettings(text, "f") == unknown));
}

BOOST_AUTO_TEST_CASE(unknownFieldHidesAFault)
{
    const auto settings
        = readGatewaySettings(replaced(R"("callers":)", R"("caller": "", "forwards":)"), "f");
    BOOST_REQUIRE(!settings.has_value());
    BOOST_TEST(settings.error().message.find("'listen.callers': is missing") != std::string::npos);
    BOOST_TEST(settings.error().message.find("'listen.caller'") != std::string::npos);
    BOOST_TEST(!readGatewaySettings(replaced("3500", "\"x\""), "f").has_value());
    BOOST_TEST(!readGatewaySettings("{", "f").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
