#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Fleet/WeightsRecord.h"
#include "Gateway/StoreClient.h"
#include "platform/Store.h"

namespace jacinthroad {

/// Reads, once after the start, since when earlier processes have known weights to be desired, and
/// keeps the record of this node in the store. Used by the control thread only.
class WeightsRecordSync
{
public:
    /// Returns what this node knows now.
    using AgesSource = std::function<std::vector<DesiredWeightsAge>()>;
    /// Called with what the records of earlier processes tell.
    using AgesHandler = std::function<void(const std::vector<DesiredWeightsAge> &)>;

    WeightsRecordSync(boost::asio::io_context &context, StoreClient &store, std::string node,
                      AgesSource agesSource, AgesHandler agesHandler);

    /// Reads and writes until the context stops.
    [[nodiscard]] boost::asio::awaitable<void> run();
    /// Applies the weights that the store held when this node first listed them.
    void noteListed(std::vector<DesiredWeights> desired);
    /// Sets whether this node writes a record; a few nodes of a large fleet do.
    void setWriter(bool writer) { writer_ = writer; }

private:
    [[nodiscard]] boost::asio::awaitable<void> keepRecord();
    [[nodiscard]] boost::asio::awaitable<bool> readRecords();
    [[nodiscard]] boost::asio::awaitable<bool> writeRecord(std::vector<DesiredWeightsAge> ages);
    /// Dates the listed weights once both they and the records have been read.
    void dateListed();
    [[nodiscard]] ClockReading readClocks() const;

    boost::asio::io_context &context_;
    StoreClient &store_;
    std::string node_;
    std::string kernelBoot_;
    AgesSource agesSource_;
    AgesHandler agesHandler_;
    WeightsRecordSchedule schedule_;
    bool writer_ = false;
    /// Nothing before they were read.
    std::optional<std::vector<WeightsRecord>> records_;
    std::optional<std::vector<DesiredWeights>> listed_;
    bool dated_ = false;
    /// The revision of this node's object; nothing if it is not known to exist.
    std::optional<std::uint64_t> revision_;
};

} // namespace jacinthroad
