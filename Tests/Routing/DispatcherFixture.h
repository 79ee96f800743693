#pragma once

#include <string>
#include <vector>

#include "Routing/Dispatcher.h"

namespace jacinthroad {

/// A dispatcher with a few servers and a clock that tests advance.
class DispatcherFixture
{
public:
    explicit DispatcherFixture(std::size_t servers, DispatcherOptions options = {})
        : dispatcher(std::move(options))
    {
        for (std::size_t index = 0; index < servers; ++index) {
            serverInfos.push_back({ .id = ServerId("s" + std::to_string(index)),
                                    .model = ModelId("m"),
                                    .slots = 4,
                                    .prefillTokensPerMs = 10 });
        }
        dispatcher.configure(serverInfos, { { ModelId("m"), modelSettings } });
    }

    /// Sends a message and returns the resulting effects of one type.
    template <typename Effect> std::vector<Effect> send(const DispatcherMessage &message)
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

    /// Completes an attempt and returns the attempts started in response.
    std::vector<StartAttempt> finish(const StartAttempt &start, std::uint64_t cachedTokens = 0)
    {
        static_cast<void>(
            send<StartAttempt>(FirstTokenReceived { .id = start.id, .attempt = start.attempt }));
        return send<StartAttempt>(AttemptEnded { .id = start.id,
                                                 .attempt = start.attempt,
                                                 .end = AttemptEnd::Completed,
                                                 .deliveredTokens = 10,
                                                 .promptTokens = 1000,
                                                 .cachedTokens = cachedTokens });
    }

    ModelSettings modelSettings;
    std::vector<ServerInfo> serverInfos;
    Instant now = Instant() + std::chrono::hours(1);
    Dispatcher dispatcher;
};

} // namespace jacinthroad
