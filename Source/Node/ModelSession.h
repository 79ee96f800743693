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
#include "Node/TrafficContext.h"
#include "PrefixIndex/PrefixKey.h"
#include "Routing/DispatcherMessages.h"

namespace jacinthroad {

/// Settings of a ModelSession.
struct ModelSessionOptions
{
    RequestId id;
    std::uint64_t number = 0;
    /// Prefix of the event ids sent to the caller; a resumed stream keeps that of the first one.
    std::string publicId;
    TeamId team;
    ChatRequest chat;
    std::shared_ptr<RequestMemory> chatMemory;
    BlockKey salt = 0;
    std::uint32_t resumeAfterTokens = 0;
};

/// One caller's request for a model: executes the dispatcher's effects, relays the engine's
/// stream with back-pressure and reports events to the control thread. Thread-safe.
class ModelSession : public std::enable_shared_from_this<ModelSession>
{
public:
    ModelSession(TrafficContext &traffic, std::shared_ptr<ResponseWriter> writer,
                 ModelSessionOptions options);

    /// Subscribes to the caller's connection.
    void begin();
    /// Sends the request to an engine.
    void startAttempt(const StartAttempt &effect, const std::string &url);
    /// Ends an attempt without reporting it.
    void cancelAttempt(AttemptNumber number);
    /// Responds with an error, or aborts a stream that has started.
    void refuse(const RefuseRequest &effect);
    /// Ends attempts whose engine has stopped sending, and the session when its caller has
    /// disconnected. `medianTokenGapMs` is the model's median time between tokens in milliseconds,
    /// 0 when unknown.
    void checkLiveness(Instant now, double medianTokenGapMs);

    [[nodiscard]] const ModelId &model() const { return options_.chat.model; }

private:
    struct Attempt
    {
        AttemptNumber number = 0;
        ServerId server;
        HttpClient::CallId call = 0;
        StreamRelay relay;
        int status = 0;
        bool ended = false;
        bool paused = false;
        bool receivedToken = false;
        Instant lastDataAt;
        Instant lastReportAt;
        std::uint32_t lastReportedToken = 0;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    void onHeaders(const AttemptPtr &attempt, const ServerId &server, int status,
                   const HttpHeaders &headers);
    [[nodiscard]] bool onData(const AttemptPtr &attempt, std::string_view bytes);
    void onEnd(const AttemptPtr &attempt, CallOutcome outcome);
    void onBufferDrained();
    void onClosed(bool complete);

    void recordTokensLocked(Attempt &attempt, Instant now);
    void deliverLocked(Attempt &attempt, const std::string &output);
    void finishLocked(const Attempt &attempt);
    void endLocked(Attempt &attempt, AttemptEnd end);
    [[nodiscard]] std::string completeResponseLocked(const Attempt &attempt) const;
    void appendTextLocked(std::string_view output);
    /// Reserves the memory of what was received and not delivered; false if there is none.
    [[nodiscard]] bool reserveLocked();

    TrafficContext &traffic_;
    std::shared_ptr<ResponseWriter> writer_;
    ModelSessionOptions options_;
    std::mutex mutex_;
    std::vector<AttemptPtr> attempts_;
    /// The attempt whose tokens are relayed to the caller; 0 while there is none.
    AttemptNumber winner_ = 0;
    std::uint32_t deliveredTokens_ = 0;
    bool finished_ = false;
    /// Text of a response that is not streamed, and the parser of the events it is built from.
    std::string text_;
    SseParser textParser_;
    std::shared_ptr<MemoryReservation> memory_;
};

} // namespace jacinthroad
