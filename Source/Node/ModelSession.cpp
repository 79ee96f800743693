#include "Node/ModelSession.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <json/value.h>

#include "Core/Json.h"
#include "Core/Log.h"
#include "Core/WallClock.h"
#include "EngineClient/EngineHeaders.h"
#include "Node/Refusal.h"

namespace jacinthroad {

namespace {

constexpr int StatusOk = 200;
constexpr std::uint32_t TokensPerProgressReport = 8;
/// Maximum size in bytes of the text of a response that isn't streamed.
constexpr std::size_t MaximumTextBytes = 16 * 1024 * 1024;
// A stream counts as stalled after this many median token gaps without data.
constexpr double StallTimeoutGaps = 15;
// Before the first token the minimum stall timeout is multiplied, since prefill may take long.
constexpr int FirstTokenTimeoutFactor = 8;

std::string attemptIdOf(const RequestId &id, AttemptNumber number)
{
    return id.text() + "." + std::to_string(number);
}

/// The scheduling priority sent to engines, lower first: the rank in wall-clock milliseconds, so
/// that requests from different nodes are comparable.
std::int64_t enginePriority(const std::optional<Instant> &rank, Instant now)
{
    return rank.has_value() ? wallMilliseconds() + std::llround(toMilliseconds(*rank - now)) : 0;
}

} // namespace

ModelSession::ModelSession(TrafficContext &traffic, std::shared_ptr<ResponseWriter> writer,
                           ModelSessionOptions options)
    : traffic_(traffic)
    , writer_(std::move(writer))
    , options_(std::move(options))
    , deliveredTokens_(options_.resumeAfterTokens)
    , memory_(std::make_shared<MemoryReservation>(traffic_.memory, BodyKind::Response))
{ }

void ModelSession::begin()
{
    const std::weak_ptr<ModelSession> weak = weak_from_this();
    writer_->subscribe(
        traffic_.settings.streamBufferBytes,
        [weak] {
            if (const auto self = weak.lock()) {
                self->onBufferDrained();
            }
        },
        [weak](bool complete) {
            if (const auto self = weak.lock()) {
                self->onClosed(complete);
            }
        });
}

void ModelSession::startAttempt(const StartAttempt &effect, const std::string &url)
{
    const auto self = shared_from_this();
    const std::scoped_lock lock(mutex_);
    if (finished_) {
        return;
    }
    const std::string attemptId = attemptIdOf(options_.id, effect.attempt);
    const Instant now = std::chrono::steady_clock::now();
    auto attempt = std::make_shared<Attempt>(
        Attempt { .number = effect.attempt,
                  .server = effect.server,
                  .relay = StreamRelay({ .attemptId = attemptId,
                                         .publicId = options_.publicId,
                                         .afterTokens = deliveredTokens_ }),
                  .lastDataAt = now,
                  .lastReportAt = now,
                  .lastReportedToken = deliveredTokens_ });
    HttpCall call { .method = "POST",
                    .url = url + (options_.chat.chat ? "/v1/chat/completions" : "/v1/completions"),
                    .headers = { { "Content-Type", "application/json" },
                                 { "X-Request-Id", attemptId },
                                 { "X-Team", options_.team.text() } },
                    .body = engineBody(options_.chat,
                                       { .attemptId = attemptId,
                                         .cacheSalt = cacheSalt(options_.salt),
                                         .priority = enginePriority(effect.rank, now),
                                         .resumeAfterTokens = deliveredTokens_ }),
                    .ownConnection = true };
    const ServerId server = effect.server;
    attempt->call
        = traffic_.client(options_.number)
              .start(std::move(call),
                     { .onHeaders =
                           [self, attempt, server](int status, const HttpHeaders &headers) {
                               self->onHeaders(attempt, server, status, headers);
                           },
                       .onData
                       = [self,
                          attempt](std::string_view bytes) { return self->onData(attempt, bytes); },
                       .onEnd
                       = [self, attempt](CallOutcome outcome) { self->onEnd(attempt, outcome); } });
    attempts_.push_back(std::move(attempt));
}

void ModelSession::cancelAttempt(AttemptNumber number)
{
    const std::scoped_lock lock(mutex_);
    for (const AttemptPtr &attempt : attempts_) {
        if (attempt->number == number && !attempt->ended) {
            attempt->ended = true;
            attempt->relay.clear();
            static_cast<void>(reserveLocked());
            traffic_.client(options_.number).cancel(attempt->call);
        }
    }
}

void ModelSession::refuse(const RefuseRequest &effect)
{
    const std::scoped_lock lock(mutex_);
    if (finished_) {
        return;
    }
    finished_ = true;
    const Refusal refusal { .kind = effect.kind,
                            .requestId = options_.publicId,
                            .notRun = effect.notRun,
                            .retryAfterMs = effect.retryAfterMs };
    if (!writer_->started()) {
        writer_->respond(refusalResponse(refusal));
        return;
    }
    // The stream ends without its end marker and the connection without the final chunk, so that
    // callers recognize the response as incomplete.
    writer_->write("event: error\ndata: " + refusalJson(refusal) + "\n\n");
    writer_->abort();
}

void ModelSession::onHeaders(const AttemptPtr &attempt, const ServerId &server, int status,
                             const HttpHeaders &headers)
{
    {
        const std::scoped_lock lock(mutex_);
        attempt->status = status;
    }
    if (auto report = readLoadReport(headers)) {
        traffic_.control.postDispatcher(
            ServerReported { .server = server, .report = std::move(*report) });
    }
}

bool ModelSession::onData(const AttemptPtr &attempt, std::string_view bytes)
{
    const std::scoped_lock lock(mutex_);
    if (attempt->ended || attempt->status != StatusOk) {
        return true;
    }
    const bool bufferFull = writer_->bufferedBytes() >= traffic_.settings.streamBufferBytes;
    if (options_.chat.stream && bufferFull) {
        attempt->paused = true;
        return false;
    }
    const Instant now = std::chrono::steady_clock::now();
    attempt->lastDataAt = now;
    std::string output;
    const RelayState state = attempt->relay.feed(bytes, output);
    if (attempt->relay.lastToken() > attempt->lastReportedToken || state == RelayState::Complete) {
        recordTokensLocked(*attempt, now);
    }
    if (winner_ == attempt->number) {
        deliverLocked(*attempt, output);
    }
    const bool tooLong = text_.size() > MaximumTextBytes || !reserveLocked();
    if (tooLong) {
        logLine(LogLevel::Warning, "model_response_too_long",
                { { "request_id", options_.id.text() },
                  { "attempt", std::int64_t { attempt->number } },
                  { "server", attempt->server.text() },
                  { "text_bytes", static_cast<std::int64_t>(text_.size()) },
                  { "memory_bytes", static_cast<std::int64_t>(traffic_.memory->used()) },
                  { "memory_limit_bytes", static_cast<std::int64_t>(traffic_.memory->limit()) },
                  { "remedy",
                    "Check the server. limits.response_memory_bytes bounds all requests and "
                    "responses together." } });
    }
    if (state == RelayState::Crossed || state == RelayState::Malformed || tooLong) {
        endLocked(*attempt, AttemptEnd::Crossed);
        traffic_.client(options_.number).cancel(attempt->call);
    } else if (state == RelayState::Complete && winner_ == attempt->number) {
        finishLocked(*attempt);
        endLocked(*attempt, AttemptEnd::Completed);
    }
    return true;
}

void ModelSession::recordTokensLocked(Attempt &attempt, Instant now)
{
    if (!attempt.receivedToken) {
        attempt.receivedToken = true;
        attempt.lastReportAt = now;
        attempt.lastReportedToken = attempt.relay.lastToken();
        if (winner_ == 0) {
            winner_ = attempt.number;
            traffic_.control.postDispatcher(
                FirstTokenReceived { .id = options_.id, .attempt = attempt.number });
        }
        return;
    }
    const std::uint32_t tokens = attempt.relay.lastToken() - attempt.lastReportedToken;
    if (tokens >= TokensPerProgressReport) {
        traffic_.control.postDispatcher(
            AttemptProgress { .id = options_.id,
                              .attempt = attempt.number,
                              .deliveredTokens = attempt.relay.lastToken(),
                              .gapMs = toMilliseconds(now - attempt.lastReportAt) / tokens });
        attempt.lastReportAt = now;
        attempt.lastReportedToken = attempt.relay.lastToken();
    }
}

void ModelSession::deliverLocked(Attempt &attempt, const std::string &output)
{
    deliveredTokens_ = attempt.relay.lastToken();
    if (!options_.chat.stream) {
        appendTextLocked(output);
        return;
    }
    if (output.empty()) {
        return;
    }
    writer_->start(StatusOk,
                   { { "Content-Type", "text/event-stream" },
                     { "Cache-Control", "no-store" },
                     { "X-Request-Id", options_.publicId } });
    writer_->write(output);
}

void ModelSession::appendTextLocked(std::string_view output)
{
    static_cast<void>(textParser_.feed(output, [this](std::string_view, std::string_view data) {
        const auto parsed = parseJson(data);
        if (!parsed.has_value() || !parsed->isObject()) {
            return;
        }
        for (const Json::Value &choice : (*parsed)["choices"]) {
            const Json::Value &content
                = options_.chat.chat ? choice["delta"]["content"] : choice["text"];
            if (content.isString()) {
                text_ += content.asString();
            }
        }
    }));
}

bool ModelSession::reserveLocked()
{
    std::size_t bytes = text_.capacity() + textParser_.memory();
    for (const AttemptPtr &attempt : attempts_) {
        bytes += attempt->relay.memory();
    }
    return memory_->resize(bytes);
}

std::string ModelSession::completeResponseLocked(const Attempt &attempt) const
{
    Json::Value choice;
    choice["index"] = 0;
    choice["finish_reason"] = "stop";
    if (options_.chat.chat) {
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = text_;
    } else {
        choice["text"] = text_;
    }
    Json::Value body;
    body["id"] = options_.publicId;
    body["object"] = options_.chat.chat ? "chat.completion" : "text_completion";
    body["model"] = options_.chat.model.text();
    body["choices"].append(choice);
    body["usage"]["prompt_tokens"] = Json::UInt64(attempt.relay.promptTokens().value_or(0));
    body["usage"]["completion_tokens"] = attempt.relay.lastToken();
    body["usage"]["total_tokens"]
        = Json::UInt64(attempt.relay.promptTokens().value_or(0) + attempt.relay.lastToken());
    body["usage"]["prompt_tokens_details"]["cached_tokens"]
        = Json::UInt64(attempt.relay.cachedTokens().value_or(0));
    return writeJson(body);
}

void ModelSession::finishLocked(const Attempt &attempt)
{
    if (finished_) {
        return;
    }
    finished_ = true;
    if (options_.chat.stream) {
        writer_->finish();
        return;
    }
    std::string body = completeResponseLocked(attempt);
    text_ = {};
    // An answer that is ready is delivered even if its escapes take more than is left.
    auto memory = std::make_shared<MemoryReservation>(traffic_.memory, BodyKind::Response);
    static_cast<void>(memory->resize(body.size()) || memory->resize(memory_->bytes()));
    writer_->respond({ .status = StatusOk,
                       .headers = { { "Content-Type", "application/json" },
                                    { "X-Request-Id", options_.publicId } },
                       .body = std::move(body) },
                     std::move(memory));
}

void ModelSession::endLocked(Attempt &attempt, AttemptEnd end)
{
    if (attempt.ended) {
        return;
    }
    attempt.ended = true;
    attempt.relay.clear();
    // A smaller reservation always fits.
    static_cast<void>(reserveLocked());
    if (winner_ == attempt.number && end != AttemptEnd::Completed) {
        winner_ = 0;
    }
    traffic_.control.postDispatcher(AttemptEnded { .id = options_.id,
                                                   .attempt = attempt.number,
                                                   .end = end,
                                                   .deliveredTokens = deliveredTokens_,
                                                   .promptTokens = attempt.relay.promptTokens(),
                                                   .cachedTokens = attempt.relay.cachedTokens() });
}

void ModelSession::onEnd(const AttemptPtr &attempt, CallOutcome outcome)
{
    const std::scoped_lock lock(mutex_);
    switch (outcome) {
    case CallOutcome::Completed:
        // A complete HTTP response without the stream's end marker is a broken stream. With a
        // status other than 200, the engine has rejected the request.
        endLocked(*attempt,
                  attempt->status == StatusOk ? AttemptEnd::Broken : AttemptEnd::Rejected);
        break;
    case CallOutcome::NotSent:
        endLocked(*attempt, AttemptEnd::NotSent);
        break;
    case CallOutcome::Interrupted:
    case CallOutcome::TimedOut:
        endLocked(*attempt, AttemptEnd::Broken);
        break;
    case CallOutcome::Cancelled:
        endLocked(*attempt, AttemptEnd::Cancelled);
        break;
    }
}

void ModelSession::onBufferDrained()
{
    const std::scoped_lock lock(mutex_);
    for (const AttemptPtr &attempt : attempts_) {
        if (attempt->paused) {
            attempt->paused = false;
            attempt->lastDataAt = std::chrono::steady_clock::now();
            traffic_.client(options_.number).resume(attempt->call);
        }
    }
}

void ModelSession::onClosed(bool complete)
{
    const std::scoped_lock lock(mutex_);
    if (!complete && !finished_) {
        finished_ = true;
        traffic_.control.postDispatcher(CallerDisconnected { .id = options_.id });
    }
}

void ModelSession::checkLiveness(Instant now, double medianTokenGapMs)
{
    const std::scoped_lock lock(mutex_);
    if (finished_) {
        return;
    }
    if (writer_->callerDisconnected()) {
        finished_ = true;
        traffic_.control.postDispatcher(CallerDisconnected { .id = options_.id });
        writer_->abort();
        return;
    }
    const Duration minimum = traffic_.settings.stallMinimum;
    const Duration tokenTimeout
        = std::max(minimum, fromMilliseconds(StallTimeoutGaps * medianTokenGapMs));
    for (const AttemptPtr &attempt : attempts_) {
        if (attempt->ended || attempt->paused) {
            continue;
        }
        const Duration timeout
            = attempt->receivedToken ? tokenTimeout : FirstTokenTimeoutFactor * minimum;
        if (now - attempt->lastDataAt > timeout) {
            endLocked(*attempt, AttemptEnd::Stalled);
            traffic_.client(options_.number).cancel(attempt->call);
        }
    }
}

} // namespace jacinthroad
