#include "Quarantine/CrashLog.h"

#include <algorithm>

namespace jacinthroad {

namespace {

constexpr Duration SameCrashWindow = milliseconds(300);
constexpr Duration RecentCrashWindow = std::chrono::seconds(30);
constexpr std::size_t MaximumCrashes = 64;

} // namespace

void CrashLog::noteRequestAtCrash(std::uint32_t server, RequestFingerprint fingerprint, Instant now)
{
    const auto same = std::find_if(crashes_.rbegin(), crashes_.rend(), [&](const Crash &crash) {
        return crash.server == server && now - crash.at < SameCrashWindow;
    });
    if (same != crashes_.rend()) {
        same->fingerprints.push_back(fingerprint);
        return;
    }
    crashes_.push_back({ .server = server, .at = now, .fingerprints = { fingerprint } });
    if (crashes_.size() > MaximumCrashes) {
        crashes_.pop_front();
    }
}

bool CrashLog::hasUnrelatedCrash(RequestFingerprint fingerprint, Instant now) const
{
    return std::any_of(crashes_.begin(), crashes_.end(), [&](const Crash &crash) {
        const auto &present = crash.fingerprints;
        return now - crash.at < RecentCrashWindow
            && std::find(present.begin(), present.end(), fingerprint) == present.end();
    });
}

} // namespace jacinthroad
