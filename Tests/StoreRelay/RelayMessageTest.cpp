#include <string>

#include <boost/test/unit_test.hpp>

#include "StoreRelay/RelayMessage.h"

namespace jacinthroad {

namespace {

RelayedChanges example()
{
    RelayedChanges changes { .position = { .source = 9, .sequence = 12 },
                             .complete = true,
                             .revision = 77,
                             .era = 3,
                             .age = milliseconds(250),
                             .events = {} };
    platform::StoredObject object { .name = "main", .revision = 70 };
    object.spec["version"] = 4;
    changes.events.push_back({ .object = object, .removed = false });
    platform::StoredObject unreadable { .name = "odd", .revision = 71 };
    unreadable.fault = "too deep";
    changes.events.push_back({ .object = unreadable, .removed = false });
    return changes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayMessageTest)

BOOST_AUTO_TEST_CASE(changesAreDecodedAsEncoded)
{
    const auto decoded = decodeRelayedChanges(encodeRelayedChanges(example()));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_CHECK((decoded->position == RelayPosition { .source = 9, .sequence = 12 }));
    BOOST_TEST(decoded->complete);
    BOOST_TEST(decoded->revision == 77U);
    BOOST_CHECK(decoded->era == std::optional<std::uint64_t>(3));
    // Rounded up, so that what is passed on never looks newer.
    BOOST_CHECK(decoded->age >= milliseconds(250) && decoded->age <= milliseconds(252));
    BOOST_REQUIRE(decoded->events.size() == 2U);
    BOOST_TEST(decoded->events[0].object.spec["version"].asInt() == 4);
    BOOST_TEST(decoded->events[1].object.spec.isNull());
    BOOST_TEST(decoded->events[1].object.fault == "too deep");
}

BOOST_AUTO_TEST_CASE(truncatedAndForeignMessagesAreRejected)
{
    const std::string message = encodeRelayedChanges(example());
    for (std::size_t size = 0; size < message.size(); ++size) {
        BOOST_TEST(!decodeRelayedChanges(std::string_view(message).substr(0, size)).has_value());
    }
    BOOST_TEST(!decodeRelayedChanges("HTTP/1.1 200 OK").has_value());
}

BOOST_AUTO_TEST_CASE(queriesAreParsedAsWritten)
{
    const RelayQuery query { .kind = platform::ObjectKind::Servers,
                             .position = { .source = 5, .sequence = 6 },
                             .wait = milliseconds(1500) };
    const auto parsed = parseRelayTarget(relayTarget(query));
    BOOST_REQUIRE(parsed.has_value());
    BOOST_CHECK(parsed->kind == query.kind);
    BOOST_CHECK(parsed->position == query.position);
    BOOST_CHECK(parsed->wait == query.wait);
}

BOOST_AUTO_TEST_CASE(malformedQueriesAreRejected)
{
    for (const char *target : { "/", "/objects/", "/objects/leases?source=1&after=1&wait_ms=1",
                                "/objects/servers", "/objects/servers?source=x&after=1&wait_ms=1",
                                "/objects/servers?source=1&after=1&wait_ms=99999999",
                                "/objects/servers?source=1&after=1&wait_ms=1&more=1",
                                "/objects/servers?source=-1&after=1&wait_ms=1" }) {
        BOOST_TEST(!parseRelayTarget(target).has_value(), target);
    }
}

BOOST_AUTO_TEST_CASE(textOfAPartIsPassedOnAsItIs)
{
    RelayedChanges changes = example();
    platform::StoredObject part;
    part.name = "main/routes/r";
    part.revision = 7;
    part.text = R"({ "name" : "r" })";
    changes.events = { { .object = part, .removed = false } };
    const auto decoded
        = decodeRelayedChanges(encodeRelayedChanges(changes), platform::SpecForm::Text);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->events.at(0).object.text == part.text);
    BOOST_TEST(decoded->events.at(0).object.spec.isNull());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
