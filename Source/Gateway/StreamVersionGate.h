#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Core/Time.h"
#include "Fleet/Freshness.h"
#include "StreamVersions/ResumeDecision.h"
#include "StreamVersions/ServedVersions.h"

namespace jacinthroad {

/// What the traffic thread knows of software versions: those that streams may be sent to, and the
/// versions of the streams that this node has sent lately. Passes on the streams whose versions
/// have to be recorded in the store. Does no I/O; the caller passes the time.
class StreamVersionGate
{
public:
    struct Options
    {
        /// How long a stream is remembered after its latest send; longer than any caller resumes a
        /// stream: twice the longest time limit of callers, 15 s.
        Duration retention = std::chrono::seconds(30);
        /// Maximum number of sends; about 100 bytes each. The oldest is forgotten first.
        std::size_t maxSends = 20'000;
        /// Time for which the list of servers may be used without a confirmation, as in
        /// ServedVersions.
        Duration listValidity = ServedVersions::Options().listValidity;
        /// Age of the list from which it counts as outdated. Longer than the time between two
        /// confirmations at a node that is in touch with the store.
        Duration listOutdatedAfter = std::chrono::seconds(4);
    };

    StreamVersionGate()
        : StreamVersionGate(Options {})
    { }
    explicit StreamVersionGate(const Options &options)
        : options_(options)
    { }

    /// Called with streams whose versions have to be recorded.
    std::function<void(std::vector<StreamOrigin>)> record = [](const auto &) {};
    /// Called with a stream, its service and the function that takes the decision later.
    std::function<void(StreamId, const ServiceId &, std::function<void(ResumeDecision)>)> resolve
        = [](StreamId, const ServiceId &, const auto &decided) {
              decided(ResumeUnknown { UnknownOrigin::StoreUnavailable });
          };

    /// Sets the versions that streams may be sent to. If a service gets a second one, all streams
    /// of it that are remembered have to be recorded.
    void setAdmitted(VersionTable admitted, Instant now);
    /// Notes that the list of servers, on which the admitted versions rest, was current then.
    void confirmList(BootInstant moment) { listConfirmedAt_ = moment; }
    /// The versions of a service that streams may be sent to; none before the first are known, and
    /// none once the list of servers is too old: other nodes may have removed a version meanwhile.
    /// The node can stand still between any two of its steps, so that the control thread may not
    /// have withdrawn them.
    [[nodiscard]] const VersionSet &admitted(const ServiceId &service, BootInstant now) const;
    /// True if the list of servers may still name the earlier process of a server that has started
    /// again, so that new connections need a proof of the process.
    [[nodiscard]] bool listOutdated(BootInstant now) const;
    /// True once streams may be sent to a version of any service.
    [[nodiscard]] bool hasAdmitted() const { return !admitted_.empty(); }
    /// True if several versions may serve, so that streams have to be recorded.
    [[nodiscard]] bool recordsNeeded(const ServiceId &service) const;
    /// Remembers a stream that is being sent to a server of this version.
    void noteSent(const StreamOrigin &origin, Instant now);
    /// The version of a stream of this service that the node has sent, or null.
    [[nodiscard]] const SoftwareVersion *known(StreamId stream, const ServiceId &service,
                                               Instant now) const;
    [[nodiscard]] std::size_t size() const { return streams_.size(); }

private:
    using Target = std::pair<ServiceId, SoftwareVersion>;

    struct Stream
    {
        /// Points into `targets_`.
        const Target *target = nullptr;
        Instant sentAt;
    };

    /// Forgets the streams that are too old or too many.
    void forget(Instant now);

    Options options_;
    VersionTable admitted_;
    std::optional<BootInstant> listConfirmedAt_;
    /// All pairs of service and version, which the many streams share.
    std::set<Target> targets_;
    std::unordered_map<StreamId, Stream> streams_;
    /// Sends in the order of their times; a stream that was sent again has several.
    std::deque<std::pair<Instant, StreamId>> sends_;
};

} // namespace jacinthroad
