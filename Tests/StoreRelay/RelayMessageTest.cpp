#include <string>

#include <boost/test/unit_test.hpp>

#include "StoreRelay/RelayMessage.h"

namespace jacinthroad {

namespace {

std::string example()
{
    platform::StoredObject object { .name = "main", .revision = 70 };
    object.spec["version"] = 4;
    platform::StoredObject unreadable { .name = "odd", .revision = 71 };
    unreadable.fault = "too deep";
    platform::StoredObject part { .name = "part", .revision = 72 };
    part.text = "{\"path\":\"/a\"}";
    const std::string events[]
        = { encodeRelayedEvent(object, false), encodeRelayedEvent(unreadable, false),
            encodeRelayedEvent(part, false) };
    return encodeRelayPage({ .head = { .position = { .source = 9, .sequence = 12, .began = 11 },
                                       .content = RelayContent::All,
                                       .bytesLeft = 5000,
                                       .revision = 77,
                                       .era = 3,
                                       .age = milliseconds(250),
                                       .events = {} },
                             .events = { events[0], events[1], events[2] } });
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayMessageTest)

BOOST_AUTO_TEST_CASE(eventsOfAPageTakeMoreMemoryTogetherThanOneMay)
{
    // A list of three bytes takes about 155 when it is parsed.
    constexpr Json::ArrayIndex Lists = 50'000;
    platform::StoredObject object { .name = "a", .revision = 1 };
    object.spec["lists"][Lists] = Json::Value(Json::arrayValue);
    for (Json::Value &list : object.spec["lists"]) {
        list = Json::Value(Json::arrayValue);
    }
    const std::string event = encodeRelayedEvent(object, false);
    const auto page = [&](std::size_t count) {
        return encodeRelayPage({ .head = { .position = { .source = 9, .sequence = 12, .began = 11 },
                                           .content = RelayContent::All,
                                           .bytesLeft = 0,
                                           .revision = 77,
                                           .events = {} },
                                 .events = std::vector<std::string_view>(count, event) });
    };
    BOOST_TEST(decodeRelayedChanges(page(1)).has_value());
    BOOST_TEST(!decodeRelayedChanges(page(4)).has_value());
}

BOOST_AUTO_TEST_CASE(changesAreDecodedAsEncoded)
{
    const auto decoded = decodeRelayedChanges(example());
    BOOST_REQUIRE(decoded.has_value());
    BOOST_CHECK((decoded->position == RelayPosition { .source = 9, .sequence = 12, .began = 11 }));
    BOOST_CHECK(decoded->content == RelayContent::All);
    BOOST_TEST(decoded->bytesLeft == 5000U);
    BOOST_TEST(decoded->revision == 77U);
    BOOST_CHECK(decoded->era == std::optional<std::uint64_t>(3));
    // Rounded up, so that what is passed on never looks newer.
    BOOST_CHECK(decoded->age >= milliseconds(250) && decoded->age <= milliseconds(252));
    BOOST_REQUIRE(decoded->events.size() == 3U);
    BOOST_TEST(decoded->events[0].object.spec["version"].asInt() == 4);
    BOOST_TEST(decoded->events[1].object.spec.isNull());
    BOOST_TEST(decoded->events[1].object.fault == "too deep");
    BOOST_TEST(decoded->events[2].object.text == "{\"path\":\"/a\"}");
    BOOST_TEST(decoded->events[2].object.spec.isNull());
}

BOOST_AUTO_TEST_CASE(truncatedAndForeignMessagesAreRejected)
{
    const std::string message = example();
    for (std::size_t size = 0; size < message.size(); ++size) {
        BOOST_TEST(!decodeRelayedChanges(std::string_view(message).substr(0, size)).has_value());
    }
    BOOST_TEST(!decodeRelayedChanges("HTTP/1.1 200 OK").has_value());
}

BOOST_AUTO_TEST_CASE(messageThatStatesMoreEntriesThanFollowIsRejectedWithoutAllocatingThem)
{
    const std::string_view message("\xdd\xff\xff\xff\xff\x02", 6);
    const auto decoded = decodeRelayedChanges(message);
    BOOST_REQUIRE(!decoded.has_value());
    BOOST_TEST(decoded.error().message.find("size") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(queriesAreParsedAsWritten)
{
    const RelayQuery query { .kind = platform::ObjectKind::Servers,
                             .position = { .source = 5, .sequence = 6, .began = 4 },
                             .digest = 1234567890123456789U,
                             .maxAge = milliseconds(1900),
                             .onlyHere = true,
                             .wait = milliseconds(1500) };
    const auto parsed = parseRelayTarget(relayTarget(query));
    BOOST_REQUIRE(parsed.has_value());
    BOOST_CHECK(parsed->kind == query.kind);
    BOOST_CHECK(parsed->position == query.position);
    BOOST_TEST(parsed->digest == query.digest);
    BOOST_CHECK(parsed->maxAge == query.maxAge);
    BOOST_TEST(parsed->onlyHere);
    BOOST_CHECK(parsed->wait == query.wait);
}

BOOST_AUTO_TEST_CASE(malformedQueriesAreRejected)
{
    for (const char *target :
         { "/",
           "/objects/",
           "/objects/leases?source=1&after=1&wait_ms=1",
           "/objects/leases?source=1&after=1&began=1&digest=1&max_age_ms=1&only_here=0&wait_ms=1",
           "/objects/servers?source=1&after=1&began=1&digest=1&max_age_ms=1&only_here=2&wait_ms=1",
           "/objects/"
           "servers?source=1&after=1&began=1&digest=1&max_age_ms=1&only_here=0&wait_ms=99999999",
           "/objects/"
           "servers?source=1&after=1&began=1&digest=1&max_age_ms=1&only_here=0&wait_ms=1more=1",
           "/objects/"
           "servers?source=1&after=1&began=1&digest=1&max_age_ms=1&only_here=0&wait_ms=1&",
           "/objects/"
           "servers?source=1&after=1&began=1&digest=1&max_age_ms=1&only_here=0&wait_ms=1&more",
           "/objects/"
           "servers?source=1&after=1&began=1&digest=1&max_age_ms=1&only_here=0&wait_ms=1&=1",
           "/objects/"
           "servers?source=1&after=1&began=1&digest=1&max_age_ms=1&only_here=0&wait_ms=1&more=1&",
           "/objects/"
           "servers?source=1&after=1&began=1&digest=1&max_age_ms=1&only_here=0&wait_ms=1&wait_ms=2",
           "/objects/"
           "servers?source=1&after=1&began=1&digest=1&max_age_ms=1&only_here=0&wait_ms=1&more=1&"
           "digest=2",
           "/objects/"
           "servers?source=1&after=1&began=1&digest=1&max_age_ms=1&only_here=0&wait_ms=1?more=1",
           "/objects/servers?source=-1&after=1&began=1&digest=1&max_age_ms=1&only_here=0&wait_ms=1",
           "/objects/servers",
           "/objects/servers?source=x&after=1&wait_ms=1",
           "/objects/servers?source=1&after=1&wait_ms=99999999",
           "/objects/servers?source=1&after=1&wait_ms=1&more=1",
           "/objects/servers?source=-1&after=1&wait_ms=1" }) {
        BOOST_TEST(!parseRelayTarget(target).has_value(), target);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
