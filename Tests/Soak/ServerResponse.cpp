#include "ServerResponse.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "ScriptedServer.h"
#include "SoakTraffic.h"

namespace jacinthroad {

std::string statementLines(const ServerArrival &statement)
{
    std::string lines = statement.leaving ? "Server-Leaving: 1\r\n" : "";
    if (!statement.load.empty()) {
        lines += "X-Instance-Load: " + statement.load + "\r\n";
    }
    if (statement.limit > 0) {
        lines += "Server-Limit: " + std::to_string(statement.limit) + "\r\n";
    }
    if (statement.pausedUntil != Instant()) {
        lines += "Retry-After: "
            + std::to_string(toMilliseconds(statement.pausedUntil - statement.at) / 1000) + "\r\n";
    }
    return lines;
}

std::string serverHeader(const ResponsePlan &plan, const std::string &id, bool stream,
                         std::size_t length, const ServerArrival &statement)
{
    std::string header = std::string(plan.http10 ? "HTTP/1.0" : "HTTP/1.1") + " "
        + std::to_string(plan.status) + " X\r\nX-Request-Id: " + id
        + "\r\nX-Response-Stamp: stamp\r\nX-Weight-Versions: 1\r\n" + statementLines(statement);
    header += stream ? "Content-Type: text/event-stream\r\n" : "Content-Type: text/plain\r\n";
    header += plan.connectionClose ? "Connection: close\r\n" : "";
    if (plan.delimiter == Delimiter::Length) {
        header += "Content-Length: " + std::to_string(length) + "\r\n";
    }
    if (plan.delimiter == Delimiter::Chunks) {
        header += "Transfer-Encoding: chunked\r\n";
    }
    const bool ends = plan.endless == nullptr || plan.endless->place != EndlessForm::Place::Header;
    return header + (ends ? "\r\n" : "");
}

std::string chunkOf(const std::string &bytes)
{
    std::array<char, 20> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

std::string lateBytesText(LateBytes kind, const std::string &id)
{
    std::string second = responseText(
        200, "X-Request-Id: " + id + "\r\nX-Response-Stamp: stamp\r\n", "second response of " + id);
    switch (kind) {
    case LateBytes::None:
        return {};
    case LateBytes::SecondResponse:
        return second;
    case LateBytes::CutSecondResponse:
    case LateBytes::UnfinishedSecondResponse:
        return second.substr(0, second.size() - 10);
    case LateBytes::Garbage:
        return "\x01\x7fnoise\r\n\r\n";
    }
    return {};
}

std::vector<std::string> piecesOf(const std::string &id, bool stream,
                                  const std::string &resumeAfter, const std::string &version)
{
    std::vector<std::string> pieces = soakResponsePieces(id, stream);
    if (stream) {
        for (std::string &piece : pieces) {
            piece = versionedEvent(piece, version);
        }
    }
    const std::size_t skipped
        = resumeAfter.empty() ? 0 : std::min<std::size_t>(std::stoul(resumeAfter), pieces.size());
    pieces.erase(pieces.begin(), pieces.begin() + static_cast<std::ptrdiff_t>(skipped));
    return pieces;
}

} // namespace jacinthroad
