#include "Retry/SilentServerRule.h"

namespace jacinthroad {

bool mayLeaveSilentServer(const SilenceFacts &facts)
{
    return facts.gone || (!facts.rejectionsSeen && facts.returnPaid);
}

OverlapServer serverToGiveUp(const OverlapFacts &facts)
{
    if (facts.otherAccepted || facts.silentEnded) {
        return OverlapServer::Silent;
    }
    return facts.silentResponded || facts.otherRejected ? OverlapServer::Other
                                                        : OverlapServer::Silent;
}

} // namespace jacinthroad
