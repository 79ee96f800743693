#include <boost/test/unit_test.hpp>

#include "Fleet/NamedWeightsHistory.h"

namespace jacinthroad {

namespace {

const ModelId Model("m");

Instant at(int milli)
{
    return Instant(std::chrono::hours(1) + milliseconds(milli));
}

} // namespace

BOOST_AUTO_TEST_SUITE(NamedWeightsHistoryTest)

BOOST_AUTO_TEST_CASE(nothingIsReplacedBeforeWeightsAreNamed)
{
    NamedWeightsHistory history;
    BOOST_TEST(!history.replaced(Model, 1));
    history.take({ .model = Model, .version = 1 }, at(0));
    BOOST_TEST(!history.replaced(Model, 1));
    BOOST_TEST(!history.replaced(ModelId("other"), 0));
}

BOOST_AUTO_TEST_CASE(theFirstNewerVersionSetsTheTime)
{
    NamedWeightsHistory history;
    history.take({ .model = Model, .version = 2 }, at(100));
    history.take({ .model = Model, .version = 4 }, at(900));
    history.take({ .model = Model, .version = 2 }, at(1200));
    BOOST_TEST((history.replacedSince(Model, 1) == at(100)));
    BOOST_TEST((history.replacedSince(Model, 3) == at(900)));
    BOOST_TEST(!history.replacedSince(Model, 4).has_value());
}

BOOST_AUTO_TEST_CASE(agesOfOthersOnlyMoveTheTimeBack)
{
    NamedWeightsHistory earlier;
    earlier.take({ .model = Model, .version = 2 }, at(1000));
    NamedWeightsHistory later;
    later.take({ .model = Model, .version = 2 }, at(5000));
    later.takeAges(earlier.ages(at(6000)), at(6100));
    BOOST_TEST((later.replacedSince(Model, 1) == at(1100)));
    earlier.takeAges(later.ages(at(6200)), at(9000));
    BOOST_TEST((earlier.replacedSince(Model, 1) == at(1000)));
}

BOOST_AUTO_TEST_CASE(agesOfVersionsNotReadYetCount)
{
    NamedWeightsHistory history;
    history.takeAges(std::vector<NamedNotice> { { .model = Model, .version = 3, .ageMs = 4000 } },
                     at(5000));
    BOOST_TEST((history.replacedSince(Model, 2) == at(1000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
