#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Core/Time.h"
#include "EndlessForms.h"

namespace jacinthroad {

/// How a backend server delimits a response.
enum class Delimiter : std::uint8_t { Length, Chunks, ConnectionEnd };

/// How a backend server ends a response.
enum class ResponseEnd : std::uint8_t {
    Whole,
    /// Broken off by a reset of the connection.
    Reset,
    /// Broken off by an orderly close; the server lives.
    Close,
    /// Broken off by the end of the server's process.
    Crash,
    /// Followed by bytes that don't end until the connection is closed.
    Endless,
};

/// What a backend server sends after a complete response on the same connection.
enum class LateBytes : std::uint8_t {
    None,
    SecondResponse,
    /// Part of a second response, then the end of the connection.
    CutSecondResponse,
    /// Part of a second response; the connection goes on.
    UnfinishedSecondResponse,
    Garbage,
};

/// Everything that a backend server does with one request.
struct ResponsePlan
{
    Delimiter delimiter = Delimiter::Length;
    ResponseEnd end = ResponseEnd::Whole;
    /// The header is written. It may be missing from a response that is broken off.
    bool header = true;
    unsigned status = 200;
    bool http10 = false;
    bool connectionClose = false;
    /// Body as it is written, piece by piece. It is incomplete if the response is broken off.
    std::vector<std::string> pieces;
    Duration workTime {};
    Duration pieceTime {};
    /// What the server writes without end behind the pieces.
    const EndlessForm *endless = nullptr;
    /// Bytes that it writes at a time, and the time between two.
    std::size_t endlessBytes = 0;
    Duration endlessTime {};
    LateBytes lateBytes = LateBytes::None;
    Duration lateBy {};
    /// The late bytes come when the next request does, before its response.
    bool lateWithNextResponse = false;
};

/// The faults that a plan may contain.
struct ResponseFaults
{
    bool breakOff = false;
    bool secondResponse = false;
    /// Numbers a response without end, so that all forms occur; unset if there is none.
    std::function<std::size_t()> numberEndless;
    /// The server may end its process.
    bool crash = false;
};

/// Chooses how a server responds. `pieces` are the events of a stream or pieces of a body. A
/// response without length that its server, which lives, ends by an orderly close where an event
/// ends can't be told from a complete one and is not chosen.
[[nodiscard]] ResponsePlan planResponse(const std::vector<std::string> &pieces, bool stream,
                                        const ResponseFaults &faults, std::uint64_t seed);

} // namespace jacinthroad
