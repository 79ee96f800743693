#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "FleetPeers/FleetRoles.h"

namespace jacinthroad {

namespace {

std::vector<std::string> nodes(unsigned count)
{
    std::vector<std::string> names;
    for (unsigned index = 0; index < count; ++index) {
        names.push_back("front-" + std::to_string(index));
    }
    return names;
}

std::vector<std::string> delegates(const std::vector<std::string> &live, std::size_t most)
{
    std::vector<std::string> chosen;
    for (const std::string &name : live) {
        if (isFleetDelegate(name, live, most)) {
            chosen.push_back(name);
        }
    }
    return chosen;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetRolesTest)

BOOST_AUTO_TEST_CASE(selectsAtMostTheGivenNumberOfNodes)
{
    BOOST_TEST(delegates(nodes(340), 8).size() == 8U);
    BOOST_TEST(delegates(nodes(7), 8).size() == 7U);
    BOOST_TEST(delegates(nodes(1), 8).size() == 1U);
}

BOOST_AUTO_TEST_CASE(eachSideOfAPartitionSelectsItsOwn)
{
    const std::vector<std::string> all = nodes(60);
    const std::vector<std::string> left(all.begin(), all.begin() + 20);
    const std::vector<std::string> right(all.begin() + 20, all.end());
    BOOST_TEST(delegates(left, 8).size() == 8U);
    BOOST_TEST(delegates(right, 8).size() == 8U);
}

BOOST_AUTO_TEST_CASE(removedNodeIsReplacedByOneOther)
{
    std::vector<std::string> live = nodes(60);
    const std::vector<std::string> before = delegates(live, 8);
    std::erase(live, before.front());
    const std::vector<std::string> after = delegates(live, 8);
    BOOST_TEST(after.size() == 8U);
    unsigned stayed = 0;
    for (const std::string &name : after) {
        stayed += std::count(before.begin(), before.end(), name) > 0 ? 1 : 0;
    }
    BOOST_TEST(stayed == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
