#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "ResponsePlan.h"
#include "RunLog.h"

namespace jacinthroad {

/// Header lines of what a server states.
[[nodiscard]] std::string statementLines(const ServerArrival &statement);
/// The head of the response to the request `id`. `length` is that of its body. Without its end if
/// header lines without end follow.
[[nodiscard]] std::string serverHeader(const ResponsePlan &plan, const std::string &id, bool stream,
                                       std::size_t length, const ServerArrival &statement);
[[nodiscard]] std::string chunkOf(const std::string &bytes);
/// What a server sends after its response to the request `id`.
[[nodiscard]] std::string lateBytesText(LateBytes kind, const std::string &id);
/// The pieces of the response `id` of a server with this software version, after the event with the
/// number `resumeAfter`.
[[nodiscard]] std::vector<std::string> piecesOf(const std::string &id, bool stream,
                                                const std::string &resumeAfter,
                                                const std::string &version);

} // namespace jacinthroad
