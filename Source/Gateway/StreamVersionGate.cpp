#include "Gateway/StreamVersionGate.h"

namespace jacinthroad {

void StreamVersionGate::setAdmitted(VersionTable admitted, Instant now)
{
    std::set<ServiceId> unrecorded;
    for (const auto &[service, versions] : admitted) {
        if (versions.size() > 1 && !recordsNeeded(service)) {
            unrecorded.insert(service);
        }
    }
    admitted_ = std::move(admitted);
    if (unrecorded.empty()) {
        return;
    }
    forget(now);
    std::vector<StreamOrigin> origins;
    for (const auto &[stream, sent] : streams_) {
        if (unrecorded.contains(sent.target->first)) {
            origins.push_back({ .stream = stream,
                                .service = sent.target->first,
                                .version = sent.target->second });
        }
    }
    if (!origins.empty()) {
        record(std::move(origins));
    }
}

const VersionSet &StreamVersionGate::admitted(const ServiceId &service, BootInstant now) const
{
    static const VersionSet None;
    const auto found = admitted_.find(service);
    const bool listValid
        = listConfirmedAt_.has_value() && now - *listConfirmedAt_ < options_.listValidity;
    return found == admitted_.end() || !listValid ? None : found->second;
}

bool StreamVersionGate::listOutdated(BootInstant now) const
{
    return !listConfirmedAt_.has_value() || now - *listConfirmedAt_ >= options_.listOutdatedAfter;
}

bool StreamVersionGate::recordsNeeded(const ServiceId &service) const
{
    const auto found = admitted_.find(service);
    return found != admitted_.end() && found->second.size() > 1;
}

void StreamVersionGate::noteSent(const StreamOrigin &origin, Instant now)
{
    const Target &target = *targets_.emplace(origin.service, origin.version).first;
    streams_[origin.stream] = { .target = &target, .sentAt = now };
    sends_.emplace_back(now, origin.stream);
    forget(now);
    if (recordsNeeded(origin.service)) {
        record({ origin });
    }
}

const SoftwareVersion *StreamVersionGate::known(StreamId stream, const ServiceId &service,
                                                Instant now) const
{
    const auto found = streams_.find(stream);
    const bool usable = found != streams_.end() && found->second.target->first == service
        && now - found->second.sentAt < options_.retention;
    return usable ? &found->second.target->second : nullptr;
}

void StreamVersionGate::forget(Instant now)
{
    while (!sends_.empty()
           && (now - sends_.front().first >= options_.retention
               || sends_.size() > options_.maxSends)) {
        const auto found = streams_.find(sends_.front().second);
        if (found != streams_.end() && found->second.sentAt <= sends_.front().first) {
            streams_.erase(found);
        }
        sends_.pop_front();
    }
}

} // namespace jacinthroad
