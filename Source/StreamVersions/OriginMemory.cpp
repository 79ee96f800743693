#include "StreamVersions/OriginMemory.h"

namespace jacinthroad {

void OriginMemory::add(const StreamOrigin &origin)
{
    if (!origins_.insert_or_assign(origin.stream, origin).second) {
        return;
    }
    order_.push_back(origin.stream);
    if (order_.size() > maximum_) {
        origins_.erase(order_.front());
        order_.pop_front();
    }
}

std::optional<SoftwareVersion> OriginMemory::find(StreamId stream, const ServiceId &service) const
{
    const auto found = origins_.find(stream);
    if (found == origins_.end() || found->second.service != service) {
        return std::nullopt;
    }
    return found->second.version;
}

} // namespace jacinthroad
