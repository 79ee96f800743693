#include "StreamVersions/ResumeDecision.h"

namespace jacinthroad {

ResumeDecision decideResume(const ResumeEvidence &evidence)
{
    if (evidence.recorded.has_value()) {
        return ResumeAt { *evidence.recorded };
    }
    if (!evidence.tableRead) {
        return ResumeUnknown { UnknownOrigin::StoreUnavailable };
    }
    if (evidence.versions.size() == 1) {
        return ResumeAt { *evidence.versions.begin() };
    }
    return ResumeUnknown { UnknownOrigin::NoRecord };
}

} // namespace jacinthroad
