#include "Gateway/RelayFollower.h"

#include <algorithm>

#include "Core/Log.h"

namespace jacinthroad {

namespace asio = boost::asio;

namespace {

/// Duration from which a transfer is logged.
constexpr Duration LoggedTransfer = milliseconds(500);

} // namespace

RelayFollower::RelayFollower(asio::io_context &context, std::shared_ptr<MemoryBudget> memory,
                             Options options)
    : context_(context)
    , memory_(std::move(memory))
    , options_(std::move(options))
    , collector_("transfer of '" + options_.name + "'", memory_)
{ }

asio::awaitable<std::optional<RelayFollower::Reply>> RelayFollower::ask(RelayNode reader,
                                                                        Needs needs)
{
    if (client_ == nullptr || client_->address() != reader.address) {
        client_ = std::make_unique<RelayClient>(context_, reader.address, memory_);
        transferBegan_.reset();
        lostAt_.reset();
        collector_.reset();
    }
    TransferProgress progress;
    progress.onSizeKnown = [this] {
        if (!transferBegan_.has_value()) {
            transferBegan_ = std::chrono::steady_clock::now();
            transferBytes_ = 0;
            transferPages_ = 0;
        }
    };
    auto reply = co_await client_->query({ .kind = options_.kind,
                                           .position = collector_.position(),
                                           .digest = needs.digest,
                                           .maxAge = needs.maxAge,
                                           .onlyHere = needs.onlyHere,
                                           .wait = options_.wait },
                                         &progress);
    if (!reply.has_value()) {
        logLost(reader, progress, reply.error().message);
        noteLost();
        co_return std::nullopt;
    }
    RelayedChanges &changes = reply->changes;
    Reply result { .content = changes.content,
                   .position = changes.position,
                   .revision = changes.revision,
                   .era = changes.era,
                   .age = changes.age,
                   .digest = changes.digest,
                   .sentAt = reply->sentAt };
    const auto complete = collector_.take(std::move(changes), std::chrono::steady_clock::now());
    if (!complete.has_value()) {
        logLine(LogLevel::Warning, "transfer_refused",
                { { "object", options_.name },
                  { "node", reader.name },
                  { "reason", complete.error().message },
                  { "remedy", complete.error().remedyText() } });
        noteLost();
        co_return std::nullopt;
    }
    result.complete = *complete;
    noteArrival(reader, progress);
    co_return result;
}

void RelayFollower::noteLost()
{
    mayGoOn_ = collector_.underWay() && lostAt_ != collector_.position();
    lostAt_ = collector_.position();
    if (!collector_.underWay()) {
        transferBegan_.reset();
    }
}

void RelayFollower::logLost(const RelayNode &reader, const TransferProgress &progress,
                            std::string_view reason) const
{
    // A complete response without objects tells why there are none.
    const bool cut = progress.bytes < progress.ofBytes;
    const std::uint64_t before = transferBegan_.has_value() ? transferBytes_ : 0;
    const std::uint64_t bytes = before + (cut ? progress.bytes : 0);
    const std::uint64_t bytesLeft = std::max(cut ? progress.ofBytes : 0, collector_.bytesLeft());
    logLine(LogLevel::Info, "relay_lost",
            { { "objects", options_.name },
              { "node", reader.name },
              { "reason", reason },
              { "bytes", static_cast<std::int64_t>(bytes) },
              { "of_bytes", static_cast<std::int64_t>(before + bytesLeft) },
              { "pages", static_cast<std::int64_t>(transferPages_) } });
}

void RelayFollower::noteArrival(const RelayNode &reader, const TransferProgress &progress)
{
    transferBytes_ += progress.bytes;
    ++transferPages_;
    if (collector_.underWay() || !transferBegan_.has_value()) {
        return;
    }
    const Duration taken = std::chrono::steady_clock::now() - *transferBegan_;
    transferBegan_.reset();
    if (taken > LoggedTransfer) {
        logLine(LogLevel::Info, "relay_transfer",
                { { "objects", options_.name },
                  { "node", reader.name },
                  { "bytes", static_cast<std::int64_t>(transferBytes_) },
                  { "pages", static_cast<std::int64_t>(transferPages_) },
                  { "ms", toMilliseconds(taken) } });
    }
}

} // namespace jacinthroad
