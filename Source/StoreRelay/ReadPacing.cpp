#include "StoreRelay/ReadPacing.h"

#include <algorithm>

namespace jacinthroad {

namespace {

constexpr Duration ConfigurationWait = milliseconds(1000);
constexpr Duration UnprovenWait = milliseconds(250);
/// Wait of a node that passes the configuration on: a change is read at once, and the proof of an
/// unchanged one is at most twice as old.
constexpr Duration PassedOnWait = milliseconds(500);
/// Limits the calls of a node whose settings allow hardly any age.
constexpr Duration ShortestWait = milliseconds(100);
/// Share of the age of a stale configuration that waits may use. The rest is for the responses.
constexpr double WaitShare = 0.85;
/// Waits between the sending of a read and the end of the next one, and of nodes that get the
/// configuration passed on: their query is sent up to one wait before the proof arrives.
constexpr int WaitsOfAProof = 2;
constexpr int WaitsOfAPassedOnProof = 3;
constexpr Duration ServersWait = milliseconds(1500);
/// A leaving server has to be known within two seconds, of which a store that does not respond for
/// a second may take one.
constexpr Duration ServersPause = milliseconds(600);
/// Wait and pause of a node that passes the list of servers on.
constexpr Duration ShortWait = milliseconds(10);
constexpr Duration PassingOnPause = milliseconds(1000);

} // namespace

ReadPacing configurationPacing(const ReadSituation &situation)
{
    if (!situation.proven) {
        return { .wait = UnprovenWait, .pause = {} };
    }
    const Duration longest = situation.passesOn ? PassedOnWait : ConfigurationWait;
    const int waits = situation.passesOn ? WaitsOfAPassedOnProof : WaitsOfAProof;
    const Duration usable
        = fromMilliseconds(toMilliseconds(situation.staleAfter) * WaitShare / waits);
    return { .wait = std::clamp(usable, ShortestWait, longest), .pause = {} };
}

ReadPacing serversPacing(const ReadSituation &situation)
{
    if (situation.passesOn) {
        return { .wait = ShortWait, .pause = PassingOnPause };
    }
    return { .wait = ServersWait, .pause = ServersPause };
}

Duration relayAgeLimit(const ReadPacing &pacing)
{
    // The sending of one read, its wait and pause, and the wait of the next read.
    return 2 * pacing.wait + pacing.pause;
}

} // namespace jacinthroad
