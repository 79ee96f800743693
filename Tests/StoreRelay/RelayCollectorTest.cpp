#include <memory>

#include <boost/test/unit_test.hpp>

#include "StoreRelay/RelayCollector.h"
#include "StoreRelay/RelayResponder.h"

namespace jacinthroad {

namespace {

constexpr BootInstant Start { std::chrono::seconds(100) };
constexpr std::size_t PageBytes = 1000;
/// That of a node of 110 MB.
constexpr std::size_t BudgetBytes = 70'000'000;
constexpr std::chrono::seconds TransferLimit { 120 };

/// Parts of 300 bytes with contents of one character each.
ObjectTable partsOf(std::string_view contents)
{
    ObjectTable table;
    for (std::size_t index = 0; index < contents.size(); ++index) {
        platform::StoredObject part { .name = "part-" + std::to_string(100 + index),
                                      .revision = static_cast<std::uint64_t>(contents[index]) };
        part.text = std::string(300, contents[index]);
        table[part.name] = part;
    }
    return table;
}

/// A reader and what one other node has collected from it.
struct Transfer
{
    void store(const ObjectTable &stored, std::uint64_t revision,
               std::optional<std::uint64_t> era = {})
    {
        log.applyTable(stored, revision, era);
        log.confirm(Start, revision);
    }
    /// Sends one page; returns true if the changes are complete.
    bool page()
    {
        const RelayPage sent = log.pageAfter(collector.position(), Start);
        const auto complete
            = collector.take(*decodeRelayedChanges(encodeRelayPage(sent)), Instant());
        BOOST_REQUIRE(complete.has_value());
        return *complete;
    }
    /// Applies the collected changes.
    void apply()
    {
        if (collector.replacesAll()) {
            table.clear();
        }
        for (const platform::ObjectEvent &event : collector.events()) {
            if (event.removed) {
                table.erase(event.object.name);
            } else {
                table[event.object.name] = event.object;
            }
        }
        collector.clear();
    }
    void checkHolds(const ObjectTable &expected) const
    {
        BOOST_TEST(table.size() == expected.size());
        for (const auto &[name, object] : expected) {
            BOOST_TEST_REQUIRE(table.contains(name));
            BOOST_TEST(table.at(name).text == object.text);
        }
    }

    RelayLog log { { .kind = platform::ObjectKind::Configuration,
                     .source = 7,
                     .maxRemovals = 3,
                     .pageBytes = PageBytes } };
    std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>(BudgetBytes);
    RelayCollector collector { "transfer", memory };
    ObjectTable table;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayCollectorTest)

BOOST_AUTO_TEST_CASE(pagesAddUpToTheTable)
{
    Transfer transfer;
    const ObjectTable table = partsOf("aaaaaaaaaa");
    transfer.store(table, 2);
    int pages = 1;
    while (!transfer.page()) {
        BOOST_TEST(transfer.collector.underWay());
        BOOST_REQUIRE(++pages < 20);
    }
    BOOST_TEST(pages > 2);
    transfer.apply();
    transfer.checkHolds(table);
}

BOOST_AUTO_TEST_CASE(changesWithinATransferAreNotMixedWithTheTableBefore)
{
    Transfer transfer;
    transfer.store(partsOf("aaaaaaaaaa"), 2);
    BOOST_TEST(!transfer.page());
    BOOST_TEST(!transfer.page());
    // Changes parts that were sent and parts that were not, and removes the last ones.
    const ObjectTable later = partsOf("bababa");
    transfer.store(later, 3);
    int pages = 2;
    while (!transfer.page()) {
        BOOST_REQUIRE(++pages < 20);
    }
    transfer.apply();
    transfer.checkHolds(later);
}

BOOST_AUTO_TEST_CASE(transferThatBeganAfterForgottenRemovalsIsNotBegunAgain)
{
    Transfer transfer;
    transfer.store(partsOf("aaaaaaaaaaaaaaaa"), 2);
    // More removals than are remembered.
    const ObjectTable table = partsOf("aaaaaaaaaa");
    transfer.store(table, 3);
    int pages = 1;
    while (!transfer.page()) {
        BOOST_REQUIRE(++pages < 20);
    }
    transfer.apply();
    transfer.checkHolds(table);
}

BOOST_AUTO_TEST_CASE(removalsForgottenWithinATransferBeginItAgain)
{
    Transfer transfer;
    transfer.store(partsOf("aaaaaaaaaaaaaaaa"), 2);
    BOOST_TEST(!transfer.page());
    const ObjectTable table = partsOf("aa");
    transfer.store(table, 3);
    int pages = 1;
    while (!transfer.page()) {
        BOOST_REQUIRE(++pages < 20);
    }
    transfer.apply();
    transfer.checkHolds(table);
}

BOOST_AUTO_TEST_CASE(eraThatChangesWithinATransferBeginsItAgain)
{
    Transfer transfer;
    transfer.store(partsOf("aaaaaaaaaa"), 2, 1);
    BOOST_TEST(!transfer.page());
    const ObjectTable table = partsOf("bbb");
    transfer.store(table, 1, 2);
    int pages = 1;
    while (!transfer.page()) {
        BOOST_REQUIRE(++pages < 20);
    }
    BOOST_TEST(transfer.collector.replacesAll());
    transfer.apply();
    transfer.checkHolds(table);
}

BOOST_AUTO_TEST_CASE(nodeWithTheSameObjectsGetsNoneFromANewReader)
{
    Transfer transfer;
    transfer.store(partsOf("aaaaaaaaaa"), 2, 1);
    RelayLog own({ .kind = platform::ObjectKind::Configuration, .source = 9 });
    own.applyTable(partsOf("aaaaaaaaaa"), 40, 1);
    const RelayResponder responder(transfer.log, {});
    const RelayPage page = responder.answer({ .digest = own.digest() }, 1, Start);
    BOOST_CHECK(page.head.content == RelayContent::Same);
    BOOST_TEST(transfer.collector.take(page.head, Instant()).value_or(false));
    BOOST_TEST(!transfer.log.hasChanges(transfer.collector.position()));
    own.applyTable(partsOf("aaaaaaaaaa"), 40, 2);
    BOOST_CHECK(responder.answer({ .digest = own.digest() }, 1, Start).head.content
                == RelayContent::All);
}

BOOST_AUTO_TEST_CASE(pagesWithoutEndAreKept)
{
    constexpr std::size_t ObjectBytes = 30'000;
    constexpr std::size_t MaxBytes = std::size_t { 16 } * 1024 * 1024;
    const auto memory = std::make_shared<MemoryBudget>(BudgetBytes);
    RelayCollector collector("transfer of 'nodes'", memory);
    Result<bool> complete = false;
    std::size_t pages = 0;
    while (complete.has_value() && pages * ObjectBytes < 4 * MaxBytes) {
        RelayedChanges page { .position = { .source = 7, .sequence = ++pages },
                              .content = pages == 1 ? RelayContent::All : RelayContent::Changes,
                              .bytesLeft = 1000 };
        page.events.emplace_back();
        page.events.back().object.name = std::to_string(pages);
        page.events.back().object.text = std::string(ObjectBytes, 'x');
        complete = collector.take(std::move(page), Instant());
        BOOST_TEST(memory->used() <= MaxBytes);
        BOOST_TEST(memory->used() >= collector.events().size() * ObjectBytes);
    }
    BOOST_REQUIRE(!complete.has_value());
    BOOST_TEST(pages > MaxBytes / 2 / ObjectBytes);
    BOOST_TEST(complete.error().message
               == "transfer of 'nodes' of another node: its pages take more than 16777216 bytes of "
                  "memory");
    BOOST_TEST(collector.events().empty());
    BOOST_TEST(memory->used() == 0U);
    BOOST_CHECK(collector.position() == RelayPosition());
}

BOOST_AUTO_TEST_CASE(transferThatBeginsAgainAndAgainHasNoEnd)
{
    RelayCollector collector("transfer", std::make_shared<MemoryBudget>(BudgetBytes));
    const RelayedChanges page { .position = { .source = 7, .sequence = 1 },
                                .content = RelayContent::All,
                                .bytesLeft = 1000 };
    for (Instant now; now <= Instant() + TransferLimit; now += std::chrono::seconds(1)) {
        BOOST_TEST(collector.take(page, now).has_value());
    }
    BOOST_TEST(!collector.take(page, Instant() + TransferLimit + milliseconds(1)).has_value());
    // The next one has its own time.
    BOOST_TEST(collector.take(page, Instant() + 2 * TransferLimit).has_value());
    BOOST_TEST(collector.take(page, Instant() + 3 * TransferLimit).has_value());
}

BOOST_AUTO_TEST_CASE(pagesThatDoNotAdvanceHaveNoEnd)
{
    RelayCollector collector("transfer", std::make_shared<MemoryBudget>(BudgetBytes));
    RelayedChanges page { .position = { .source = 7, .sequence = 5 },
                          .content = RelayContent::All,
                          .bytesLeft = 1000 };
    BOOST_TEST(collector.take(page, Instant()).has_value());
    page.content = RelayContent::Changes;
    BOOST_TEST(!collector.take(page, Instant()).has_value());
    BOOST_TEST(!collector.underWay());
}

BOOST_AUTO_TEST_CASE(memoryOfAppliedPagesIsStillReserved)
{
    Transfer transfer;
    transfer.store(partsOf("aaaaaaaaaa"), 2);
    while (!transfer.page()) {
        BOOST_TEST(transfer.memory->used() > 0U);
    }
    transfer.apply();
    BOOST_TEST(transfer.memory->used() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
