#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include "Core/ErrorKind.h"
#include "Core/Refusal.h"
#include "Fleet/CallerRequest.h"
#include "Gateway/EventSplitter.h"
#include "Gateway/TrafficState.h"
#include "Routing/DispatchRecord.h"
#include "platform/ServerWire.h"

namespace jacinthroad {

/// The whole request of a caller.
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
/// A whole answer.
using HttpAnswer = boost::beast::http::response<boost::beast::http::string_body>;

/// The head and body of a refusal; the length and the connection's fate are for the caller to set.
[[nodiscard]] HttpAnswer refusalAnswer(const Refusal &refusal);

/// How an exchange ended, for the session that goes on with the caller's connection.
struct ExchangeEnd
{
    /// Word of the decision log.
    std::string outcome;
    int status = 0;
    /// The caller's connection can carry another request.
    bool callerUsable = true;
    /// A whole answer has been written; otherwise the connection is cut.
    bool answerWhole = false;
};

/// One request of a caller on its way: admitted, placed, sent to one backend server or more as its
/// kind allows, and answered. Lives on the traffic thread.
class Exchange
{
public:
    Exchange(TrafficState &state, boost::asio::ip::tcp::socket &caller, HttpRequest request,
             Instant received);
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /// Carries the request to its end.
    [[nodiscard]] boost::asio::awaitable<ExchangeEnd> run();

    /// The caller has closed its connection: stops the attempt under way.
    void callerLeft();

private:
    /// How one attempt ended.
    enum class AttemptEnd : std::uint8_t {
        /// The answer, or its beginning, has gone to the caller.
        Delivered,
        /// An answer is whole and held in `answer_`.
        Answered,
        /// The request was not sent.
        NotSent,
        /// The server stated that it did not run the request.
        Rejected,
        /// Sent, and no whole answer came.
        Lost,
        /// A stream broke off after some of it went to the caller.
        Broken,
        TimedOut,
        CallerLeft,
    };

    struct Attempt;

    [[nodiscard]] std::optional<ErrorKind> admit();
    [[nodiscard]] boost::asio::awaitable<ExchangeEnd> attempts();
    [[nodiscard]] boost::asio::awaitable<AttemptEnd> attempt(const Placement &placement);
    [[nodiscard]] boost::asio::awaitable<bool> connect(std::shared_ptr<Attempt> attempt);
    [[nodiscard]] boost::asio::awaitable<AttemptEnd> converse(Attempt &attempt);
    [[nodiscard]] boost::asio::awaitable<AttemptEnd> readWhole(Attempt &attempt);
    [[nodiscard]] boost::asio::awaitable<AttemptEnd> relay(Attempt &attempt);
    /// The bytes that pass events on to the caller, with the answer's head before the first ones.
    [[nodiscard]] std::string framed(Attempt &attempt,
                                     const boost::beast::http::response_header<> &header,
                                     std::string_view events);
    /// True where the caller takes a stream in chunks.
    [[nodiscard]] bool chunked() const { return request_.version() >= 11; }
    void noteRun(AttemptEnd end);
    void settle(Attempt &attempt, AttemptEnd end);
    void send(const std::shared_ptr<Attempt> &shared);
    void watchSilence(const std::shared_ptr<Attempt> &attempt);
    static void abortAt(const std::shared_ptr<Attempt> &attempt, Instant moment);
    [[nodiscard]] AttemptEnd failure(const Attempt &attempt) const;
    /// How long the caller should stay away where the queue is too long; nothing where the request
    /// is to be sent.
    [[nodiscard]] std::optional<Duration> queueFull(const Placement &placement) const;
    /// The priority that engines are told, 0 first.
    [[nodiscard]] int urgency() const;
    [[nodiscard]] bool mayTryAgain(AttemptEnd end, Instant now);
    [[nodiscard]] boost::asio::awaitable<ExchangeEnd> deliver();
    [[nodiscard]] boost::asio::awaitable<ExchangeEnd> refuse(ErrorKind kind, Duration retryAfter);
    [[nodiscard]] boost::asio::awaitable<bool> writeToCaller(std::string_view bytes);
    [[nodiscard]] Duration timeLeft(Instant now) const;
    [[nodiscard]] platform::ForwardOptions forwardFacts(const Placement &placement,
                                                        Instant now) const;
    void prepareParts();
    void logEnd(const ExchangeEnd &end) const;

    TrafficState &state_;
    boost::asio::ip::tcp::socket &caller_;
    HttpRequest request_;
    Instant received_;
    Instant deadline_;

    CallerRequest facts_;
    std::shared_ptr<const RouteTable> routes_;
    const Route *route_ = nullptr;
    const FleetTeam *team_ = nullptr;
    PlacementRequest placing_;
    std::vector<ServerId> tried_;

    /// Sends to servers so far, and those that the servers stated not to have run.
    unsigned sends_ = 0;
    unsigned rejected_ = 0;
    DispatchRecord record_;
    std::optional<HttpAnswer> answer_;
    bool callerGone_ = false;
    bool headerDelivered_ = false;
    EventSplitter events_;
    std::function<void()> cancelAttempt_;
    Instant firstByteAt_;
    Instant lastEventAt_;
    /// Longest pause between two events that went to the caller.
    Duration longestGap_ {};
    /// The newest placement, for the log.
    Placement placement_;
};

} // namespace jacinthroad
