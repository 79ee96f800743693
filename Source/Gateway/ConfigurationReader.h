#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Fleet/ConfigurationIdentity.h"
#include "Fleet/Freshness.h"
#include "Fleet/RouteTable.h"
#include "Gateway/ConfigurationTiming.h"
#include "platform/ConfigurationDecoder.h"

namespace jacinthroad {

/// Decodes the configuration in slices between which the thread sleeps, so that the traffic thread
/// gets the processor core that both may share. A table that arrives meanwhile is taken up at the
/// next slice. Used by the control thread only.
class ConfigurationReader
{
public:
    struct Handlers
    {
        /// Called with each table once it is decoded; false if it can't be.
        std::function<void(bool readable)> onReadable;
        /// Called with each configuration after onReadable. Whichever thread gives up the last
        /// reference to a table, it is freed on this one.
        std::function<void(const ConfigurationIdentity &, std::shared_ptr<const RouteTable>,
                           const ConfigurationTiming &)>
            onDecoded;
        /// Called with a moment at which the last table that was passed on was current, or the one
        /// before it if it can't be decoded. The flag is true if the store names its era.
        std::function<void(BootInstant, bool mayBeRestored)> onConfirmed;
    };

    ConfigurationReader(boost::asio::io_context &context, Handlers handlers);
    ConfigurationReader(const ConfigurationReader &) = delete;
    ConfigurationReader &operator=(const ConfigurationReader &) = delete;

    ~ConfigurationReader();

    /// Takes up the parts of a configuration that was read in this era.
    void apply(const platform::ConfigurationTable &table, std::optional<std::uint64_t> era);
    /// Passes on that the last table was current at `moment`, once it was passed on itself. That is
    /// forgotten if a table of another era comes before.
    void confirm(BootInstant moment, std::optional<std::uint64_t> era);
    /// Lets decoded configurations be passed on; none is before.
    void release();

private:
    /// Decodes until there is nothing more to decode.
    [[nodiscard]] boost::asio::awaitable<void> decode();
    /// Passes on the decoded table and what was confirmed of it.
    void passOn();

    boost::asio::io_context &context_;
    Handlers handlers_;
    platform::ConfigurationDecoder decoder_;
    /// The era of the table in the decoder.
    std::optional<std::uint64_t> era_;
    std::optional<BootInstant> heldMoment_;
    /// Where tables are freed; null once this object is gone, after the threads have ended.
    std::shared_ptr<boost::asio::io_context *> freeingContext_;
    /// Processor time used for the table in the decoder, and its size.
    Duration readTime_ {};
    std::size_t bytes_ = 0;
    bool decoding_ = false;
    /// The table in the decoder was not passed on.
    bool pending_ = false;
    /// A table that was newer than the one in force was replaced before it was passed on.
    bool overtaken_ = false;
    bool released_ = false;
};

} // namespace jacinthroad
