#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "Core/Time.h"
#include "Placement/ServerPool.h"

namespace jacinthroad {

/// Name of a cause in the log and in the metric of suspensions.
[[nodiscard]] std::string_view suspensionCauseName(SuspensionCause cause);

/// Logs who suspended which backend server on whose evidence: at most one line a server and source
/// in RepeatTime, and MaxLines lines in that time in all. Used by the traffic thread only.
class SuspensionLog
{
public:
    void note(const Suspension &suspension, Instant now);

    static constexpr Duration RepeatTime = std::chrono::seconds(1);
    static constexpr std::size_t MaxLines = 40;

private:
    /// When the suspensions of a server by a source were last logged.
    std::map<std::pair<ServerId, std::string>, Instant> loggedAt_;
    /// Suspensions without a line since the last one.
    std::int64_t left_ = 0;
};

} // namespace jacinthroad
