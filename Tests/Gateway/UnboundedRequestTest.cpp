#include <array>
#include <atomic>
#include <ostream>
#include <thread>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/Endpoint.h"
#include "UnboundedInput.h"

namespace jacinthroad {

namespace data = boost::unit_test::data;
namespace asio = boost::asio;

namespace {

/// Who reads a request, and whose it is.
enum class RequestReader : std::uint8_t {
    CallerWithKey,
    CallerWithoutKey,
    /// Another node, which forwards it.
    ForwardingNode,
    Readiness,
    Metrics,
    /// That of a node's query for objects of the store.
    Relay,
};

std::ostream &operator<<(std::ostream &stream, RequestReader reader)
{
    constexpr std::array<const char *, 6> Names { "request",           "request without a key",
                                                  "forwarded request", "readiness",
                                                  "metrics",           "relay query" };
    return stream << Names[static_cast<std::size_t>(reader)];
}

/// The limits of the fixture's configuration.
constexpr milliseconds HeaderLimit { 1000 };
constexpr std::size_t MaxRequestBodyBytes = 100'000;
/// Time limit for a body after its header.
constexpr milliseconds BodyLimit { 20'000 };
/// Of a request to the addresses for readiness, metrics and peers.
constexpr std::size_t MaxStatusBodyBytes = 1024 * 1024;

MessageHead headOf(RequestReader reader)
{
    switch (reader) {
    case RequestReader::Readiness:
        return { .startLine = "GET /readyz HTTP/1.1\r\n", .fields = "Host: h\r\n" };
    case RequestReader::Metrics:
        return { .startLine = "GET /metrics HTTP/1.1\r\n", .fields = "Host: h\r\n" };
    case RequestReader::Relay:
        return { .startLine = "GET /nodes HTTP/1.1\r\n", .fields = "Host: h\r\n" };
    case RequestReader::CallerWithKey:
    case RequestReader::CallerWithoutKey:
    case RequestReader::ForwardingNode:
        break;
    }
    MessageHead head { .startLine = "POST /unsafe/a HTTP/1.1\r\n",
                       .fields = "Host: h\r\nX-Request-Id: q\r\n" };
    if (reader != RequestReader::CallerWithoutKey) {
        head.fields += "Authorization: Bearer k1\r\n";
    }
    if (reader == RequestReader::ForwardingNode) {
        head.fields += "X-Deadline-Ms: 1000\r\nJacinthroad-Forwarded-By: front-2\r\n"
                       "Jacinthroad-Forwarded-Configuration: 1\r\n";
    }
    return head;
}

std::string addressOf(RequestReader reader, const GatewaySettings &settings)
{
    switch (reader) {
    case RequestReader::Readiness:
        return settings.readinessAddress;
    case RequestReader::Metrics:
        return settings.metricsAddress;
    case RequestReader::Relay:
        return settings.peerAddress;
    case RequestReader::ForwardingNode:
        return settings.forwardingAddress;
    case RequestReader::CallerWithKey:
    case RequestReader::CallerWithoutKey:
        break;
    }
    return settings.callerAddress;
}

/// What became of a request, and its response.
struct Outcome
{
    Sent sent;
    /// 0 if the connection ended without one.
    unsigned status = 0;
};

/// Sends a request that doesn't end.
Outcome sendRequest(const GatewaySettings &settings, RequestReader reader,
                    const UnboundedInput &input, Pace pace, milliseconds limit,
                    std::size_t maxBytes = EnoughBytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect(*parseEndpoint(addressOf(reader, settings)), error);
    Outcome outcome { .sent = sendUnbounded(socket.native_handle(), input, headOf(reader), pace,
                                            limit, maxBytes) };
    if (outcome.sent.refused) {
        constexpr std::size_t StatusAt = 9;
        std::array<char, 512> begin {};
        const std::size_t size = socket.read_some(asio::buffer(begin), error);
        const std::string text(begin.data(), size);
        if (!error && text.starts_with("HTTP/1.1 ") && size > StatusAt + 3) {
            outcome.status = static_cast<unsigned>(std::stoi(text.substr(StatusAt, 3)));
        }
    }
    return outcome;
}

/// Responds to all requests.
void addServers(GatewayFixture &fixture)
{
    for (const char *name : { "s1", "s2" }) {
        fixture.addServer(name, "plain",
                          [](ScriptedConnection &connection, const ReceivedRequest &request) {
                              connection.write(validResponse(request));
                              return true;
                          });
    }
}

std::size_t maxTaken(RequestReader reader, const UnboundedInput &input)
{
    if (input.kept == Kept::Head) {
        return MaxHeadBytes;
    }
    const bool status = reader == RequestReader::Readiness || reader == RequestReader::Metrics
        || reader == RequestReader::Relay;
    return MaxHeadBytes + (status ? MaxStatusBodyBytes : MaxRequestBodyBytes) * input.bytesPerByte;
}

void check(RequestReader reader, const UnboundedInput &input, const Outcome &outcome, bool many)
{
    if (input.kept == Kept::Nothing && outcome.sent.bytes >= EnoughBytes / 2) {
        return;
    }
    BOOST_CHECK_MESSAGE(outcome.sent.bytes <= maxTaken(reader, input) + SystemBufferBytes,
                        "(a) " << reader << ", " << input << ": " << outcome.sent.bytes
                               << " bytes were taken, not at most " << maxTaken(reader, input)
                               << " and the system's");
    // A body has its time behind that of the header.
    const milliseconds limit
        = HeaderLimit + EndAllowance + (endsHeader(input) ? BodyLimit : milliseconds(0));
    BOOST_CHECK_MESSAGE(outcome.sent.refused && outcome.sent.time <= limit,
                        "(a) " << reader << ", " << input << ": not ended in time, but "
                               << outcome.sent.time.count() << " ms");
    // Another node is told that this one can't take the request, as are callers without memory.
    const bool refused = outcome.status == 0 || (outcome.status >= 400 && outcome.status < 500)
        || (outcome.status == 503 && (many || reader == RequestReader::ForwardingNode));
    BOOST_CHECK_MESSAGE(
        refused, "(b) " << reader << ", " << input << ": the sender got status " << outcome.status);
}

void checkOthers(GatewayFixture &fixture, const Answer &meanwhile)
{
    BOOST_CHECK_MESSAGE(meanwhile.status == 200 && meanwhile.complete,
                        "(c) another caller got, meanwhile, " << meanwhile);
    const Answer afterwards = callGateway(fixture, "POST", "/other/a");
    BOOST_CHECK_MESSAGE(afterwards.status == 200 && afterwards.complete,
                        "(c) another caller got, afterwards, " << afterwards);
    const unsigned readiness = fixture.readiness();
    BOOST_CHECK_MESSAGE(readiness == 200, "(c) the readiness check got status " << readiness);
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnboundedRequestTest)

/// Each form of a request times each address that requests are read on. Left out: requests without
/// end, each of which is complete, as each is served. What is sent behind a refusal isn't counted:
/// it is dropped.
BOOST_DATA_TEST_CASE(readerTakesMoreThanItsLimit,
                     data::make({ RequestReader::CallerWithKey, RequestReader::CallerWithoutKey,
                                  RequestReader::ForwardingNode, RequestReader::Readiness,
                                  RequestReader::Metrics, RequestReader::Relay })
                         * data::make(unboundedHeads() + unboundedChunks()),
                     reader, input)
{
    GatewayFixture fixture;
    fixture.settings.memoryMb = NodeMemoryMb;
    addServers(fixture);
    fixture.configure(1, { "k1" });
    fixture.start();
    Outcome outcome;
    std::thread sender([&] {
        outcome = sendRequest(fixture.settings, reader, input, Pace::Full, HeaderLimit + BodyLimit);
    });
    const Answer meanwhile = callGateway(fixture, "POST", "/other/a");
    sender.join();
    check(reader, input, outcome, false);
    checkOthers(fixture, meanwhile);
    checkAccountGivenBack(fixture);
}

/// All forms at once, a few bytes at a time. Left out: the addresses for readiness, metrics and
/// peers, on which a request has no time limit.
BOOST_AUTO_TEST_CASE(slowRequestsOutlastTheLimit)
{
    constexpr std::array<RequestReader, 2> Readers { RequestReader::CallerWithKey,
                                                     RequestReader::ForwardingNode };
    GatewayFixture fixture;
    fixture.settings.memoryMb = NodeMemoryMb;
    addServers(fixture);
    fixture.configure(1, { "k1" });
    fixture.start();
    const auto inputs = unboundedHeads() + unboundedChunks();
    std::vector<Outcome> outcomes(inputs.size() * Readers.size());
    std::vector<std::thread> senders;
    for (std::size_t index = 0; index < outcomes.size(); ++index) {
        senders.emplace_back([&, index] {
            outcomes[index] = sendRequest(fixture.settings, Readers[index % Readers.size()],
                                          inputs[index / Readers.size()], Pace::FewBytes,
                                          HeaderLimit + BodyLimit + 2 * EndAllowance);
        });
    }
    const Answer meanwhile = callGateway(fixture, "POST", "/other/a");
    for (std::thread &sender : senders) {
        sender.join();
    }
    for (std::size_t index = 0; index < outcomes.size(); ++index) {
        check(Readers[index % Readers.size()], inputs[index / Readers.size()], outcomes[index],
              true);
    }
    checkOthers(fixture, meanwhile);
    checkAccountGivenBack(fixture);
}

// Of one form, many at once: each may be within a limit, but not all together.
BOOST_DATA_TEST_CASE(manyRequestsTakeMoreThanTheAccount,
                     data::make({ RequestReader::CallerWithoutKey, RequestReader::Relay })
                         * data::make(unboundedHeads() + unboundedChunks()),
                     reader, input)
{
    constexpr unsigned Senders = 24;
    GatewayFixture fixture;
    fixture.settings.memoryMb = NodeMemoryMb;
    addServers(fixture);
    fixture.configure(1, { "k1" });
    fixture.start();
    std::vector<Outcome> outcomes(Senders);
    std::vector<std::thread> senders;
    for (Outcome &outcome : outcomes) {
        senders.emplace_back([&] {
            outcome = sendRequest(fixture.settings, reader, input, Pace::Full,
                                  HeaderLimit + BodyLimit, EnoughBytes / 2);
        });
    }
    const Answer meanwhile = callGateway(fixture, "POST", "/other/a");
    std::size_t sum = 0;
    for (std::size_t index = 0; index < Senders; ++index) {
        senders[index].join();
        sum += outcomes[index].sent.bytes;
    }
    constexpr auto AllBytes = static_cast<std::size_t>(NodeMemoryMb * 1'000'000);
    BOOST_CHECK_MESSAGE(input.kept == Kept::Nothing
                            || sum <= AllBytes + Senders * SystemBufferBytes,
                        "(a) " << reader << ", " << input << ", " << Senders << " at once: " << sum
                               << " bytes were taken");
    for (const Outcome &outcome : outcomes) {
        check(reader, input, outcome, true);
    }
    checkOthers(fixture, meanwhile);
    checkAccountGivenBack(fixture);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
