#include "Gateway/SuspensionLog.h"

#include "Core/Log.h"

namespace jacinthroad {

std::string_view suspensionCauseName(SuspensionCause cause)
{
    switch (cause) {
    case SuspensionCause::NotConnected:
        return "not_connected";
    case SuspensionCause::ConnectionLost:
        return "connection_lost";
    case SuspensionCause::Silent:
        return "silent";
    case SuspensionCause::Failed:
        return "failed_responses";
    case SuspensionCause::Unfinished:
        return "unfinished_responses";
    case SuspensionCause::Leaving:
        return "leaving";
    case SuspensionCause::PeerReport:
        return "peer_report";
    }
    return {};
}

void SuspensionLog::note(const Suspension &suspension, Instant now)
{
    std::erase_if(loggedAt_, [&](const auto &entry) { return now - entry.second >= RepeatTime; });
    const std::string_view cause = suspensionCauseName(suspension.cause);
    const std::string source(suspension.peer.empty() ? cause : suspension.peer);
    if (loggedAt_.size() >= MaxLines
        || !loggedAt_.try_emplace({ suspension.server, source }, now).second) {
        ++left_;
        return;
    }
    if (suspension.cause == SuspensionCause::Unfinished) {
        logLine(LogLevel::Warning, "server_avoided",
                { { "server", suspension.server.text() },
                  { "route", suspension.route },
                  { "cause", cause },
                  { "ran_ms", toMilliseconds(suspension.ran) },
                  { "usual_ms", toMilliseconds(suspension.usual) },
                  { "ms", toMilliseconds(suspension.time) },
                  { "lines_left_out", left_ },
                  { "remedy",
                    "Its responses don't end while the other servers of the service answer; check "
                    "or restart it." } });
    } else {
        logLine(LogLevel::Info, "server_suspended",
                { { "server", suspension.server.text() },
                  { "cause", cause },
                  { "peer", suspension.peer },
                  { "ms", toMilliseconds(suspension.time) },
                  { "lines_left_out", left_ } });
    }
    left_ = 0;
}

} // namespace jacinthroad
