#include "Fleet/ConfigurationIdentity.h"

#include <algorithm>

namespace jacinthroad {

ConfigurationDecision decideConfiguration(const std::optional<ConfigurationIdentity> &inForce,
                                          const ConfigurationIdentity &read,
                                          std::span<const std::uint64_t> replaced)
{
    if (!inForce.has_value() || read.version > inForce->version) {
        return ConfigurationDecision::Apply;
    }
    if (read.version < inForce->version) {
        return ConfigurationDecision::KeepNewer;
    }
    if (read.contentHash == inForce->contentHash || read.era < inForce->era) {
        return ConfigurationDecision::Keep;
    }
    if (read.era == inForce->era) {
        return read.revision > inForce->revision ? ConfigurationDecision::ApplyReusedVersion
                                                 : ConfigurationDecision::Keep;
    }
    const bool returns
        = std::find(replaced.begin(), replaced.end(), read.contentHash) != replaced.end();
    return returns ? ConfigurationDecision::KeepNewer : ConfigurationDecision::ApplyReusedVersion;
}

} // namespace jacinthroad
