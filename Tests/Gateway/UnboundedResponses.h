#pragma once

#include <atomic>
#include <iosfwd>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "UnboundedInput.h"

namespace jacinthroad {

/// Who reads a response on behalf of a caller.
enum class ResponseReader : std::uint8_t {
    /// The only attempt of a request that is answered with a complete response.
    Plain,
    /// The second attempt, behind a server that rejected the request.
    Repeat,
    /// That of a response to a HEAD, which has no body.
    Head,
    /// That of a response to another request, which is skipped.
    Skipped,
    /// That of an event stream.
    Stream,
    /// That of a stream that another server broke off and this one goes on with.
    TakeUp,
    /// That of the report by which a server's process is confirmed before a stream.
    Report,
};

std::ostream &operator<<(std::ostream &stream, ResponseReader reader);

/// A gateway and servers that never end their responses to requests of a path with `endless`, and
/// respond to all others.
class UnboundedResponses
{
public:
    explicit UnboundedResponses(ResponseReader reader);

    /// Sends a request to which a server responds with this input and status; may be called by
    /// several threads.
    [[nodiscard]] Answer call(const UnboundedInput &input, unsigned status, Pace pace,
                              std::size_t maxBytes = EnoughBytes);
    /// Send a request to which a server responds as it should, of the same service or another one.
    [[nodiscard]] Answer callSameService();
    [[nodiscard]] Answer callOtherService();
    [[nodiscard]] bool isStream() const;
    /// Waits until a server has begun to send; false if none has.
    [[nodiscard]] bool awaitBegin();
    /// Waits until no server sends any more.
    void awaitEnd();

    /// What became of an input that was sent with a status.
    struct Play
    {
        unsigned status;
        UnboundedInput input;
        Sent sent;
    };
    [[nodiscard]] std::vector<Play> plays();

    /// Checks that what was sent of an input keeps within the limits, in bytes and time.
    void check(const Play &play) const;
    /// Checks that the caller of a faulty response was told the truth.
    void check(const UnboundedInput &input, unsigned status, const Answer &answer) const;
    /// Checks that a caller of a sound response got it.
    static void checkOther(const Answer &answer, const char *when);

    GatewayFixture fixture;

private:
    struct Request
    {
        UnboundedInput input;
        unsigned status;
        Pace pace;
        std::size_t maxBytes;
        bool rejected = false;
    };

    [[nodiscard]] std::size_t maxTaken(const Play &play) const;
    bool respond(ScriptedConnection &connection, const ReceivedRequest &request);
    bool send(ScriptedConnection &connection, const Request &request, const std::string &id);

    ResponseReader reader_;
    std::mutex mutex_;
    /// By their paths.
    std::map<std::string, Request> requests_;
    std::vector<Play> plays_;
    unsigned begun_ = 0;
};

/// Sends two requests at once, whose servers respond with statuses 200 and 500 and never end that,
/// and others meanwhile and afterwards.
void checkUnboundedResponse(ResponseReader reader, const UnboundedInput &input);
/// Sends a request for each of the inputs at once, which come a few bytes at a time.
void checkSlowResponses(ResponseReader reader, const std::vector<UnboundedInput> &inputs);
/// Sends some dozen requests with the same input at once.
void checkManyResponses(ResponseReader reader, const UnboundedInput &input);

} // namespace jacinthroad
