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
#include <boost/beast/http.hpp>

#include "Core/ErrorKind.h"
#include "Core/MemoryBudget.h"
#include "Core/Refusal.h"
#include "Fleet/CallerRequest.h"
#include "Gateway/EventSplitter.h"
#include "Gateway/ForwardingFields.h"
#include "Gateway/MessageParser.h"
#include "Gateway/RequestObligation.h"
#include "Gateway/TrafficState.h"
#include "Placement/ForwardChoice.h"
#include "Routing/DispatchRecord.h"
#include "platform/ServerWire.h"

namespace jacinthroad {

/// A request received from a caller, without its body.
using HttpRequest = boost::beast::http::request<boost::beast::http::empty_body>;
/// A complete HTTP response.
using GatewayResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Builds the status line, headers and body of a refusal. The content length and the Connection
/// header are left to the calling code.
[[nodiscard]] GatewayResponse gatewayRefusalResponse(const Refusal &refusal);

/// Who sends the requests of a connection.
enum class RequestSource : std::uint8_t {
    Caller,
    /// Another node, which forwards requests of its callers.
    Peer,
};

/// The result of an exchange, from which the session decides what to do with the caller's
/// connection.
struct ExchangeResult
{
    /// Value of `outcome` in the request log line and the request metric.
    std::string outcome;
    int status = 0;
    /// True if the caller's connection can carry another request.
    bool connectionReusable = true;
    /// True if a complete response was written; otherwise the connection is closed at once.
    bool responseComplete = false;
    /// Why the response could not be written; empty otherwise.
    std::string reason;
    /// True if the caller closed its sending side and was sent an error response, which it may
    /// still read.
    bool callerMayRead = false;
    /// True if the response could not be written because the caller's connection had ended.
    bool endedByCaller = false;
    bool limitReached = false;
    /// Set once the request line is written.
    RequestEnd end = RequestEnd::Responded;
};

/// Processes one request of a caller: admits and places it, sends it to one or more backend servers
/// as its route kind allows, and responds. A node that can't reach the servers forwards the request
/// to another node instead, which sends it to one server at most: what follows is decided where the
/// caller is connected. Used on the traffic thread only.
class Exchange
{
public:
    Exchange(TrafficState &state, boost::asio::ip::tcp::socket &caller, HttpRequest request,
             HeldBody body, Instant received, RequestSource source = RequestSource::Caller);
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;
    ~Exchange();

    /// Processes the request until a response was sent, a stream broke or the caller disconnected.
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> run();

    /// The request's id; empty before run() has read it.
    [[nodiscard]] std::string_view requestId() const { return callerRequest_.id.text(); }
    /// What is known of the request so far.
    [[nodiscard]] RequestFacts facts() const;

    /// Aborts the current attempt because the caller's connection has ended with `reason`.
    void callerDisconnected(const boost::system::error_code &reason);
    /// Keeps the connection open after the response although the node is stopping, because the
    /// caller has sent another request, which must be answered too.
    void noteNextRequest() { nextRequestArrived_ = true; }
    /// True if the response, of which at least the header has been written, is the last one on the
    /// caller's connection.
    [[nodiscard]] bool closeAnnounced() const { return closeAnnounced_; }
    /// Ends the connection with the response although the caller may have sent another request that
    /// has not been read, unless noteNextRequest() was called.
    void ignoreUnreadRequests() { ignoresUnread_ = true; }
    /// Ends the request because the process ends soon, unless its response has begun: the caller
    /// gets an error, or a refusal if no server has been sent the request.
    void answerBeforeStop();

private:
    /// The result of one attempt.
    enum class AttemptResult : std::uint8_t {
        /// The event stream was forwarded to the caller up to its end.
        Delivered,
        /// A complete response is stored in `response_`.
        ResponseReceived,
        /// The request was not sent.
        NotSent,
        /// The server reported that it did not run the request.
        Rejected,
        /// The request was sent, but no complete response was received.
        NoResponse,
        /// A stream ended early after part of it was forwarded to the caller.
        StreamBroken,
        TimedOut,
        CallerDisconnected,
        /// The server stopped responding and the attempt waits while another server is tried.
        Silent,
        /// The attempt was aborted because the silent server has responded before.
        Superseded,
    };

    /// How a server marks the end of its response body.
    enum class BodyDelimiter : std::uint8_t {
        /// No response header has been received.
        Unknown,
        Length,
        Chunks,
        /// The body ends with the connection.
        ConnectionClose,
    };

    struct Attempt;
    struct AttemptCleanup;

    /// Maximum number of rejections by servers after which the request is sent again at once.
    static constexpr unsigned MaxRejections = 2;

    [[nodiscard]] std::optional<ErrorKind> admit();
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> runAttempts();
    [[nodiscard]] boost::asio::awaitable<AttemptResult> runAttempt(const Placement &placement);
    /// Sends the request over the connection of the attempt and receives the response.
    [[nodiscard]] boost::asio::awaitable<AttemptResult> transfer(std::shared_ptr<Attempt> attempt,
                                                                 bool connected);
    [[nodiscard]] boost::asio::awaitable<bool> connect(std::shared_ptr<Attempt> attempt);
    /// Opens the connection of the attempt, unless that takes too long.
    [[nodiscard]] boost::asio::awaitable<boost::system::error_code>
    openConnection(std::shared_ptr<Attempt> attempt, boost::asio::ip::tcp::endpoint endpoint);

    /// True if the request is better forwarded than sent to a server from here.
    [[nodiscard]] bool prefersForwarding(Instant now) const;
    /// Returns the node to forward the request to, if it may be forwarded.
    [[nodiscard]] std::optional<ForwardPeer> chooseHelper(Instant now) const;
    [[nodiscard]] boost::asio::awaitable<AttemptResult> forwardTo(const ForwardPeer &helper);
    [[nodiscard]] boost::asio::awaitable<bool> connectToHelper(std::shared_ptr<Attempt> attempt);
    /// Builds the header of the request to a helping node.
    [[nodiscard]] boost::beast::http::request_header<> helperHeader(Instant now) const;
    /// Reads what the helping node states in the header of its response. Returns false if it is not
    /// the response of a helping node.
    [[nodiscard]] bool readHelperHeader(Attempt &attempt,
                                        const boost::beast::http::response_header<> &header);
    /// Keeps the refusal of a helping node and returns what it means for the attempt.
    [[nodiscard]] AttemptResult noteHelperRefusal(const Attempt &attempt, GatewayResponse refusal);
    void finishForwarding(Attempt &attempt, AttemptResult end);
    /// Sets what a response tells the node that has forwarded the request.
    void setResult(boost::beast::http::fields &fields, ForwardedOutcome outcome,
                   std::string_view refusal = {}) const;
    /// Passes a helping node's refusal on to the caller.
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> passOnRefusal();
    /// True if a helping node refused the request and no server may have run it.
    [[nodiscard]] bool hasHelperRefusal() const;
    /// Asks the process at the other end of a new connection for its boot; returns false if it is
    /// not the listed one, or if that is unknown while several software versions serve.
    [[nodiscard]] boost::asio::awaitable<bool> confirmProcess(Attempt &attempt,
                                                              bool severalVersions);
    /// Records how opening the attempt's connection ended.
    void noteConnectEnd(const Attempt &attempt, Instant began,
                        const boost::system::error_code &error);
    /// Records that the attempt lost its connection, if the server is listed with the same start.
    void noteConnectionLost(const Attempt &attempt, AttemptResult end, bool sameStart);
    /// Receives the response, also from where an earlier call was interrupted.
    [[nodiscard]] boost::asio::awaitable<AttemptResult> receive(Attempt &attempt);
    [[nodiscard]] boost::asio::awaitable<AttemptResult> receiveResponse(Attempt &attempt);
    [[nodiscard]] boost::asio::awaitable<AttemptResult> readCompleteResponse(Attempt &attempt);
    [[nodiscard]] boost::asio::awaitable<AttemptResult> relayStream(Attempt &attempt);
    /// Returns whether a response that ends with its connection is complete: a server whose process
    /// has ended may have broken it off anywhere.
    [[nodiscard]] boost::asio::awaitable<bool> isCompleteAtClose(Attempt &attempt);
    /// Gives up a response that exceeds a limit; frees what was kept of it, as other responses wait
    /// for the memory.
    [[nodiscard]] AttemptResult giveUpResponse(Attempt &attempt, std::string_view event);
    /// Reserves memory for the event of which a part has been received, and for `bytesToWrite` of
    /// complete ones. Returns false if the budget has no room.
    [[nodiscard]] bool reserveEvent(Attempt &attempt, std::size_t bytesToWrite);
    /// Encodes events for the caller; the first call puts the response header in front.
    [[nodiscard]] std::string frameEvents(Attempt &attempt,
                                          const boost::beast::http::response_header<> &header,
                                          std::string_view events);
    /// True if the caller's connection is kept open after the response.
    [[nodiscard]] bool keepConnection() const;
    /// True if the caller's HTTP version supports chunked encoding.
    [[nodiscard]] bool useChunkedEncoding() const { return request_.version() >= 11; }
    /// Returns the result of a stream that ends after part of it was forwarded to the caller, whose
    /// connection must then be closed.
    [[nodiscard]] static ExchangeResult cutStream(std::string_view outcome);
    void recordOutcome(AttemptResult end);
    /// Reads a response that belongs to another request, or an interim one, to its end without
    /// keeping its body.
    [[nodiscard]] static boost::asio::awaitable<boost::system::error_code>
    skipResponse(Attempt &attempt, ResponseParser<boost::beast::http::empty_body> &header);
    /// Records that data was received for an attempt.
    void noteReceived(Attempt &attempt);
    void finishAttempt(Attempt &attempt, AttemptResult end);
    /// Records for the placement whether the server answers the requests of the route, or leaves
    /// them without an end. A stream is answered with its first event, which frameEvents() notes,
    /// and has an end of its own.
    void noteAnswer(const Attempt &attempt, AttemptResult end, Instant now);
    /// Keeps an attempt whose server is silent until another server responds.
    void setAside(const std::shared_ptr<Attempt> &attempt);
    /// Soon after the request was sent to another server in `current`, gives up that or the silent
    /// one.
    void limitOverlap(const std::shared_ptr<Attempt> &current);
    void giveUpOne(Attempt &silent, Attempt &current);
    /// Lets the silent server go on because the request is at no other server any more.
    void endOverlap(AttemptResult end);
    /// Waits for the silent server after all, because no other server responds to the request.
    [[nodiscard]] boost::asio::awaitable<AttemptResult> resumeSilentAttempt();
    /// Reserves a retry for the case that a server rejects the request after the silent attempt was
    /// given up for it.
    [[nodiscard]] bool reserveReturn(Instant now);
    /// Pays for the next send of the request with a retry, one that is reserved first.
    [[nodiscard]] bool payForSend(Instant now);
    /// Keeps a retry that was paid for the next send, or gives it back if that is paid already.
    void keepPaid(std::optional<Instant> paidAt);
    /// Gives back what was paid or reserved for sends that are not made.
    void giveBackRetry(std::optional<Instant> paidAt);
    void giveBackReturn();
    void giveBackRetries();
    /// Ends the silent attempt if it was given up, and lets its server be chosen again.
    void returnToSilentServer();
    /// Returns to a server no more that is not listed any more, or leaves.
    void forgetServerThatLeft();
    /// Waits until a request that servers have rejected or that didn't reach them, and that can't
    /// be reported as not run, may be sent again, to these servers too. `time` is how long servers
    /// keep requests away, if they have stated that. Returns false if it may not be sent, or not in
    /// time.
    [[nodiscard]] boost::asio::awaitable<bool> waitForServers(std::optional<Duration> time);
    [[nodiscard]] bool mayWait() const;
    /// True if the request was sent to as many servers as its route allows, without those that
    /// rejected it.
    [[nodiscard]] bool attemptsUsed() const;
    /// True if the request may only be sent to a server that it was taken from.
    [[nodiscard]] bool mayOnlyReturn() const { return sends_ > 0 && attemptsUsed(); }
    /// The server that an attempt's request was sent to, also by a helping node; empty if that
    /// isn't known.
    [[nodiscard]] static const ServerId &serverOf(const Attempt &attempt);
    /// True if the request may be sent again to the server that was silent, which counts as one
    /// with the first send to it.
    [[nodiscard]] bool mayReturn() const;
    /// True if the request can't be refused any more and no server has ended it, or if the server
    /// that it was taken from is likely to go on.
    [[nodiscard]] bool mustGoOn() const;
    /// True if the server that was silent may take the request again soon, and not now.
    [[nodiscard]] bool awaitsReturn() const;
    /// True if the service has servers that may take the request later.
    [[nodiscard]] bool mayFindServerLater(const NoPlacement &none) const;
    /// Suspends the exchange for `time`, or until its caller leaves or the node stops.
    [[nodiscard]] boost::asio::awaitable<void> pause(Duration time);
    /// Ends the attempt that was set aside, if there is one.
    void dropSilentAttempt();
    /// True if a silent server may still give a better response than `end`.
    [[nodiscard]] bool mayResumeSilentAttempt(AttemptResult end) const;
    /// Prepares for resuming a stream that ended early.
    void noteBrokenStream(AttemptResult end);
    void sendRequest(const std::shared_ptr<Attempt> &shared);
    void monitorServer(const std::shared_ptr<Attempt> &attempt);
    static void abortAt(const std::shared_ptr<Attempt> &attempt, Instant moment);
    /// Aborts the attempt once what has arrived for it has had time to be read.
    static void abortAfterReading(const std::shared_ptr<Attempt> &attempt, unsigned maxStalls);
    /// Returns the result of an attempt whose connection failed with `error`.
    [[nodiscard]] AttemptResult failure(Attempt &attempt, const boost::system::error_code &error);
    /// The error of a request that may have run and has no response.
    [[nodiscard]] ErrorKind failureKind() const
    {
        return memoryFull_ ? ErrorKind::BodyMemoryFull : ErrorKind::BackendFailed;
    }
    /// Returns the hash by which nodes recognize this request when a caller sends it again.
    [[nodiscard]] RequestFingerprint fingerprint();
    /// Returns the parts of the prompt that other requests share, or for a plain service the groups
    /// that the request belongs to.
    [[nodiscard]] const std::vector<SharedPart> &sharedParts();
    [[nodiscard]] std::vector<SharedPart> promptParts() const;
    [[nodiscard]] std::vector<SharedPart> requestGroups() const;
    /// Records that a request ran completely for its groups.
    void noteGroupRun(const Attempt &attempt);
    /// Returns what may be done with this request after the crashes of servers that ran it.
    [[nodiscard]] CrashAssessment assessCrashes();
    /// Records that the prompt parts of a request that the server is responding to crash no server.
    void clearParts(Attempt &attempt);
    /// Announces the trial of a prompt part whose denial has ended.
    void noteTrial(Instant now);
    /// Makes this request the trial of those that are alike, if one is due. Other copies await its
    /// end from then on, even while it is not sent yet.
    void claimTrial(Instant now);
    /// True if the crashes of servers forbid to send the request, or to forward it.
    [[nodiscard]] bool blockedBy(const CrashAssessment &crashes, bool forwards) const;
    /// Logs what identifies a request that the server ended without a complete response. Queries
    /// and bodies, which may be confidential, are logged as hashes.
    void logLoss(const Attempt &attempt, Instant now);
    /// Passes on what the result of an attempt tells about crashes.
    void noteCrashEvidence(Attempt &attempt, AttemptResult end);
    /// The retry delay to report if the expected queue wait is too long; nothing if the request can
    /// be sent.
    [[nodiscard]] std::optional<Duration> queueRefusalDelay(const Placement &placement) const;
    /// The priority sent to engines, from 0 (highest) to 9 (lowest).
    [[nodiscard]] int enginePriority() const;
    [[nodiscard]] bool mayRetry(AttemptResult end, Instant now);
    /// Reserves a retry on another server than `current`, which may still respond unless it is
    /// `gone`. Returns false if there is no other server, no time or no retry left, or if the
    /// request might have no way back; the attempt then has to go on.
    [[nodiscard]] bool reserveRetry(const ServerId &current, bool gone, Instant now);
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> sendResponse();
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> sendRefusal(ErrorKind kind,
                                                                     Duration retryAfter);
    /// Writes part of a stream. Returns false if the caller has left or the write fails, in which
    /// case `writeError_` is set.
    [[nodiscard]] boost::asio::awaitable<bool> writeToCaller(std::string_view bytes);
    /// The result of an exchange whose caller has left. A caller that has closed only its sending
    /// side gets a refusal.
    [[nodiscard]] boost::asio::awaitable<ExchangeResult> callerLeft();
    /// The result of an exchange whose response could not be written.
    [[nodiscard]] static ExchangeResult notDelivered(const boost::system::error_code &error);
    [[nodiscard]] Duration timeLeft(Instant now) const;
    /// True if too little time is left for sending the request.
    [[nodiscard]] bool outOfTime(Instant now) const;
    [[nodiscard]] platform::ForwardOptions forwardFacts(const Placement &placement,
                                                        Instant now) const;
    void preparePlacement();
    /// Sets the cache scope of the next attempt by the configuration that is in force now, which
    /// may have isolated teams since the request was admitted.
    void updateCacheScope();

    /// True if all events of the response, and of the stream that it continues, must come from
    /// servers of one software version.
    [[nodiscard]] bool keepsVersion() const;
    /// True if the caller already has events of the stream.
    [[nodiscard]] bool resumesStream() const;
    /// The id of the attempt that began the stream.
    [[nodiscard]] std::string_view originId() const;
    /// Fixes the version at which a resumed stream goes on; returns false if it is unknown.
    [[nodiscard]] boost::asio::awaitable<bool> findOrigin();
    [[nodiscard]] boost::asio::awaitable<ResumeDecision> decideOrigin(StreamId stream);
    /// Sets the versions that the next attempt may be sent to.
    void restrictVersions();
    /// Fixes the version that the request is being sent to, also for further attempts.
    void noteVersionSent(const Placement &placement, Instant now);
    /// Counts a resumed stream that no server of its version can take.
    void noteNoServer();

    /// Decides by what the request was ended, and logs that.
    void logResult(ExchangeResult &end);

    TrafficState &state_;
    boost::asio::ip::tcp::socket &caller_;
    HttpRequest request_;
    /// Shared with the attempts that send it.
    std::shared_ptr<const HeldBody> body_;
    Instant received_;
    Instant deadline_;
    RequestSource source_;
    /// What the node states that has forwarded this request.
    ForwardedRequest forwarded_;

    CallerRequest callerRequest_;
    std::shared_ptr<const RouteTable> routes_;
    const Route *route_ = nullptr;
    const FleetTeam *team_ = nullptr;
    PlacementRequest placementRequest_;
    std::string cacheScope_;
    std::vector<ServerId> triedServers_;
    /// Those of them that it was sent to.
    std::vector<ServerId> sentServers_;
    /// The software version that the request is bound to; empty while it may go to any.
    VersionSet version_;
    /// Why a resumed stream was refused, for the log.
    std::string resumeRefusal_;

    /// Requests sent to servers so far, also by helping nodes, and those that servers reported as
    /// not run.
    unsigned sends_ = 0;
    unsigned rejected_ = 0;
    /// Sends among them, and not rejected, to the server that the request was taken from.
    unsigned returns_ = 0;
    /// Connections to servers that could not be made, and those of them that took too long.
    unsigned failedConnects_ = 0;
    unsigned overdueConnects_ = 0;
    /// The nodes that were asked for help in vain, and the one that was asked last.
    std::vector<std::string> triedHelpers_;
    std::string helper_;
    /// True if the last attempt was made by way of another node.
    bool lastForwarded_ = false;
    /// Attempts by way of other nodes that ended without the request being sent to a server.
    unsigned unsentForwards_ = 0;
    /// The last refusal of a helping node and what that told about it.
    std::optional<GatewayResponse> helperRefusal_;
    ForwardedResult helperResult_;
    DispatchRecord dispatchRecord_;
    std::optional<RequestFingerprint> fingerprint_;
    /// True if the request is sent as the trial of those that are alike.
    bool isTrial_ = false;
    std::optional<std::vector<SharedPart>> sharedParts_;
    /// Name of the denied part or group because of which the request was refused, for the log.
    std::string quarantinedPart_;
    std::optional<GatewayResponse> response_;
    /// Memory of the response body in `response_`.
    std::optional<MemoryReservation> responseMemory_;
    bool callerDisconnected_ = false;
    bool endedByStop_ = false;
    /// How the caller's connection ended, for the log.
    boost::system::error_code callerError_;
    bool headerDelivered_ = false;
    /// True if the header of the stream lets the caller send another request.
    bool keepAnnounced_ = false;
    bool closeAnnounced_ = false;
    bool nextRequestArrived_ = false;
    bool ignoresUnread_ = false;
    /// When the retry of the current attempt was taken from the budget, if it has been already.
    std::optional<Instant> retryReserved_;
    /// The same for the retry after a late rejection of the request.
    std::optional<Instant> returnReserved_;
    /// The same for the next send of the request.
    std::optional<Instant> nextSendPaid_;
    /// True if an attempt at a silent server was given up.
    bool silentGivenUp_ = false;
    /// The server of that attempt, which the request returns to; empty without one.
    ServerId returnTo_;
    /// Until then a request that another server broke off waits for that server.
    Instant returnBefore_;
    /// Times that the request has waited to be sent again.
    unsigned waits_ = 0;
    /// Why a write of part of a stream failed.
    boost::system::error_code writeError_;
    EventSplitter eventSplitter_;
    std::function<void()> cancelAttempt_;
    /// The attempt whose server fell silent while another server is tried.
    std::shared_ptr<Attempt> silentAttempt_;
    Instant firstByteAt_;
    Instant lastEventAt_;
    /// Longest time between two events forwarded to the caller.
    Duration longestGap_ {};
    /// The latest placement, for the log.
    Placement placement_;
    /// What servers stated that kept the request from all of them, for the log.
    SendPermission withheld_;
    /// How the latest response marks its end, the error that ended its connection and the number of
    /// bytes received after its last complete event, for the log.
    BodyDelimiter delimiter_ = BodyDelimiter::Unknown;
    boost::system::error_code connectionError_;
    std::size_t partialEventBytes_ = 0;
    /// True if a response ended with its connection and the server's process had ended, for the
    /// log.
    bool serverEnded_ = false;
    /// True if a stop of the node has shortened the deadline.
    bool limitedByStop_ = false;
    /// True if the server broke off the last attempt that ran the request and didn't end by itself.
    bool serverBrokeOff_ = false;
    /// True if that attempt's response was given up because it was too long, or because other data
    /// takes the node's memory.
    bool responseTooLong_ = false;
    /// True if other data was the cause.
    bool memoryFull_ = false;
};

} // namespace jacinthroad
