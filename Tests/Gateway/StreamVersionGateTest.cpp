#include <boost/test/unit_test.hpp>

#include "Gateway/StreamVersionGate.h"

namespace jacinthroad {

namespace {

const ServiceId Engines("engines");
const ServiceId Others("others");
constexpr Instant Start { std::chrono::seconds(1000) };
/// The same moment on the clock that goes on while the VM is suspended.
constexpr BootInstant BootStart { std::chrono::seconds(5000) };

StreamOrigin origin(StreamId stream, const SoftwareVersion &version,
                    const ServiceId &service = Engines)
{
    return { .stream = stream, .service = service, .version = version };
}

/// A gate with the streams that it has passed on to be recorded.
struct RecordingGate
{
    explicit RecordingGate(const StreamVersionGate::Options &options = {})
        : gate(options)
    {
        gate.record = [this](const std::vector<StreamOrigin> &origins) {
            recorded.insert(recorded.end(), origins.begin(), origins.end());
        };
    }

    StreamVersionGate gate;
    std::vector<StreamOrigin> recorded;
};

} // namespace

BOOST_AUTO_TEST_SUITE(StreamVersionGateTest)

BOOST_AUTO_TEST_CASE(serviceWithoutAdmittedVersionsTakesNone)
{
    StreamVersionGate gate;
    BOOST_TEST(gate.admitted(Engines, BootStart).empty());
    BOOST_TEST(!gate.recordsNeeded(Engines));
    gate.setAdmitted({ { Engines, { "v1" } } }, Start);
    gate.confirmList(BootStart);
    BOOST_TEST(gate.admitted(Engines, BootStart).contains("v1"));
    BOOST_TEST(gate.admitted(Others, BootStart).empty());
}

BOOST_AUTO_TEST_CASE(versionsAdmittedBeforeALongStopAreNotUsedAfterIt)
{
    StreamVersionGate gate;
    gate.setAdmitted({ { Engines, { "v1" } } }, Start);
    gate.confirmList(BootStart);
    BOOST_TEST(gate.admitted(Engines, BootStart + std::chrono::seconds(34)).contains("v1"));
    BOOST_TEST(gate.admitted(Engines, BootStart + std::chrono::seconds(35)).empty());
    gate.confirmList(BootStart + std::chrono::seconds(36));
    BOOST_TEST(gate.admitted(Engines, BootStart + std::chrono::seconds(36)).contains("v1"));
}

BOOST_AUTO_TEST_CASE(listIsOutdatedAfterAStopOfSeconds)
{
    StreamVersionGate gate;
    BOOST_TEST(gate.listOutdated(BootStart));
    gate.confirmList(BootStart);
    BOOST_TEST(!gate.listOutdated(BootStart + milliseconds(3500)));
    BOOST_TEST(gate.listOutdated(BootStart + milliseconds(4500)));
}

BOOST_AUTO_TEST_CASE(nothingIsRecordedWhileOneVersionServes)
{
    RecordingGate node;
    node.gate.setAdmitted({ { Engines, { "v1" } }, { Others, { "v2" } } }, Start);
    node.gate.noteSent(origin(1, "v1"), Start);
    node.gate.noteSent(origin(2, "v2", Others), Start);
    BOOST_TEST(node.recorded.empty());
    BOOST_REQUIRE(node.gate.known(1, Engines, Start) != nullptr);
    BOOST_TEST(*node.gate.known(1, Engines, Start) == "v1");
    BOOST_TEST(node.gate.known(2, Engines, Start) == nullptr);
}

BOOST_AUTO_TEST_CASE(secondVersionHasAllStreamsOfItsServiceRecorded)
{
    RecordingGate node;
    node.gate.setAdmitted({ { Engines, { "v1" } }, { Others, { "v1" } } }, Start);
    node.gate.noteSent(origin(1, "v1"), Start);
    node.gate.noteSent(origin(2, "v1", Others), Start);
    node.gate.setAdmitted({ { Engines, { "v1", "v2" } }, { Others, { "v1" } } }, Start);
    BOOST_REQUIRE(node.recorded.size() == 1U);
    BOOST_TEST((node.recorded.front() == origin(1, "v1")));
    node.gate.noteSent(origin(3, "v2"), Start);
    BOOST_REQUIRE(node.recorded.size() == 2U);
    BOOST_TEST((node.recorded.back() == origin(3, "v2")));
    node.gate.setAdmitted({ { Engines, { "v1", "v2", "v3" } }, { Others, { "v1" } } }, Start);
    BOOST_TEST(node.recorded.size() == 2U);
}

BOOST_AUTO_TEST_CASE(streamIsRememberedUntilTheRetentionAfterItsLatestSend)
{
    RecordingGate node({ .retention = std::chrono::seconds(10) });
    node.gate.noteSent(origin(1, "v1"), Start);
    node.gate.noteSent(origin(1, "v1"), Start + std::chrono::seconds(6));
    node.gate.noteSent(origin(2, "v1"), Start + std::chrono::seconds(12));
    BOOST_TEST(node.gate.known(1, Engines, Start + std::chrono::seconds(12)) != nullptr);
    BOOST_TEST(node.gate.known(1, Engines, Start + std::chrono::seconds(16)) == nullptr);
    node.gate.noteSent(origin(3, "v1"), Start + std::chrono::seconds(17));
    BOOST_TEST(node.gate.size() == 2U);
}

BOOST_AUTO_TEST_CASE(numberOfRememberedStreamsIsBounded)
{
    RecordingGate node({ .maxSends = 3 });
    for (StreamId stream = 1; stream <= 5; ++stream) {
        node.gate.noteSent(origin(stream, "v1"), Start);
    }
    BOOST_TEST(node.gate.size() == 3U);
    BOOST_TEST(node.gate.known(2, Engines, Start) == nullptr);
    BOOST_TEST(node.gate.known(3, Engines, Start) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
