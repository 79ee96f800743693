#include <limits>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "StreamVersions/OriginLog.h"

namespace jacinthroad {

namespace {

constexpr std::int64_t WallEpochMs = 1'700'000'000'000;
const ServiceId Service("svc");

Instant at(int ms)
{
    return Instant(std::chrono::hours(1)) + milliseconds(ms);
}

std::int64_t wallAt(int ms)
{
    return WallEpochMs + ms;
}

void record(OriginLog &log, StreamId stream, const SoftwareVersion &version, int ms)
{
    const std::vector<StreamOrigin> origins {
        { .stream = stream, .service = Service, .version = version }
    };
    log.record(origins, at(ms));
}

std::size_t streamCount(const std::vector<OriginBatch> &batches)
{
    std::size_t count = 0;
    for (const OriginBatch &batch : batches) {
        count += batch.streams.size();
    }
    return count;
}

/// Number of writes of one node that sends streams at an even rate, if each is answered at once.
int writesOfNode(std::size_t nodes, double streamsPerSecond, int seconds)
{
    constexpr int MsPerSecond = 1000;
    OriginLog log;
    log.setNodeCount(nodes);
    int writes = 0;
    StreamId sent = 0;
    for (int ms = 0; ms < seconds * MsPerSecond; ++ms) {
        while (static_cast<double>(sent + 1) <= streamsPerSecond * ms / MsPerSecond) {
            record(log, ++sent, "v1", ms);
        }
        const auto due = log.writeDueAt();
        if (due.has_value() && *due <= at(ms)) {
            static_cast<void>(log.beginWrite(at(ms), wallAt(ms)));
            log.noteWritten();
            ++writes;
        }
    }
    return writes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OriginLogTest)

BOOST_AUTO_TEST_CASE(firstStreamIsDueAtOnceAndFurtherOnesAfterThePause)
{
    OriginLog log;
    BOOST_TEST(!log.writeDueAt().has_value());
    record(log, 1, "v1", 0);
    BOOST_TEST((log.writeDueAt() <= at(0)));
    BOOST_TEST(streamCount(log.beginWrite(at(0), wallAt(0))) == 1U);
    record(log, 2, "v1", 5);
    log.noteWritten();
    BOOST_TEST((log.writeDueAt() == at(30)));
    BOOST_TEST(streamCount(log.beginWrite(at(30), wallAt(30))) == 2U);
    log.noteWritten();
    BOOST_TEST(!log.writeDueAt().has_value());
    record(log, 2, "v1", 40);
    BOOST_TEST(!log.writeDueAt().has_value());
}

BOOST_AUTO_TEST_CASE(unansweredWriteIsRepeatedAndRejectedOneWaitsLonger)
{
    OriginLog log;
    record(log, 1, "v1", 0);
    static_cast<void>(log.beginWrite(at(0), wallAt(0)));
    log.noteWriteUnanswered();
    BOOST_TEST((log.writeDueAt() == at(30)));
    static_cast<void>(log.beginWrite(at(30), wallAt(30)));
    log.noteWriteRejected(at(31));
    BOOST_TEST((log.writeDueAt() == at(131)));
    static_cast<void>(log.beginWrite(at(131), wallAt(131)));
    log.noteWriteRejected(at(132));
    BOOST_TEST((log.writeDueAt() == at(332)));
    static_cast<void>(log.beginWrite(at(332), wallAt(332)));
    log.noteWritten();
    BOOST_TEST(!log.writeDueAt().has_value());
    log.noteLost();
    BOOST_TEST((log.writeDueAt() == at(362)));
}

BOOST_AUTO_TEST_CASE(allNodesTogetherWriteAtMostTwoHundredTimesASecond)
{
    constexpr int Seconds = 20;
    constexpr double StreamsPerSecond = 120;
    for (const std::size_t nodes : { 7U, 66U }) {
        const int writes
            = writesOfNode(nodes, StreamsPerSecond / static_cast<double>(nodes), Seconds)
            * static_cast<int>(nodes) / Seconds;
        BOOST_TEST_MESSAGE("store writes a second of " << nodes << " nodes at " << StreamsPerSecond
                                                       << " streams a second: " << writes);
        BOOST_TEST(writes <= 200);
        BOOST_TEST(writes <= StreamsPerSecond);
    }
    constexpr double Burst = 2000;
    for (const std::size_t nodes : { 7U, 66U }) {
        const int writes = writesOfNode(nodes, Burst / static_cast<double>(nodes), Seconds)
            * static_cast<int>(nodes) / Seconds;
        BOOST_TEST(writes <= 210);
    }
}

BOOST_AUTO_TEST_CASE(streamsAreForgottenAfterTheRetentionAlsoThoseOfTheEarlierProcess)
{
    OriginLog log;
    const std::vector<OriginBatch> stored {
        { .atMs = wallAt(-40'000), .service = Service, .version = "v1", .streams = { 1 } },
        { .atMs = wallAt(-20'000), .service = Service, .version = "v1", .streams = { 2, 3 } },
        { .atMs = wallAt(3'600'000), .service = Service, .version = "v2", .streams = { 4 } },
    };
    log.merge(stored, at(0), wallAt(0));
    BOOST_TEST(!log.find(1, Service).has_value());
    BOOST_TEST((log.find(2, Service) == "v1"));
    BOOST_TEST((log.find(4, Service) == "v2"));
    BOOST_TEST(!log.find(4, ServiceId("other")).has_value());
    record(log, 5, "v2", 0);
    BOOST_TEST(streamCount(log.beginWrite(at(0), wallAt(0))) == 4U);
    record(log, 6, "v2", 10'500);
    BOOST_TEST(!log.find(2, Service).has_value());
    BOOST_TEST((log.find(4, Service) == "v2"));
    // The written time of the stream from the future is no later than that of the write.
    for (const OriginBatch &batch : log.beginWrite(at(10'500), wallAt(10'500))) {
        BOOST_TEST(batch.atMs <= wallAt(10'500));
    }
    record(log, 7, "v2", 30'500);
    BOOST_TEST(!log.find(4, Service).has_value());
    BOOST_TEST(log.size() == 2U);
}

BOOST_AUTO_TEST_CASE(extremeTimesOfOtherWritersAreHarmless)
{
    OriginLog log;
    const std::vector<OriginBatch> stored {
        { .atMs = std::numeric_limits<std::int64_t>::max(),
          .service = Service,
          .version = "v1",
          .streams = { 1 } },
        { .atMs = std::numeric_limits<std::int64_t>::min(),
          .service = Service,
          .version = "v1",
          .streams = { 2 } },
    };
    log.merge(stored, at(0), wallAt(0));
    BOOST_TEST((log.find(1, Service) == "v1"));
    BOOST_TEST(!log.find(2, Service).has_value());
}

BOOST_AUTO_TEST_CASE(streamThatWasSentToTwoVersionsNamesNone)
{
    OriginLog log;
    record(log, 1, "v1", 0);
    record(log, 1, "v2", 10);
    record(log, 1, "v1", 20);
    BOOST_TEST(!log.find(1, Service).has_value());
    BOOST_TEST(streamCount(log.beginWrite(at(20), wallAt(20))) == 2U);
    record(log, 2, "v1", 30'005);
    BOOST_TEST(!log.find(1, Service).has_value());
    record(log, 2, "v1", 31'000);
    BOOST_TEST(log.size() == 1U);
}

BOOST_AUTO_TEST_CASE(numberOfStreamsIsBoundedAndOmissionsAreCounted)
{
    OriginLog log({ .maxStreams = 10 });
    for (StreamId stream = 1; stream <= 25; ++stream) {
        record(log, stream, stream % 2 == 0 ? "v1" : "v2", static_cast<int>(stream) * 100);
    }
    BOOST_TEST(log.size() == 10U);
    BOOST_TEST(log.omitted() == 15U);
    BOOST_TEST(log.find(25, Service).has_value());
    BOOST_TEST(streamCount(log.beginWrite(at(2500), wallAt(2500))) == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
