#include "SoakClient.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <thread>
#include <utility>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

#include "Core/Endpoint.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Longer than the route's timeout and the longest stop of a process together.
constexpr Duration ResponseTimeout = std::chrono::seconds(10);
/// Callers reuse a connection that has been idle for up to four fifths of the idle limit.
constexpr int ReuseFactor = 4;
constexpr int ReuseDivisor = 5;
constexpr Duration ReconnectPause = milliseconds(20);
constexpr std::size_t MostHeldConnections = 20;
/// Time after its first request in which a caller takes a stream up again.
constexpr Duration TakeUpTime = std::chrono::seconds(8);
constexpr int ShortestTakeUpPauseMs = 20;
constexpr int LongestTakeUpPauseMs = 400;

/// Number of complete events in a response.
unsigned eventsIn(const CallerRecord &record)
{
    constexpr std::string_view EventEnd = "\n\n";
    unsigned events = 0;
    for (std::size_t end = record.body.find(EventEnd);
         record.status == 200 && end != std::string::npos;
         end = record.body.find(EventEnd, end + EventEnd.size())) {
        ++events;
    }
    return events;
}

/// True if the error of a parser means that the peer sent something other than HTTP. A caller
/// leaves a response that is too long for it.
bool isSyntaxError(error_code error)
{
    return error.category() == make_error_code(http::error::bad_version).category()
        && error != http::error::end_of_stream && error != http::error::partial_message
        && error != http::error::body_limit;
}

} // namespace

SoakClient::SoakClient(Options options)
    : options_(std::move(options))
    , random_(options_.seed)
{ }

bool SoakClient::connect()
{
    buffer_.clear();
    // A stream that broke off is taken up at another node.
    const std::shared_ptr<NodeProcess> former = options_.takesUp ? node_ : nullptr;
    do {
        node_ = options_.nodes[random_() % options_.nodes.size()];
    } while (node_ == former && options_.nodes.size() > 1);
    nodeEnds_ = node_->ends();
    nodeBuild_ = node_->build();
    requestsSent_ = 0;
    socket_ = std::make_unique<Socket>(context_);
    error_code error;
    socket_->connect(*parseEndpoint(node_->callerAddress()), error);
    if (error) {
        socket_ = nullptr;
        return false;
    }
    socket_->set_option(asio::ip::tcp::no_delay(true), error);
    idleSince_ = std::chrono::steady_clock::now();
    return true;
}

void SoakClient::run(const std::atomic<bool> &stopping)
{
    while (!stopping) {
        checkHeldConnections();
        if (options_.rates.has_value() && socket_ != nullptr && isClosedByNode()) {
            leaveConnection();
        }
        if (socket_ == nullptr && !connect()) {
            std::this_thread::sleep_for(ReconnectPause);
            continue;
        }
        const SoakRequest request = makeRequest();
        sendRequest(request);
        if (options_.takesUp) {
            takeUp(request, stopping);
        }
        if ((!options_.deadlyRoute.empty() || options_.newKey) && socket_ != nullptr) {
            leaveConnection();
        }
        const auto pause = std::chrono::duration_cast<milliseconds>(options_.longestPause).count();
        // Short pauses are more frequent than long ones.
        const auto part = static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(pause));
        std::this_thread::sleep_for(milliseconds(part * part / pause));
        if (socket_ != nullptr && !records_.empty()) {
            checkUnsolicited(*socket_, records_.size() - 1);
            leaveIdleConnection();
        }
    }
    checkHeldConnections();
}

std::string SoakClient::nextId() const
{
    return options_.name + "-" + std::to_string(records_.size());
}

SoakRequest SoakClient::makeRequest()
{
    const std::string id = nextId();
    if (options_.newKey) {
        return makeKeyRequest(id, options_.newKey(), random_);
    }
    if (options_.takesUp) {
        return makeSlowStreamRequest(id, random_);
    }
    if (options_.sendsLongRequests) {
        return makeLongRequest(id, random_);
    }
    if (options_.rates.has_value()) {
        return makeSiteRequest(id, *options_.rates, options_.longBodies, random_);
    }
    return options_.deadlyRoute.empty() ? makeSoakRequest(id, random_)
        : options_.deadlyRoute == DeadlyKeyRoute
        ? makeDeadlyKeyRequest(id, random_)
        : makeDeadlyRequest(id, options_.deadlyRoute, random_);
}

void SoakClient::takeUp(const SoakRequest &first, const std::atomic<bool> &stopping)
{
    const Instant until = records_.back().sentAt + TakeUpTime;
    unsigned received = eventsIn(records_.back());
    const auto complete = [this] {
        return records_.back().outcome == CallerOutcome::Answered && records_.back().status == 200;
    };
    while (received > 0 && !complete() && !stopping && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(
            milliseconds(between(random_, ShortestTakeUpPauseMs, LongestTakeUpPauseMs)));
        if (socket_ != nullptr) {
            leaveConnection();
        }
        if (connect()) {
            sendRequest(makeTakeUp(first, nextId(), received));
            received += eventsIn(records_.back());
        }
    }
}

void SoakClient::sendRequest(const SoakRequest &request)
{
    const unsigned killsBefore = node_->finishedKills();
    CallerRecord record { .id = request.id,
                          .stream = request.stream,
                          .resumeAfter = request.resumeAfter,
                          .node = node_->name(),
                          .build = nodeBuild_,
                          .sentAt = std::chrono::steady_clock::now(),
                          .route = request.route,
                          .key = request.key,
                          .firstPart = request.firstPart,
                          .deadly = request.deadly,
                          .slow = request.slow,
                          .newKey = static_cast<bool>(options_.newKey),
                          .idleLimit = milliseconds(options_.idleLimitMs.load()),
                          .earlierRequests = requestsSent_++ };
    record.idle = record.sentAt - idleSince_;
    error_code error;
    asio::write(*socket_, asio::buffer(request.text), error);
    if (error) {
        record.error = error.message();
        record.outcome = CallerOutcome::ConnectionClosed;
        record.endedAt = std::chrono::steady_clock::now();
        record.nodeKilled = node_->kills() != killsBefore;
        records_.push_back(record);
        leaveConnection();
        return;
    }
    receive(record);
    record.endedAt = std::chrono::steady_clock::now();
    idleSince_ = record.endedAt;
    record.nodeKilled = node_->kills() != killsBefore;
    records_.push_back(record);
    if (record.outcome != CallerOutcome::Answered || record.closing) {
        leaveConnection();
    }
}

void SoakClient::receive(CallerRecord &record)
{
    Parser parser;
    bool finished = false;
    error_code result;
    http::async_read(*socket_, buffer_, parser, [&](error_code error, std::size_t) {
        finished = true;
        result = error;
    });
    context_.restart();
    context_.run_for(ResponseTimeout);
    if (!finished) {
        record.outcome = CallerOutcome::TimedOut;
        socket_->cancel();
        context_.restart();
        context_.run();
        return;
    }
    readOutcome(record, parser, result);
}

void SoakClient::readOutcome(CallerRecord &record, const Parser &parser, error_code result) const
{
    if (parser.is_header_done()) {
        const auto &response = parser.get();
        record.status = static_cast<int>(response.result_int());
        record.idMatches = response["X-Request-Id"] == record.id;
        record.stamped = response.count("X-Response-Stamp") > 0;
        record.body = response.body();
    }
    if (result) {
        record.error = result.message();
    }
    if (!result) {
        record.outcome = CallerOutcome::Answered;
        record.closing = !parser.keep_alive();
    } else if (isSyntaxError(result)) {
        record.outcome = CallerOutcome::NotHttp;
    } else {
        record.outcome = CallerOutcome::ConnectionClosed;
    }
}

void SoakClient::leaveConnection()
{
    if (options_.holdsConnections && held_.size() < MostHeldConnections) {
        if (!records_.empty()) {
            checkUnsolicited(*socket_, records_.size() - 1);
        }
        held_.push_back({ .socket = std::move(socket_),
                          .node = node_,
                          .ends = nodeEnds_,
                          .record = records_.size() - 1 });
    }
    socket_ = nullptr;
}

void SoakClient::leaveIdleConnection()
{
    const Duration limit = milliseconds(options_.idleLimitMs.load());
    const Duration idle = std::chrono::steady_clock::now() - idleSince_;
    if (idle * ReuseDivisor > limit * ReuseFactor) {
        leaveConnection();
    }
}

void SoakClient::checkUnsolicited(Socket &socket, std::size_t record)
{
    std::array<char, 512> bytes {};
    const ssize_t size
        = recv(socket.native_handle(), bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
    const std::size_t buffered = &socket == socket_.get() ? buffer_.size() : 0;
    if (size <= 0 && buffered == 0) {
        return;
    }
    std::string text;
    if (buffered > 0) {
        text.assign(static_cast<const char *>(buffer_.data().data()), buffered);
    }
    text.append(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    // A node may announce that it closes an idle connection.
    const bool failureResponse = text.starts_with("HTTP/1.1 4") || text.starts_with("HTTP/1.1 5");
    // After a response that was broken off, the rest of a body may follow.
    const bool afterResponse = records_[record].outcome == CallerOutcome::Answered;
    if (!failureResponse && afterResponse) {
        records_[record].unsolicited = true;
    }
}

bool SoakClient::isClosedByNode() const
{
    char byte = 0;
    const ssize_t size = recv(socket_->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void SoakClient::checkHeldConnections()
{
    for (const HeldConnection &connection : held_) {
        checkUnsolicited(*connection.socket, connection.record);
    }
    std::erase_if(held_, [](const HeldConnection &connection) {
        return connection.node->ends() != connection.ends;
    });
}

} // namespace jacinthroad
