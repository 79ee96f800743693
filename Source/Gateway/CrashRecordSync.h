#pragma once

#include <functional>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Gateway/StoreClient.h"
#include "Quarantine/CrashRecordKeeper.h"

namespace jacinthroad {

/// Keeps the crash records in an object of the platform's store, as CrashRecordKeeper decides. Used
/// by the control thread only.
class CrashRecordSync
{
public:
    /// Called with the records that were read from the store.
    using MergeHandler = std::function<void(std::vector<CrashRecord>)>;
    /// Called once, after the first read has been attempted and its records have been passed on.
    using AttemptHandler = std::function<void()>;

    CrashRecordSync(boost::asio::io_context &context, StoreClient &client,
                    const CrashRecordKeeperOptions &options, MergeHandler mergeHandler,
                    AttemptHandler attemptHandler);

    /// Reads and writes until the context stops.
    [[nodiscard]] boost::asio::awaitable<void> run();

    /// Sets the records that this node has to keep.
    void setLocal(std::vector<CrashRecord> records);
    /// Sets whether other nodes exist from which nothing was heard recently.
    void setPeersMissing(bool missing) { keeper_.setPeersMissing(missing); }
    /// Notes that the store responds again.
    void noteStoreRegained();
    /// True once the first read has been attempted.
    [[nodiscard]] bool attempted() const { return attempted_; }

private:
    [[nodiscard]] boost::asio::awaitable<void> synchronise();
    [[nodiscard]] boost::asio::awaitable<void> read(ReadCrashRecords call);
    [[nodiscard]] boost::asio::awaitable<void> write(WriteCrashRecords call);
    /// Passes on the object in a response of the store; returns false if there is none.
    [[nodiscard]] bool applyObject(const ReadCrashRecords &call, std::string_view body);
    void noteAttempted();
    /// Logs when writes begin to fail, and when one succeeds again.
    void setWritable(bool writable, std::string_view reason);

    boost::asio::io_context &context_;
    StoreClient &client_;
    CrashRecordKeeper keeper_;
    /// The spec of the object as it was last read or written; null if there is none to be kept.
    Json::Value stored_;
    MergeHandler mergeHandler_;
    AttemptHandler attemptHandler_;
    bool attempted_ = false;
    bool writable_ = true;
};

} // namespace jacinthroad
