#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Placement/LinkHealth.h"

namespace jacinthroad {

namespace {

Instant at(std::int64_t milli)
{
    return Instant(milliseconds(1000000 + milli));
}

ServerId server(const std::string &service, int number)
{
    return ServerId(service + "-" + std::to_string(number));
}

/// A node whose servers accept connections, refuse them or let them hang.
class LinkedNode
{
public:
    enum class Answer { Accepts, Refuses, Hangs };

    explicit LinkedNode(const std::vector<std::string> &services, int serversOfService = 6)
    {
        std::map<ServerId, ServiceId> listed;
        for (const std::string &service : services) {
            for (int number = 0; number < serversOfService; ++number) {
                listed[server(service, number)] = ServiceId(service);
            }
        }
        links.setServers(std::move(listed));
    }

    void connect(const ServerId &id, Instant now)
    {
        links.noteConnecting(id, now);
        switch (answer(id)) {
        case Answer::Accepts:
            links.noteConnected(id, now);
            break;
        case Answer::Refuses:
            links.noteConnectFailed(id, now);
            break;
        case Answer::Hangs:
            break;
        }
    }

    /// Updates and probes from one moment to another.
    void run(std::int64_t from, std::int64_t until)
    {
        for (std::int64_t milli = from; milli < until; milli += 50) {
            for (const ServerId &id : links.update(at(milli))) {
                ++probes;
                connect(id, at(milli));
            }
        }
    }

    LinkHealth links;
    std::function<Answer(const ServerId &)> answer
        = [](const ServerId &) { return Answer::Accepts; };
    int probes = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LinkHealthTest)

BOOST_AUTO_TEST_CASE(refusedConnectionsToServersOfAllServicesAreALostLink)
{
    LinkedNode node({ "a", "b", "c", "d" });
    node.answer = [](const ServerId &) { return LinkedNode::Answer::Refuses; };
    node.connect(server("a", 1), at(0));
    BOOST_TEST(!node.links.lost(at(0)));
    node.run(0, 300);
    BOOST_TEST(node.links.lost(at(300)));
}

BOOST_AUTO_TEST_CASE(hangingConnectionsAreALostLinkWithinHalfASecond)
{
    LinkedNode node({ "a", "b", "c", "d" });
    node.answer = [](const ServerId &) { return LinkedNode::Answer::Hangs; };
    node.connect(server("a", 1), at(0));
    node.run(0, 500);
    BOOST_TEST(node.links.lost(at(500)));
}

BOOST_AUTO_TEST_CASE(silenceOnAllKeptConnectionsIsExaminedByProbes)
{
    LinkedNode node({ "a", "b", "c" });
    node.answer = [](const ServerId &) { return LinkedNode::Answer::Hangs; };
    node.links.noteSent(server("a", 0), at(0));
    node.run(0, 800);
    BOOST_TEST(node.links.lost(at(800)));
}

BOOST_AUTO_TEST_CASE(silenceOfOneServiceIsExaminedWhileAnotherSendsData)
{
    LinkedNode node({ "a", "b" }, 18);
    node.answer = [](const ServerId &id) {
        return id.text().front() == 'a' ? LinkedNode::Answer::Hangs : LinkedNode::Answer::Accepts;
    };
    node.links.noteSent(server("a", 0), at(0));
    for (std::int64_t milli = 0; milli < 600; milli += 50) {
        node.links.noteReceived(server("b", 0), at(milli));
        node.links.noteConnected(server("b", 0), at(milli));
        node.run(milli, milli + 50);
    }
    BOOST_TEST(node.links.lost(ServiceId("a"), at(600)));
}

BOOST_AUTO_TEST_CASE(busyServersWithSoundLinksAreProbedSeldom)
{
    LinkedNode node({ "a", "b", "c" });
    node.links.noteSent(server("a", 0), at(0));
    node.run(0, 250);
    BOOST_TEST(node.probes == 0);
    node.run(250, 1000);
    BOOST_TEST(node.probes <= 3);
    BOOST_TEST(!node.links.lost(at(1000)));
}

BOOST_AUTO_TEST_CASE(allServersOfOneServiceMayFailWithSoundLinks)
{
    LinkedNode node({ "a", "b", "c" });
    node.answer = [](const ServerId &id) {
        return id.text().front() == 'a' ? LinkedNode::Answer::Refuses : LinkedNode::Answer::Accepts;
    };
    for (std::int64_t milli = 0; milli < 2000; milli += 50) {
        for (int number = 0; number < 6; ++number) {
            node.connect(server("a", number), at(milli));
            BOOST_TEST(!node.links.lost(at(milli)));
        }
        node.run(milli, milli + 50);
        BOOST_TEST(!node.links.lost(at(milli + 49)));
    }
}

BOOST_AUTO_TEST_CASE(servedConnectionsDoNotHideThatNewOnesFail)
{
    LinkedNode node({ "a", "b", "c" });
    node.answer = [](const ServerId &) { return LinkedNode::Answer::Refuses; };
    node.connect(server("a", 1), at(0));
    for (std::int64_t milli = 0; milli < 500; milli += 50) {
        node.links.noteReceived(server("b", 1), at(milli));
        node.run(milli, milli + 50);
    }
    BOOST_TEST(node.links.lost(at(500)));
}

BOOST_AUTO_TEST_CASE(lostLinkStaysLostAndItsEndIsFoundByFewProbes)
{
    LinkedNode node({ "a", "b", "c" });
    node.answer = [](const ServerId &) { return LinkedNode::Answer::Refuses; };
    node.connect(server("a", 1), at(0));
    node.run(0, 500);
    node.probes = 0;
    for (std::int64_t milli = 500; milli < 12500; milli += 50) {
        node.run(milli, milli + 50);
        BOOST_TEST(node.links.lost(at(milli + 49)));
    }
    BOOST_TEST(node.probes <= 80);
    node.answer = [](const ServerId &) { return LinkedNode::Answer::Accepts; };
    node.run(12500, 12700);
    BOOST_TEST(!node.links.lost(at(12700)));
}

BOOST_AUTO_TEST_CASE(endOfALostLinkIsFoundThoughProbesHang)
{
    LinkedNode node({ "a", "b", "c" }, 3);
    node.answer = [](const ServerId &) { return LinkedNode::Answer::Hangs; };
    node.connect(server("a", 1), at(0));
    std::map<ServerId, std::int64_t> began { { server("a", 1), 0 } };
    bool lost = true;
    for (std::int64_t milli = 0; milli < 6000; milli += 50) {
        std::erase_if(began, [&](const auto &entry) {
            if (milli - entry.second < 400) {
                return false;
            }
            node.links.noteConnectFailed(entry.first, at(milli));
            return true;
        });
        for (const ServerId &id : node.links.update(at(milli))) {
            node.links.noteConnecting(id, at(milli));
            began[id] = milli;
        }
        if (milli >= 500) {
            lost = lost && node.links.lost(at(milli));
        }
    }
    BOOST_TEST(lost);
    node.answer = [](const ServerId &) { return LinkedNode::Answer::Accepts; };
    node.run(6000, 6400);
    BOOST_TEST(!node.links.lost(at(6400)));
}

BOOST_AUTO_TEST_CASE(stalledThreadTakesNoConnectionForFailed)
{
    LinkedNode node({ "a", "b", "c" });
    BOOST_TEST(node.links.update(at(0)).empty());
    for (const char *service : { "a", "b", "c" }) {
        node.links.noteConnecting(server(service, 1), at(1));
    }
    BOOST_TEST(node.links.update(at(1000)).empty());
    BOOST_TEST(!node.links.lost(at(1000)));
}

BOOST_AUTO_TEST_CASE(failedServersOfAnHourAreNoLostLink)
{
    LinkedNode node({ "a", "b", "c" });
    for (int hour = 0; hour < 3; ++hour) {
        const Instant now = at(std::int64_t { 3600000 } * hour);
        node.links.noteConnectFailed(server(std::string(1, static_cast<char>('a' + hour)), 1), now);
        BOOST_TEST(!node.links.lost(now));
    }
}

BOOST_AUTO_TEST_CASE(linksToOneServiceAreLostWhileOthersAccept)
{
    LinkedNode node({ "a", "b" }, 18);
    const auto withoutA = [](const ServerId &id) {
        return id.text().front() == 'a' ? LinkedNode::Answer::Hangs : LinkedNode::Answer::Accepts;
    };
    node.answer = withoutA;
    node.connect(server("a", 1), at(0));
    for (std::int64_t milli = 0; milli < 500; milli += 50) {
        node.connect(server("b", 1), at(milli));
        node.run(milli, milli + 50);
    }
    BOOST_TEST(node.links.lost(ServiceId("a"), at(500)));
    BOOST_TEST(!node.links.lost(ServiceId("b"), at(500)));
    BOOST_TEST(!node.links.lost(at(500)));
    node.answer = [](const ServerId &) { return LinkedNode::Answer::Accepts; };
    node.run(500, 1000);
    BOOST_TEST(!node.links.lost(ServiceId("a"), at(1000)));
}

BOOST_AUTO_TEST_CASE(refusalBehindALostLinkTellsNothingOfTheServer)
{
    LinkedNode node({ "a", "b", "c" });
    node.answer = [](const ServerId &) { return LinkedNode::Answer::Refuses; };
    node.links.noteRefused(server("a", 1), at(0));
    BOOST_TEST(
        (node.links.causeOfRefusal(server("a", 1), at(0), at(0)) == RefusalCause::Undecided));
    node.run(0, 400);
    BOOST_TEST((node.links.causeOfRefusal(server("a", 1), at(0), at(400)) == RefusalCause::Link));
}

BOOST_AUTO_TEST_CASE(refusalWithSoundLinksIsSoonKnownToBeTheServers)
{
    LinkedNode node({ "a", "b", "c" });
    node.answer = [](const ServerId &id) {
        return id == server("a", 1) ? LinkedNode::Answer::Refuses : LinkedNode::Answer::Accepts;
    };
    node.links.noteRefused(server("a", 1), at(0));
    node.run(50, 100);
    BOOST_TEST((node.links.causeOfRefusal(server("a", 1), at(0), at(100)) == RefusalCause::Server));
}

BOOST_AUTO_TEST_CASE(fewServersAreNotToldFromALostLink)
{
    LinkedNode node({ "a" }, 2);
    node.answer = [](const ServerId &) { return LinkedNode::Answer::Refuses; };
    node.connect(server("a", 0), at(0));
    node.connect(server("a", 1), at(0));
    node.run(0, 1000);
    BOOST_TEST(!node.links.lost(at(1000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
