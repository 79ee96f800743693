#include "Routing/DispatchRecord.h"

namespace jacinthroad {

std::string_view notRunName(NotRun verdict)
{
    switch (verdict) {
    case NotRun::True:
        return "true";
    case NotRun::False:
        return "false";
    case NotRun::Unknown:
        break;
    }
    return "unknown";
}

void DispatchRecord::noteMayHaveRun()
{
    --open_;
    mayHaveRun_ = true;
}

void DispatchRecord::noteRan()
{
    --open_;
    ran_ = true;
}

NotRun DispatchRecord::verdict() const
{
    if (ran_) {
        return NotRun::False;
    }
    return open_ > 0 || mayHaveRun_ ? NotRun::Unknown : NotRun::True;
}

} // namespace jacinthroad
