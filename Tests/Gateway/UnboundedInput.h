#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "GatewayFixture.h"

namespace jacinthroad {

/// What a reader may keep of an input.
enum class Kept : std::uint8_t {
    /// As much as a header may have, as all of it precedes, or is no part of, a body.
    Head,
    /// As much as a body may have.
    Body,
    /// Next to nothing: complete events are passed on, and what frames a body is dropped, as much
    /// as there is.
    Nothing,
};

/// One production of a grammar that may repeat or has no length, as a sender that never ends it
/// writes it.
struct UnboundedInput
{
    const char *name;
    /// Sent once, with the fields of the message that is sent in place of `$HEAD`.
    std::string begin;
    /// Sent again and again.
    std::string rest;
    Kept kept = Kept::Head;
    /// Bytes that are sent for one byte of a body.
    std::size_t bytesPerByte = 1;
};

std::ostream &operator<<(std::ostream &stream, const UnboundedInput &input);

/// Field lines, with the start line before them, of one message; empty lines don't belong to it.
struct MessageHead
{
    std::string startLine;
    std::string fields;
};

// A new form is one line in one of these lists.

/// Productions of a start line and field lines, that is of any message.
[[nodiscard]] std::vector<UnboundedInput> unboundedHeads();
/// Productions of a body that is sent in chunks, that is of any message.
[[nodiscard]] std::vector<UnboundedInput> unboundedChunks();
/// Productions that only a response may have.
[[nodiscard]] std::vector<UnboundedInput> unboundedResponseParts();
/// Productions of an event stream.
[[nodiscard]] std::vector<UnboundedInput> unboundedEvents();
/// Productions of a JSON text.
[[nodiscard]] std::vector<UnboundedInput> unboundedJson();

[[nodiscard]] std::vector<UnboundedInput> operator+(std::vector<UnboundedInput> left,
                                                    const std::vector<UnboundedInput> &right);

/// True if the whole header is in `begin`.
[[nodiscard]] bool endsHeader(const UnboundedInput &input);

/// How quickly an input is sent.
enum class Pace : std::uint8_t { Full, FewBytes };

/// What became of an input.
struct Sent
{
    /// Bytes that the sender got rid of, also into the buffers of the system.
    std::size_t bytes = 0;
    /// True if the reader has responded or ended the connection.
    bool refused = false;
    milliseconds time {};
};

/// More than any limit together with the buffers of the system.
constexpr std::size_t EnoughBytes = 64 * 1024 * 1024;
/// What the system may have in its buffers of one connection.
constexpr std::size_t SystemBufferBytes = 12 * 1024 * 1024;
/// Largest header of a request or response, and what nodes add to it for each other.
constexpr std::size_t MaxHeadBytes = (64 + 4) * 1024;
/// Memory of the node, in units of 1,000,000 bytes, and what all its bodies may take.
constexpr double NodeMemoryMb = 32;
constexpr std::size_t NodeAccountBytes = 8'000'000;
/// Time beyond a request's limit in which its connections must have ended.
constexpr milliseconds EndAllowance { 1000 };

/// Writes the input on a connection until its reader responds or ends it, `limit` has passed or
/// `maxBytes` are sent.
[[nodiscard]] Sent sendUnbounded(int connection, const UnboundedInput &input,
                                 const MessageHead &head, Pace pace, milliseconds limit,
                                 std::size_t maxBytes = EnoughBytes);

/// What a caller received.
struct Answer
{
    /// 0 if no complete header was received.
    unsigned status = 0;
    /// True if the response looks complete.
    bool complete = false;
    bool statesNotRun = false;
    milliseconds time {};
};

std::ostream &operator<<(std::ostream &stream, const Answer &answer);

/// Makes a call on a new connection to a gateway.
[[nodiscard]] Answer callGateway(GatewayFixture &fixture, const std::string &method,
                                 const std::string &path);

/// Checks that the node has given back all memory of bytes that it received and hasn't passed on,
/// once their connections have ended.
void checkAccountGivenBack(GatewayFixture &fixture);

} // namespace jacinthroad
