#include <array>
#include <string>
#include <string_view>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>

#include "../HexBytes.h"
#include "StoreRelay/RelayMessage.h"

namespace jacinthroad {

namespace {

/// Pages and a query as the build ab1a2b7 has encoded them, a page for each content.
constexpr std::array<std::string_view, 4> Pages {
    "9c02090c0b00cd13884dc303ccfbcffedcba98765432159496a46d61696e46c2ad7b2276657273696f6e22"
    "3a347da0c296a36f646447c2a0a8746f6f2064656570c296a47061727448c2ad7b2270617468223a222f61"
    "227da0c396a4676f6e6549c3a0a0c2",
    "9c02090c0b01cd13884dc303ccfbcffedcba98765432159496a46d61696e46c2ad7b2276657273696f6e22"
    "3a347da0c296a36f646447c2a0a8746f6f2064656570c296a47061727448c2ad7b2270617468223a222f61"
    "227da0c396a4676f6e6549c3a0a0c2",
    "9c02090c0b02cd13884dc303ccfbcffedcba987654321590",
    "9c02090c0b03cd13884dc303ccfbcffedcba987654321590",
};
constexpr std::string_view Target = "/objects/servers?source=5&after=6&began=4"
                                    "&digest=1234567890123456789&max_age_ms=1900&only_here=1"
                                    "&wait_ms=1500";

std::string encoded(RelayContent content)
{
    platform::StoredObject object { .name = "main", .revision = 70 };
    object.spec["version"] = 4;
    platform::StoredObject unreadable { .name = "odd", .revision = 71 };
    unreadable.fault = "too deep";
    platform::StoredObject part { .name = "part", .revision = 72 };
    part.text = "{\"path\":\"/a\"}";
    const std::string events[]
        = { encodeRelayedEvent(object, false), encodeRelayedEvent(unreadable, false),
            encodeRelayedEvent(part, false),
            encodeRelayedEvent({ .name = "gone", .revision = 73 }, true) };
    RelayPage page { .head = { .position = { .source = 9, .sequence = 12, .began = 11 },
                               .content = content,
                               .bytesLeft = 5000,
                               .revision = 77,
                               .era = 3,
                               .age = milliseconds(250),
                               .digest = 0xfedcba9876543215U,
                               .events = {} },
                     .events = {} };
    if (content == RelayContent::Changes || content == RelayContent::All) {
        page.events.assign(std::begin(events), std::end(events));
    }
    return encodeRelayPage(page);
}

void checkPage(std::string_view message, RelayContent content)
{
    const auto page = decodeRelayedChanges(message);
    BOOST_REQUIRE(page.has_value());
    BOOST_CHECK((page->position == RelayPosition { .source = 9, .sequence = 12, .began = 11 }));
    BOOST_CHECK(page->content == content);
    BOOST_TEST(page->bytesLeft == 5000U);
    BOOST_TEST(page->revision == 77U);
    BOOST_CHECK(page->era == std::optional<std::uint64_t>(3));
    BOOST_CHECK(page->age == milliseconds(251));
    BOOST_TEST(page->digest == 0xfedcba9876543215U);
    if (content == RelayContent::Same || content == RelayContent::InStore) {
        BOOST_TEST(page->events.empty());
        return;
    }
    BOOST_REQUIRE(page->events.size() == 4U);
    BOOST_TEST(page->events[0].object.name == "main");
    BOOST_TEST(page->events[0].object.revision == 70U);
    BOOST_TEST(page->events[0].object.spec["version"].asInt() == 4);
    BOOST_TEST(!page->events[0].removed);
    BOOST_TEST(page->events[1].object.fault == "too deep");
    BOOST_TEST(page->events[2].object.text == "{\"path\":\"/a\"}");
    BOOST_TEST(page->events[3].object.name == "gone");
    BOOST_TEST(page->events[3].removed);
}

using Packer = msgpack::packer<msgpack::sbuffer>;

/// Packs a page, with one more field in its array and in that of each event.
void packExtended(Packer &packer, const msgpack::object &object, int level)
{
    if (object.type != msgpack::type::ARRAY) {
        packer.pack(object);
        return;
    }
    const msgpack::object_array &array = object.via.array;
    const bool isList = level % 2 == 1;
    packer.pack_array(array.size + (isList ? 0 : 1));
    for (std::uint32_t index = 0; index < array.size; ++index) {
        packExtended(packer, array.ptr[index], level + 1);
    }
    if (!isList) {
        packer.pack(std::string("later"));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RecordedMessagesTest)

BOOST_AUTO_TEST_CASE(pagesAndQueriesOfAnEarlierBuildAreReadInFull)
{
    for (std::size_t index = 0; index < Pages.size(); ++index) {
        checkPage(bytesOfHex(Pages.at(index)), static_cast<RelayContent>(index));
    }
    const auto query = parseRelayTarget(Target);
    BOOST_REQUIRE(query.has_value());
    BOOST_CHECK(query->kind == platform::ObjectKind::Servers);
    BOOST_CHECK((query->position == RelayPosition { .source = 5, .sequence = 6, .began = 4 }));
    BOOST_TEST(query->digest == 1234567890123456789U);
    BOOST_CHECK(query->maxAge == milliseconds(1900));
    BOOST_TEST(query->onlyHere);
    BOOST_CHECK(query->wait == milliseconds(1500));
}

BOOST_AUTO_TEST_CASE(anEarlierBuildReadsPagesAndQueriesOfThisOne)
{
    for (std::size_t index = 0; index < Pages.size(); ++index) {
        BOOST_TEST(encoded(static_cast<RelayContent>(index)) == bytesOfHex(Pages.at(index)));
    }
    BOOST_TEST(relayTarget({ .kind = platform::ObjectKind::Servers,
                             .position = { .source = 5, .sequence = 6, .began = 4 },
                             .digest = 1234567890123456789U,
                             .maxAge = milliseconds(1900),
                             .onlyHere = true,
                             .wait = milliseconds(1500) })
               == Target);
}

BOOST_AUTO_TEST_CASE(fieldsOfANewerBuildCostThePage)
{
    for (std::size_t index = 0; index < Pages.size(); ++index) {
        const std::string page = bytesOfHex(Pages.at(index));
        checkPage(page + "\x81\xa5later\xc3", static_cast<RelayContent>(index));
        const msgpack::object_handle handle = msgpack::unpack(page.data(), page.size());
        msgpack::sbuffer buffer;
        Packer packer(buffer);
        packExtended(packer, handle.get(), 0);
        checkPage({ buffer.data(), buffer.size() }, static_cast<RelayContent>(index));
    }
}

BOOST_AUTO_TEST_CASE(pageOfAnotherFormatOrContentIsAppliedAsOneOfThisBuild)
{
    std::string page = bytesOfHex(Pages.front());
    page[1] = 3;
    BOOST_TEST(!decodeRelayedChanges(page).has_value());
    page = bytesOfHex(Pages.front());
    // The fifth field is the content.
    page[5] = 4;
    BOOST_TEST(!decodeRelayedChanges(page).has_value());
}

BOOST_AUTO_TEST_CASE(queryWithParametersOfANewerBuildIsRejected)
{
    for (const char *added : { "&more=1", "&more=", "&more=1&wait=2", "&Wait_ms=x" }) {
        const auto query = parseRelayTarget(std::string(Target) + added);
        BOOST_REQUIRE(query.has_value());
        BOOST_CHECK(query->wait == milliseconds(1500));
        BOOST_TEST(query->digest == 1234567890123456789U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
