#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "EngineClient/ChatRequest.h"
#include "EngineClient/StreamRelay.h"
#include "Http/HttpClient.h"
#include "Http/ResponseWriter.h"
#include "Node/Traffic.h"
#include "PrefixIndex/PrefixKey.h"
#include "Routing/DispatcherMessages.h"

namespace jacinthroad {

/// Settings of a ModelSession.
struct ModelSessionOptions
{
    RequestId id;
    std::uint64_t number = 0;
    /// The id in the caller's event ids; that of the first stream when this one resumes it.
    std::string publicId;
    TeamId team;
    ChatRequest chat;
    BlockKey salt = 0;
    std::uint32_t resumeAfterTokens = 0;
};

/// One caller's request for a model: it carries out the dispatcher's effects, relays the engine's
/// stream with back-pressure, and tells the control thread what happened. Its methods may be
/// called from any thread.
class ModelSession : public std::enable_shared_from_this<ModelSession>
{
public:
    ModelSession(Traffic &traffic, std::shared_ptr<ResponseWriter> writer,
                 ModelSessionOptions options);

    /// Subscribes to the caller's connection.
    void begin();
    /// Sends the request to an engine.
    void startAttempt(const StartAttempt &effect, const std::string &url);
    /// Ends an attempt without reporting it.
    void cancelAttempt(AttemptNumber number);
    /// Answers with a refusal, or breaks a stream that has begun.
    void refuse(const RefuseRequest &effect);
    /// Looks for silence on the engine's side and a caller that left. `usualGapMs` is the usual
    /// gap between tokens of the model, 0 when unknown.
    void sweep(Instant now, double usualGapMs);

    [[nodiscard]] const ModelId &model() const { return options_.chat.model; }

private:
    struct Attempt
    {
        AttemptNumber number = 0;
        HttpClient::CallId call = 0;
        StreamRelay relay;
        int status = 0;
        bool ended = false;
        bool paused = false;
        bool spoke = false;
        Instant lastEvent;
        Instant progressAt;
        std::uint32_t progressToken = 0;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    void onHeaders(const AttemptPtr &attempt, const ServerId &server, int status,
                   const HttpHeaders &headers);
    [[nodiscard]] bool onData(const AttemptPtr &attempt, std::string_view bytes);
    void onEnd(const AttemptPtr &attempt, CallOutcome outcome);
    void onDrained();
    void onClosed(bool whole);

    void noteTokensLocked(Attempt &attempt, Instant now);
    void deliverLocked(Attempt &attempt, const std::string &output);
    void finishLocked(const Attempt &attempt);
    void endLocked(Attempt &attempt, AttemptEnd end);
    [[nodiscard]] std::string wholeAnswerLocked(const Attempt &attempt) const;
    void collectLocked(std::string_view output);

    Traffic &traffic_;
    std::shared_ptr<ResponseWriter> writer_;
    ModelSessionOptions options_;
    std::mutex mutex_;
    std::vector<AttemptPtr> attempts_;
    /// The attempt whose tokens the caller gets; 0 for none yet.
    AttemptNumber winner_ = 0;
    std::uint32_t delivered_ = 0;
    bool finished_ = false;
    /// Text of an answer that is not streamed, and the parser that gathers it.
    std::string text_;
    SseParser collector_;
};

} // namespace jacinthroad
