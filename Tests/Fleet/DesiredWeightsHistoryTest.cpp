#include <boost/test/unit_test.hpp>

#include "Fleet/DesiredWeightsHistory.h"

namespace jacinthroad {

namespace {

const ModelId Model("m");

Instant at(int milli)
{
    return Instant(std::chrono::hours(1) + milliseconds(milli));
}

} // namespace

BOOST_AUTO_TEST_SUITE(DesiredWeightsHistoryTest)

BOOST_AUTO_TEST_CASE(nothingIsOutdatedBeforeANewerVersion)
{
    DesiredWeightsHistory history;
    BOOST_TEST(!history.isOutdated(Model, 1));
    history.recordDesired({ .model = Model, .version = 1 }, at(0));
    BOOST_TEST(!history.isOutdated(Model, 1));
    BOOST_TEST(!history.isOutdated(ModelId("other"), 0));
}

BOOST_AUTO_TEST_CASE(firstNewerVersionSetsTheTime)
{
    DesiredWeightsHistory history;
    history.recordDesired({ .model = Model, .version = 2 }, at(100));
    history.recordDesired({ .model = Model, .version = 4 }, at(900));
    history.recordDesired({ .model = Model, .version = 2 }, at(1200));
    BOOST_TEST((history.outdatedSince(Model, 1) == at(100)));
    BOOST_TEST((history.outdatedSince(Model, 3) == at(900)));
    BOOST_TEST(!history.outdatedSince(Model, 4).has_value());
}

BOOST_AUTO_TEST_CASE(mergedAgesOnlyMoveTheTimeBack)
{
    DesiredWeightsHistory earlier;
    earlier.recordDesired({ .model = Model, .version = 2 }, at(1000));
    DesiredWeightsHistory later;
    later.recordDesired({ .model = Model, .version = 2 }, at(5000));
    later.mergeAges(earlier.ages(at(6000)), at(6100));
    BOOST_TEST((later.outdatedSince(Model, 1) == at(1100)));
    earlier.mergeAges(later.ages(at(6200)), at(9000));
    BOOST_TEST((earlier.outdatedSince(Model, 1) == at(1000)));
}

BOOST_AUTO_TEST_CASE(newerVersionThatIsKnownForLongerSetsTheTime)
{
    DesiredWeightsHistory history;
    history.recordDesired({ .model = Model, .version = 2 }, at(5000));
    history.mergeAges(
        std::vector<DesiredWeightsAge> { { .model = Model, .version = 3, .ageMs = 4000 } },
        at(5000));
    BOOST_TEST((history.outdatedSince(Model, 1) == at(1000)));
}

BOOST_AUTO_TEST_CASE(mergeReturnsWhatIsNewOrEarlierByASecond)
{
    DesiredWeightsHistory history;
    BOOST_TEST(history.recordDesired({ .model = Model, .version = 2 }, at(5000)));
    BOOST_TEST(!history.recordDesired({ .model = Model, .version = 2 }, at(6000)));
    const std::vector<DesiredWeightsAge> ages { { .model = Model, .version = 2, .ageMs = 1999 },
                                                { .model = Model, .version = 3, .ageMs = 0 } };
    BOOST_TEST((history.mergeAges(ages, at(6000)) == std::vector { ages[1] }));
    const std::vector<DesiredWeightsAge> earlier {
        { .model = Model, .version = 2, .ageMs = 3000 }
    };
    BOOST_TEST((history.mergeAges(earlier, at(6000)) == earlier));
}

BOOST_AUTO_TEST_CASE(mergedAgesOfUnknownVersionsAreAdded)
{
    DesiredWeightsHistory history;
    history.mergeAges(
        std::vector<DesiredWeightsAge> { { .model = Model, .version = 3, .ageMs = 4000 } },
        at(5000));
    BOOST_TEST((history.outdatedSince(Model, 2) == at(1000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
