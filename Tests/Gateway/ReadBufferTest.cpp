#include <cstring>
#include <string_view>

#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "Gateway/ReadBuffer.h"

namespace jacinthroad {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t Limit = 1'000'000;
constexpr std::size_t MaxBytes = 10'000;

static_assert(!std::is_default_constructible_v<ReadBuffer>);
static_assert(!std::is_constructible_v<ReadBuffer, std::shared_ptr<MemoryBudget>, BodyKind>);

/// Adds as many bytes as the buffer takes, 512 at a time; returns their number.
std::size_t fill(ReadBuffer &buffer)
{
    constexpr std::size_t PartBytes = 512;
    std::size_t added = 0;
    for (auto room = buffer.tryPrepare(PartBytes); room.has_value();
         room = buffer.tryPrepare(PartBytes)) {
        buffer.commit(PartBytes);
        added += PartBytes;
    }
    return added;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReadBufferTest)

BOOST_AUTO_TEST_CASE(bufferTakesNoMoreThanItsLargestSize)
{
    const auto budget = std::make_shared<MemoryBudget>(Limit);
    ReadBuffer buffer(budget, BodyKind::Request, MaxBytes);
    BOOST_TEST(budget->used() == 0U);
    BOOST_TEST(fill(buffer) <= MaxBytes);
    BOOST_TEST(budget->used() >= buffer.size());
    BOOST_TEST(budget->used() <= MaxBytes);
    buffer.consume(buffer.size());
    buffer.releaseIfEmpty();
    BOOST_TEST(budget->used() == 0U);
}

// What many servers had sent and the node hadn't parsed left no memory for requests.
BOOST_AUTO_TEST_CASE(buffersOfResponsesTakeTheMemoryOfRequests)
{
    const auto budget = std::make_shared<MemoryBudget>(Limit);
    budget->setResponseLimits({ .all = Limit / 2 });
    std::vector<std::unique_ptr<ReadBuffer>> buffers;
    for (int number = 0; number < 200; ++number) {
        buffers.push_back(std::make_unique<ReadBuffer>(budget, BodyKind::Response, MaxBytes));
        fill(*buffers.back());
    }
    BOOST_TEST(budget->used() <= Limit / 2);
    ReadBuffer request(budget, BodyKind::Request, MaxBytes);
    BOOST_TEST(fill(request) > MaxBytes / 2);
    MemoryReservation body(budget, BodyKind::Request);
    BOOST_TEST(body.resize(Limit / 8));
    buffers.clear();
    ReadBuffer later(budget, BodyKind::Response, Limit);
    BOOST_TEST(fill(later) > Limit / 8);
}

BOOST_AUTO_TEST_CASE(buffersTakeNoMoreTogetherThanTheBudgetHas)
{
    const auto budget = std::make_shared<MemoryBudget>(4 * MaxBytes);
    std::vector<std::unique_ptr<ReadBuffer>> buffers;
    std::size_t taken = 0;
    for (int number = 0; number < 20; ++number) {
        buffers.push_back(std::make_unique<ReadBuffer>(budget, BodyKind::Response, MaxBytes));
        taken += fill(*buffers.back());
    }
    BOOST_TEST(budget->used() <= 4 * MaxBytes);
    BOOST_TEST(taken <= 4 * MaxBytes);
    BOOST_TEST(!buffers.back()->isFull());
    buffers.clear();
    BOOST_TEST(budget->used() == 0U);
}

BOOST_AUTO_TEST_CASE(lowerLimitKeepsWhatHasArrived)
{
    const auto budget = std::make_shared<MemoryBudget>(Limit);
    ReadBuffer buffer(budget, BodyKind::Request, MaxBytes);
    const std::string_view text = "GET / HTTP/1.1\r\n";
    std::memcpy(buffer.prepare(text.size()).data(), text.data(), text.size());
    buffer.commit(text.size());
    buffer.setMaxBytes(4);
    BOOST_TEST(buffer.size() == text.size());
    BOOST_TEST(buffer.isFull());
    BOOST_TEST(!buffer.tryPrepare(1).has_value());
}

BOOST_AUTO_TEST_CASE(controlHasRoomBesideFullBuffers)
{
    const auto budget = std::make_shared<MemoryBudget>(MaxBytes);
    ReadBuffer response(budget, BodyKind::Response, 2 * MaxBytes);
    static_cast<void>(fill(response));
    ReadBuffer control(budget, BodyKind::Control, 2 * MaxBytes);
    BOOST_TEST(fill(control) > 0U);
}

BOOST_AUTO_TEST_CASE(receiveBuffersOfTheMostConnectionsFitIntoTheMemory)
{
    constexpr std::size_t Requests = 2000;
    constexpr std::size_t Memory = 70'000'000;
    BOOST_TEST(Requests * unreadRequestBytes(MemoryBudget(Memory)) <= Memory);
    const ConnectionRole roles[]
        = { ConnectionRole::Caller, ConnectionRole::Server, ConnectionRole::Control };
    for (const ConnectionRole role : roles) {
        // The system takes no less than twice this.
        BOOST_TEST(receiveBufferBytes(MemoryBudget(0), role) == 2'048U);
        BOOST_TEST(receiveBufferBytes(MemoryBudget(std::size_t { 1 } << 40), role) <= 65'536U);
    }
}

BOOST_AUTO_TEST_CASE(headerTakesAtLeastItsText)
{
    http::fields header;
    header.set("X-One", std::string(500, 'x'));
    header.set("X-Two", "y");
    BOOST_TEST(headerMemory(header) >= 511U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
