#include "Gateway/SuspensionLog.h"

#include "Core/Log.h"

namespace jacinthroad {

namespace {

std::string_view causeName(SuspensionCause cause)
{
    switch (cause) {
    case SuspensionCause::NotConnected:
        return "not_connected";
    case SuspensionCause::ConnectionLost:
        return "connection_lost";
    case SuspensionCause::Failed:
        return "failed_responses";
    case SuspensionCause::Leaving:
        return "leaving";
    case SuspensionCause::PeerReport:
        return "peer_report";
    }
    return {};
}

} // namespace

void SuspensionLog::note(const Suspension &suspension, Instant now)
{
    std::erase_if(loggedAt_, [&](const auto &entry) { return now - entry.second >= RepeatTime; });
    const std::string_view cause = causeName(suspension.cause);
    const std::string source(suspension.peer.empty() ? cause : suspension.peer);
    if (loggedAt_.size() >= MaxLines
        || !loggedAt_.try_emplace({ suspension.server, source }, now).second) {
        ++left_;
        return;
    }
    logLine(LogLevel::Info, "server_suspended",
            { { "server", suspension.server.text() },
              { "cause", cause },
              { "peer", suspension.peer },
              { "ms", toMilliseconds(suspension.time) },
              { "lines_left_out", left_ } });
    left_ = 0;
}

} // namespace jacinthroad
