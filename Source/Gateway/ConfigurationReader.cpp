#include "Gateway/ConfigurationReader.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "Core/Log.h"
#include "Gateway/ConfigurationSlices.h"
#include "Gateway/Pause.h"
#include "Gateway/RestartingTask.h"
#include "Gateway/TrafficDelay.h"

namespace jacinthroad {

namespace asio = boost::asio;

ConfigurationReader::ConfigurationReader(asio::io_context &context, Handlers handlers)
    : context_(context)
    , handlers_(std::move(handlers))
    , freeingContext_(std::make_shared<asio::io_context *>(&context))
{ }

ConfigurationReader::~ConfigurationReader()
{
    *freeingContext_ = nullptr;
}

void ConfigurationReader::apply(const platform::ConfigurationTable &table,
                                std::optional<std::uint64_t> era)
{
    if (era != era_) {
        heldMoment_.reset();
        era_ = era;
    }
    overtaken_ = overtaken_ || pending_;
    decoder_.setTable(table);
    readTime_ = {};
    bytes_ = 0;
    for (const auto &[name, part] : table) {
        bytes_ += part.text.size();
    }
    pending_ = true;
    if (!decoding_) {
        decoding_ = true;
        asio::co_spawn(context_,
                       runRestarting(context_, "configuration", [this] { return decode(); }),
                       asio::detached);
    }
}

void ConfigurationReader::confirm(BootInstant moment, std::optional<std::uint64_t> era)
{
    if (!pending_ && !overtaken_) {
        handlers_.onConfirmed(moment, era.has_value());
    } else if (pending_ && era == era_) {
        heldMoment_ = std::max(heldMoment_.value_or(moment), moment);
    }
}

void ConfigurationReader::release()
{
    released_ = true;
    if (pending_ && !decoding_) {
        passOn();
    }
}

asio::awaitable<void> ConfigurationReader::decode()
{
    for (bool sliced = false;;) {
        const Duration before = threadProcessorTime();
        const bool done = decoder_.decodeSome(DecodedSliceBytes);
        readTime_ += threadProcessorTime() - before;
        if (done && !sliced) {
            break;
        }
        // The table is built after a pause of its own.
        sliced = !done;
        co_await pauseFor(context_, SlicePause);
    }
    if (released_) {
        passOn();
    }
    decoding_ = false;
}

void ConfigurationReader::passOn()
{
    if (decoder_.hasConfiguration()) {
        auto read = decoder_.result();
        handlers_.onReadable(read.has_value());
        if (read.has_value()) {
            overtaken_ = false;
            const ConfigurationIdentity identity { .version = read->configuration.version,
                                                   .contentHash = read->contentHash,
                                                   .era = era_,
                                                   .revision = read->revision };
            const auto freeHere = [context = freeingContext_](const RouteTable *routes) {
                std::unique_ptr<const RouteTable> owned(routes);
                if (*context != nullptr) {
                    asio::post(**context, [owned = std::move(owned)] {});
                }
            };
            handlers_.onDecoded(identity,
                                std::shared_ptr<const RouteTable>(
                                    new RouteTable(std::move(read->configuration)), freeHere),
                                { .postedAt = std::chrono::steady_clock::now(),
                                  .readTime = readTime_,
                                  .bytes = bytes_ });
        } else {
            logLine(LogLevel::Error, "configuration_unreadable",
                    { { "reason", read.error().message },
                      { "remedy", "Write a complete configuration; the one in force stays." } });
        }
    }
    pending_ = false;
    if (overtaken_) {
        // What is in force isn't the newest that could be read.
        heldMoment_.reset();
    }
    if (heldMoment_.has_value()) {
        handlers_.onConfirmed(*std::exchange(heldMoment_, std::nullopt), era_.has_value());
    }
}

} // namespace jacinthroad
