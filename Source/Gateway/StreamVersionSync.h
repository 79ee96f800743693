#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Fleet/ListedServer.h"
#include "Gateway/StoreClient.h"
#include "Gateway/WakeUp.h"
#include "StreamVersions/OriginLog.h"
#include "StreamVersions/OriginMemory.h"
#include "StreamVersions/ResumeDecision.h"
#include "StreamVersions/ServedVersions.h"

namespace jacinthroad {

/// Keeps the version table and this node's stream records in the platform's store, and decides at
/// which version a stream goes on. Used by the control thread only.
class StreamVersionSync
{
public:
    struct Options
    {
        /// Name of the object with this node's records.
        std::string node;
    };
    /// Called with the versions that streams may be sent to, whenever they change. A service that
    /// is missing has none.
    using AdmittedHandler = std::function<void(const VersionTable &)>;
    /// Called once with the decision, possibly before resolve() returns.
    using ResumeHandler = std::function<void(ResumeDecision)>;

    StreamVersionSync(boost::asio::io_context &context, StoreClient &client, Options options,
                      AdmittedHandler admittedHandler);

    /// Reads and writes until the context stops.
    [[nodiscard]] boost::asio::awaitable<void> run();

    /// Sets the services whose streams can be resumed.
    void applyServices(const std::set<ServiceId> &services);
    /// Applies the platform's complete list of servers.
    /// Calls the handler for versions that may no longer be used before it returns.
    void applyServers(std::span<const ListedServer> servers);
    /// Notes that the list of servers was current at this time. Without confirmations, no version
    /// is admitted after a while.
    void confirmServers(BootInstant moment);
    /// Sets whether nodes have had the time to write again what a restored store had lost.
    void setStoreSettled(bool settled) { storeSettled_ = settled; }
    /// Sets the number of nodes, among which the writes are divided.
    void setNodeCount(std::size_t count);
    /// Adds streams to this node's records, which are written soon.
    void record(std::vector<StreamOrigin> origins);
    /// Reads the store and decides at which version a stream of `service` goes on.
    void resolve(StreamId stream, const ServiceId &service, ResumeHandler handler);

private:
    struct Resume
    {
        StreamId stream = 0;
        ServiceId service;
        ResumeHandler handler;
    };
    /// What a response says of the table.
    struct TableReply
    {
        /// The response shows the object as it is in the store.
        bool applied = false;
        /// Nothing if the object cannot be read.
        std::optional<KeptVersions> content;
    };
    /// Versions that the records of other nodes name, by stream and service.
    using FoundOrigins = std::map<std::pair<StreamId, ServiceId>, VersionSet>;

    [[nodiscard]] boost::asio::awaitable<void> keepTable();
    [[nodiscard]] boost::asio::awaitable<void> readTable();
    [[nodiscard]] boost::asio::awaitable<void> writeTable(WriteVersionTable call);
    /// Applies the object in a response.
    [[nodiscard]] TableReply applyTable(std::string_view body, Instant startedAt);
    /// Applies a response to a read.
    [[nodiscard]] TableReply applyTableRead(const Result<StoreReply> &reply, Instant startedAt);

    [[nodiscard]] boost::asio::awaitable<void> keepRecords();
    [[nodiscard]] boost::asio::awaitable<void> readRecords();
    [[nodiscard]] boost::asio::awaitable<void> writeRecords();
    void logOmittedRecords(Instant now);
    /// Logs when writes of records begin to fail, and when one succeeds again.
    void setWritable(bool writable, std::string_view reason);

    [[nodiscard]] boost::asio::awaitable<void> answerResumes();
    /// Decides about the resumes in `answering_`.
    [[nodiscard]] boost::asio::awaitable<void> answer();
    /// Reads the records of all nodes for the resumes in `answering_`; returns false if some could
    /// not be read.
    [[nodiscard]] boost::asio::awaitable<bool> findOrigins(FoundOrigins &found);
    /// Decides about the last resume in `answering_` and removes it.
    void answerLast(const ResumeEvidence &evidence);
    [[nodiscard]] ResumeEvidence evidence(const Resume &resume,
                                          const std::optional<KeptVersions> &table) const;

    /// Notes if the store came back from an earlier copy.
    void noteEra();
    /// Passes the admitted versions on if they have changed.
    void updateAdmitted();
    void logAdmitted(const VersionTable &admitted) const;

    boost::asio::io_context &context_;
    StoreClient &client_;
    Options options_;
    AdmittedHandler admittedHandler_;
    ServedVersions served_;
    VersionTable admitted_;
    std::optional<std::uint64_t> era_;
    bool storeSettled_ = true;
    /// The revision of the last table that could not be read.
    std::uint64_t unreadableRevision_ = 0;
    /// The spec of the table as it was last read or written; null if there is none to be kept.
    Json::Value storedTable_;
    WakeUp tableWakeUp_;

    OriginLog log_;
    /// The revision of this node's records; nothing if their object doesn't exist.
    std::optional<std::uint64_t> recordsRevision_;
    /// False if the object has to be read before the next write.
    bool recordsKnown_ = false;
    bool writable_ = true;
    std::uint64_t loggedOmissions_ = 0;
    std::optional<Instant> omissionsLoggedAt_;
    WakeUp recordsWakeUp_;

    OriginMemory memory_;
    std::vector<Resume> waiting_;
    /// The resumes for which the store is being read.
    std::vector<Resume> answering_;
    WakeUp resumesWakeUp_;
};

} // namespace jacinthroad
