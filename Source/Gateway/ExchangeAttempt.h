#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include "Gateway/ConnectionPool.h"
#include "Gateway/DeadlineTimer.h"
#include "Gateway/Exchange.h"
#include "Gateway/MessageParser.h"
#include "platform/ServerWire.h"

namespace jacinthroad {

/// One attempt to send the request of an exchange to a backend server, or to a node that sends it
/// to one.
struct Exchange::Attempt
{
    explicit Attempt(boost::asio::io_context &context)
        : deadlineTimer(context)
        , livenessTimer(context)
        , writeEnd(context)
    { }

    /// Without a server if the request is forwarded.
    Placement placement;
    /// Name of the node that the request is forwarded to; empty if it is sent to a server.
    std::string helper;
    ForwardUse helperUse;
    /// What that node states.
    ForwardedResult forwardedResult;
    std::unique_ptr<ServerConnection> connection;
    DeadlineTimer deadlineTimer;
    DeadlineTimer livenessTimer;
    /// The request as it is sent. Its body is that of `body`.
    boost::beast::http::request<boost::beast::http::span_body<const char>> forwardedRequest;
    std::shared_ptr<const HeldBody> body;
    /// The response as far as it has been read: its header, or a body of either kind.
    std::unique_ptr<ResponseParser<boost::beast::http::empty_body>> headerParser;
    std::unique_ptr<ResponseParser<boost::beast::http::string_body>> bodyParser;
    std::unique_ptr<ResponseParser<boost::beast::http::buffer_body>> streamParser;
    /// Memory of the header of the response.
    std::optional<MemoryReservation> headerMemory;
    /// Memory of the body in `bodyParser`, or of the events that have not been passed on.
    std::optional<MemoryReservation> bodyMemory;
    bool bodyReceived = false;
    /// Responses to other requests that were skipped.
    unsigned skippedResponses = 0;
    platform::ResponseInfo responseFacts;
    bool connectionReused = false;
    /// True if the connection has carried the server's report, which has no request id.
    bool reportRead = false;
    bool sent = false;
    /// When a retry of the budget was spent on the send, if one was.
    std::optional<Instant> paidAt;
    bool requestWritten = false;
    /// True if the write of the request was ended by the server.
    bool writeFailed = false;
    /// Cancelled when the write of the request ends.
    boost::asio::steady_timer writeEnd;
    /// True if the request was sent to the server that it had been taken from.
    bool isReturn = false;
    /// When the request was first sent to another server while this attempt's one may run it.
    Instant overlapsSince;
    /// A second descriptor of the connection, over which a request that may take several writes is
    /// written. It is closed before that of the connection, as Asio requires of duplicates.
    std::optional<boost::asio::ip::tcp::socket> writer;
    bool timedOut = false;
    /// True if the response was given up because other data takes the node's memory.
    bool memoryFull = false;
    /// Bytes of the connection that had arrived when the time limit ended.
    std::uint64_t bytesByDeadline = 0;
    /// True if the server ended the connection before the response was complete.
    bool endedByServer = false;
    Instant sentAt;
    Instant lastReceivedAt;
    /// Longest time between two receipts of data.
    Duration longestSilence {};
    /// Time that events waited for the caller.
    Duration callerTime {};
    bool firstByteReceived = false;
    Instant firstEventAt;
    Instant lastEventAt;
    /// True if the response has cleared the prompt parts of earlier crashes.
    bool partsCleared = false;
    /// True if the response was read completely and the connection can carry another request.
    bool reusable = false;
    std::uint32_t uncachedTokens = 0;
    /// True once the server counts as unresponsive and a retry is reserved, until data arrives.
    bool silent = false;
    /// True while the attempt waits without being read; the state of its stream is kept here.
    bool waiting = false;
    /// True once another server has taken over the request from this one, which is silent.
    bool replaced = false;
    /// True if it was aborted because the silent server has responded before.
    bool superseded = false;
    EventSplitter eventSplitter;
    BodyDelimiter delimiter = BodyDelimiter::Unknown;

    [[nodiscard]] bool isForwarded() const { return !helper.empty(); }

    /// Gives the write of the request a descriptor of its own, because Asio can end the operations
    /// of a descriptor only together. Without a free descriptor there is none.
    void openWriter();
    void closeWriter();
    /// Notes how the write of the request has ended.
    void noteWriteEnd(const boost::system::error_code &error);

    /// True if the read can be ended without the write of the request.
    [[nodiscard]] bool canInterruptRead() const
    {
        return requestWritten || (writer.has_value() && writer->is_open());
    }
    /// Ends the pending read without closing the connection if that is possible. Else the request,
    /// which is not written completely, would be spoiled.
    void interruptRead()
    {
        if (canInterruptRead()) {
            boost::system::error_code ignored;
            connection->socket.cancel(ignored);
            connection->reader.cancelWait();
        } else {
            abort();
        }
    }
    /// True if interruptRead() ended a read with `error`.
    [[nodiscard]] bool wasInterrupted(const boost::system::error_code &error) const
    {
        return silent && error == boost::asio::error::operation_aborted
            && connection->socket.is_open();
    }

    /// True once the header of the response has been read.
    [[nodiscard]] bool hasResponse() const
    {
        return bodyParser != nullptr || streamParser != nullptr;
    }

    /// True once the header of a response has been read that is a refusal or an error.
    [[nodiscard]] bool hasRefusal() const
    {
        constexpr unsigned FirstServerError = 500;
        return hasResponse()
            && (responseFacts.notRun || responseFacts.wrongServer
                || (isForwarded() && forwardedResult.outcome != ForwardedOutcome::Relayed)
                || (bodyParser != nullptr && bodyParser->get().result_int() >= FirstServerError));
    }

    /// True if all that had arrived when the time limit ended has been read, on a connection that
    /// sends more than any engine. Such a connection always has unread bytes.
    [[nodiscard]] bool sendsOnAfterDeadline() const
    {
        return connection->reader.exceedsAllowance()
            && connection->reader.readBytes() >= bytesByDeadline;
    }

    /// Aborts the attempt because its time limit has ended.
    void endAtDeadline()
    {
        timedOut = true;
        abort();
    }

    /// Closes the connection, so that pending operations on it fail.
    void abort()
    {
        closeWriter();
        if (connection != nullptr) {
            boost::system::error_code ignored;
            connection->socket.close(ignored);
            connection->reader.cancelWait();
        }
    }
};

/// Disarms the timers of an attempt and closes its connection, unless that is kept, at the end of
/// the attempt. An attempt that waits goes on.
struct Exchange::AttemptCleanup
{
    Attempt &attempt;

    ~AttemptCleanup()
    {
        if (attempt.waiting) {
            return;
        }
        attempt.deadlineTimer.cancel();
        attempt.livenessTimer.cancel();
        attempt.abort();
    }
};

} // namespace jacinthroad
