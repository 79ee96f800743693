#include "Quarantine/Quarantine.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthroad;

namespace {

const Instant Start;

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineTest)

BOOST_AUTO_TEST_CASE(crashingRequestIsDeniedAfterTwoCrashesAndOthersAreCleared)
{
    Quarantine quarantine({});
    for (const RequestFingerprint fingerprint : { 1, 2, 3 }) {
        quarantine.noteCrash(fingerprint, false, Start);
        BOOST_TEST((quarantine.permission(fingerprint, Start) == RunPermission::Exclusive));
    }
    quarantine.noteFinished(1, Start);
    quarantine.noteFinished(2, Start);
    quarantine.noteCrash(3, true, Start);
    BOOST_TEST((quarantine.permission(1, Start) == RunPermission::Unrestricted));
    BOOST_TEST((quarantine.permission(2, Start) == RunPermission::Unrestricted));
    BOOST_TEST((quarantine.permission(3, Start) == RunPermission::Denied));
}

BOOST_AUTO_TEST_CASE(entriesMergeFromPeersAndExpire)
{
    Quarantine first({ .quarantineLifetime = std::chrono::seconds(5) });
    Quarantine second({ .quarantineLifetime = std::chrono::seconds(5) });
    first.noteCrash(9, true, Start);
    for (const QuarantineRecord &record : first.records(Start)) {
        second.merge(record, Start);
    }
    BOOST_TEST((second.permission(9, Start) == RunPermission::Denied));
    const Instant later = Start + std::chrono::seconds(6);
    BOOST_TEST((second.permission(9, later) == RunPermission::Unrestricted));
    BOOST_TEST(second.records(later).empty());
}

BOOST_AUTO_TEST_CASE(clearedSuspectStaysClearedAfterAnOlderPeerEntry)
{
    Quarantine first({});
    Quarantine second({});
    first.noteCrash(9, false, Start);
    const auto olderEntries = first.records(Start);
    second.merge(olderEntries.front(), Start);
    second.noteFinished(9, Start);
    second.merge(olderEntries.front(), Start + milliseconds(10));
    BOOST_TEST((second.permission(9, Start + milliseconds(20)) == RunPermission::Unrestricted));
}

BOOST_AUTO_TEST_CASE(entryCountStaysWithinCapacity)
{
    Quarantine quarantine({ .capacity = 16 });
    for (RequestFingerprint fingerprint = 0; fingerprint < 1000; ++fingerprint) {
        quarantine.noteCrash(fingerprint, false, Start + milliseconds(fingerprint));
    }
    BOOST_TEST(quarantine.records(Start).size() <= 16U);
}

BOOST_AUTO_TEST_SUITE_END()
