#pragma once

#include <string>
#include <vector>

#include "Routing/Dispatcher.h"

namespace jacinthroad {

/// A dispatcher with a few servers and a clock that tests move.
class DispatcherBench
{
public:
    explicit DispatcherBench(std::size_t servers, DispatcherOptions options = {})
        : dispatcher(std::move(options))
    {
        for (std::size_t index = 0; index < servers; ++index) {
            facts.push_back({ .id = ServerId("s" + std::to_string(index)),
                              .model = ModelId("m"),
                              .slots = 4,
                              .prefillTokensPerMs = 10 });
        }
        dispatcher.configure(facts, { { ModelId("m"), terms } });
    }

    /// Takes a message and returns the effects of one type.
    template <typename Effect> std::vector<Effect> tell(const DispatcherMessage &message)
    {
        std::vector<Effect> result;
        for (const DispatcherEffect &effect : dispatcher.handle(message, now)) {
            if (const auto *typed = std::get_if<Effect>(&effect)) {
                result.push_back(*typed);
            }
        }
        return result;
    }

    RequestArrived request(const std::string &id, std::uint32_t promptTokens = 1000,
                           std::uint32_t outputTokens = 100)
    {
        return { .info = { .id = RequestId(id),
                           .team = TeamId("t"),
                           .model = ModelId("m"),
                           .blocks = blockKeys(7, std::string(promptTokens * 4, 'p'), 64),
                           .promptTokens = promptTokens,
                           .maxOutputTokens = outputTokens,
                           .fingerprint = std::hash<std::string>()(id),
                           .arrived = now } };
    }

    /// Ends an attempt well and returns what could start then.
    std::vector<StartAttempt> finish(const StartAttempt &start, std::uint64_t cachedTokens = 0)
    {
        static_cast<void>(
            tell<StartAttempt>(FirstTokenReceived { .id = start.id, .attempt = start.attempt }));
        return tell<StartAttempt>(AttemptEnded { .id = start.id,
                                                 .attempt = start.attempt,
                                                 .end = AttemptEnd::Completed,
                                                 .deliveredTokens = 10,
                                                 .promptTokens = 1000,
                                                 .cachedTokens = cachedTokens });
    }

    ModelSettings terms;
    std::vector<ServerInfo> facts;
    Instant now = Instant() + std::chrono::hours(1);
    Dispatcher dispatcher;
};

} // namespace jacinthroad
