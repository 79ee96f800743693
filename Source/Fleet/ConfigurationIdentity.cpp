#include "Fleet/ConfigurationIdentity.h"

namespace jacinthroad {

ConfigurationDecision decideConfiguration(const std::optional<ConfigurationIdentity> &inForce,
                                          const ConfigurationIdentity &read)
{
    if (!inForce.has_value() || read.version > inForce->version) {
        return ConfigurationDecision::Apply;
    }
    if (read.version < inForce->version) {
        return ConfigurationDecision::KeepNewer;
    }
    return read.contentHash != inForce->contentHash && read.era > inForce->era
        ? ConfigurationDecision::ApplyReusedVersion
        : ConfigurationDecision::Keep;
}

} // namespace jacinthroad
