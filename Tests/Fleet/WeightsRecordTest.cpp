#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Fleet/WeightsRecord.h"

namespace jacinthroad {

namespace {

const ModelId Model("m");
constexpr std::uint64_t Era = 3;

DesiredWeightsAge age(WeightsVersion version, std::uint32_t ageMs)
{
    return { .model = Model, .version = version, .ageMs = ageMs };
}

ClockReading reading(std::int64_t sinceBootMs, std::int64_t wallMs, std::string kernel = "k1")
{
    return { .kernelBoot = std::move(kernel),
             .sinceBoot = { milliseconds(sinceBootMs) },
             .wallMs = wallMs };
}

/// A record of a VM whose clocks show 1 s since its boot and this time of day.
WeightsRecord record(const std::string &node, std::int64_t wallMs,
                     std::vector<DesiredWeightsAge> ages)
{
    return {
        .node = node, .writtenAt = reading(1000, wallMs), .era = Era, .ages = std::move(ages)
    };
}

std::vector<DesiredWeightsAge> ages(const std::vector<WeightsRecord> &records,
                                    const ClockReading &now, WeightsVersion desired)
{
    const std::vector<DesiredWeights> listed { { .model = Model, .version = desired } };
    return agesFromRecords(records, { .node = "a", .now = now, .era = Era }, listed);
}

Instant at(int milli)
{
    return Instant(std::chrono::hours(1) + milliseconds(milli));
}

} // namespace

BOOST_AUTO_TEST_SUITE(WeightsRecordTest)

BOOST_AUTO_TEST_CASE(withoutRecordsNothingIsKnown)
{
    BOOST_TEST(ages({}, reading(5000, 5000), 2).empty());
}

BOOST_AUTO_TEST_CASE(ownRecordGrowsByTheClockOfTheKernelWhateverTheTimeOfDay)
{
    const std::vector records { record("a", 90000, { age(2, 700) }),
                                record("b", 10000, { age(2, 100) }) };
    BOOST_TEST((ages(records, reading(4000, 85000), 2) == std::vector { age(2, 3700) }));
    BOOST_TEST((ages(records, reading(4000, 110000), 2) == std::vector { age(2, 3700) }));
}

BOOST_AUTO_TEST_CASE(ownRecordGrowsByTheTimeOfDayAfterARestartOfTheVm)
{
    const std::vector records { record("a", 90000, { age(2, 700) }) };
    BOOST_TEST((ages(records, reading(4000, 95000, "k2"), 2) == std::vector { age(2, 5700) }));
    BOOST_TEST((ages(records, reading(500, 95000), 2) == std::vector { age(2, 5700) }));
    BOOST_TEST((ages(records, reading(500, 80000), 2) == std::vector { age(2, 700) }));
    // A VM that comes back from a snapshot keeps the identifier of its kernel.
    BOOST_TEST((ages(records, reading(86000000, 95000), 2) == std::vector { age(2, 5700) }));
    const std::vector unknownKernel { WeightsRecord {
        .node = "a", .writtenAt = reading(1000, 90000, ""), .era = Era, .ages = { age(2, 700) } } };
    BOOST_TEST((ages(unknownKernel, reading(4000, 95000, ""), 2) == std::vector { age(2, 5700) }));
}

BOOST_AUTO_TEST_CASE(clocksOfOtherVmsCountByTheirMedian)
{
    const std::vector records { record("b", 90000, { age(2, 0) }),
                                record("c", 89900, { age(2, 0) }),
                                record("d", 97000, { age(2, 0) }) };
    BOOST_TEST((ages(records, reading(90000, 95000), 2) == std::vector { age(2, 5000) }));
}

BOOST_AUTO_TEST_CASE(versionThatNoRecordNamesIsAtMostAsOldAsTheRecords)
{
    const std::vector records { record("b", 93000, { age(2, 0) }),
                                record("c", 92000, { age(2, 0) }),
                                record("d", 90000, { age(2, 0) }) };
    BOOST_TEST(
        (ages(records, reading(90000, 95000), 3) == std::vector { age(2, 3000), age(3, 3000) }));
    // The time of day of one VM may be ahead.
    const std::vector ahead { record("b", 99000, {}), record("c", 92000, {}) };
    BOOST_TEST((ages(ahead, reading(90000, 95000), 3) == std::vector { age(3, 3000) }));
    const std::vector single { record("b", 91000, {}) };
    BOOST_TEST((ages(single, reading(90000, 95000), 3) == std::vector { age(3, 4000) }));
}

BOOST_AUTO_TEST_CASE(recordsOfALostHistoryDoNotBoundAVersion)
{
    std::vector records { record("b", 90000, { age(2, 400) }) };
    records[0].era = Era - 1;
    BOOST_TEST((ages(records, reading(90000, 95000), 3) == std::vector { age(2, 5400) }));
}

BOOST_AUTO_TEST_CASE(recordIsWrittenWhenSomethingIsLearnedAndOncePerPeriod)
{
    WeightsRecordSchedule schedule({ .period = milliseconds(5000),
                                     .phase = milliseconds(2000),
                                     .retryPause = milliseconds(500) },
                                   at(0));
    BOOST_TEST(schedule.due({}, at(0)));
    schedule.noteWritten({}, at(0));
    BOOST_TEST(!schedule.due({}, at(100)));
    BOOST_TEST(schedule.due(std::vector { age(2, 0) }, at(100)));
    schedule.noteFailed(at(100));
    BOOST_TEST(!schedule.due(std::vector { age(2, 499) }, at(599)));
    BOOST_TEST(schedule.due(std::vector { age(2, 500) }, at(600)));
    schedule.noteWritten(std::vector { age(2, 500) }, at(600));
    BOOST_TEST(!schedule.due(std::vector { age(2, 1899) }, at(1999)));
    BOOST_TEST(schedule.due(std::vector { age(2, 1900) }, at(2000)));
    schedule.noteWritten(std::vector { age(2, 1900) }, at(2000));
    BOOST_TEST(!schedule.due(std::vector { age(2, 6800) }, at(6900)));
    BOOST_TEST(schedule.due(std::vector { age(2, 7800) }, at(6900)));
    BOOST_TEST(schedule.due(std::vector { age(2, 6900) }, at(7000)));
}

BOOST_AUTO_TEST_CASE(neverTakenForYoungerWhileMostClocksAreRightHoweverOftenAllNodesEnd)
{
    // Seven VMs end all at once at any moment, with or without their kernels, and start again.
    // One time of day is wrong by seconds and changes; writes fail for some time.
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        constexpr std::size_t Vms = 7;
        std::vector<WeightsRecord> stored;
        std::vector<std::int64_t> kernelStart(Vms, -100000);
        std::int64_t wrongByMs = 0;
        const std::size_t wrongVm = random() % Vms;
        const std::int64_t namedAt = 3000 + static_cast<std::int64_t>(random() % 4000);
        const std::int64_t refusedFrom = static_cast<std::int64_t>(random() % 15000);
        const std::int64_t refusedUntil = refusedFrom + static_cast<std::int64_t>(random() % 3000);
        std::int64_t downUntil = 0;
        std::vector<DesiredWeightsHistory> known(Vms);
        std::vector<WeightsRecordSchedule> schedules;
        const auto clocks = [&](std::size_t vm, std::int64_t now) {
            return reading(now - kernelStart[vm],
                           1000000 + now + (vm == wrongVm ? wrongByMs : 0)
                               + static_cast<std::int64_t>(vm * 13 % 40),
                           "k" + std::to_string(kernelStart[vm]));
        };
        const auto start = [&](std::int64_t now) {
            known.assign(Vms, DesiredWeightsHistory());
            schedules.clear();
            std::vector<DesiredWeights> listed { { .model = Model, .version = 1 } };
            if (now >= namedAt) {
                listed[0].version = 2;
            }
            for (std::size_t vm = 0; vm < Vms; ++vm) {
                schedules.emplace_back(
                    WeightsRecordSchedule::Options {
                        .phase = milliseconds(static_cast<std::int64_t>(random() % 5000)) },
                    at(static_cast<int>(now)));
                known[vm].recordDesired(listed[0], at(static_cast<int>(now)));
                known[vm].mergeAges(
                    agesFromRecords(
                        stored, { .node = std::to_string(vm), .now = clocks(vm, now), .era = Era },
                        listed),
                    at(static_cast<int>(now)));
            }
        };
        start(0);
        for (std::int64_t now = 0; now < 25000; now += 50) {
            if (random() % 40 == 0) {
                wrongByMs = static_cast<std::int64_t>(random() % 12000) - 6000;
            }
            if (downUntil <= now && now > 2000 && random() % 60 == 0) {
                const bool power = random() % 2 == 0;
                downUntil = now + 500 + static_cast<std::int64_t>(random() % 3000);
                for (std::size_t vm = 0; vm < Vms && power; ++vm) {
                    kernelStart[vm] = downUntil;
                }
            }
            if (downUntil > now) {
                continue;
            }
            const Instant instant = at(static_cast<int>(now));
            if (downUntil > now - 50) {
                start(now);
            }
            std::optional<Instant> since;
            for (std::size_t vm = 0; vm < Vms; ++vm) {
                if (now >= namedAt) {
                    known[vm].recordDesired({ .model = Model, .version = 2 }, instant);
                }
                // All nodes of one moment hear each other.
                const auto own = known[vm].outdatedSince(Model, 1);
                if (own.has_value()) {
                    since = std::min(since.value_or(*own), *own);
                }
                const std::vector<DesiredWeightsAge> told = known[vm].ages(instant);
                if (!schedules[vm].due(told, instant)
                    || (now >= refusedFrom && now < refusedUntil)) {
                    continue;
                }
                schedules[vm].noteWritten(told, instant);
                std::erase_if(stored, [&](const WeightsRecord &one) {
                    return one.node == std::to_string(vm);
                });
                stored.push_back({ .node = std::to_string(vm),
                                   .writtenAt = clocks(vm, now),
                                   .era = Era,
                                   .ages = told });
            }
            if (now >= namedAt) {
                BOOST_TEST_INFO("seed " << seed << " at " << now << " ms, set at " << namedAt);
                BOOST_REQUIRE(since.has_value());
                // The times of day of VMs differ by 39 ms at most, and a step takes 50 ms.
                BOOST_TEST((*since <= at(static_cast<int>(namedAt)) + milliseconds(100)));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
