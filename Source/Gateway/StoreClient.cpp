#include "Gateway/StoreClient.h"

#include <algorithm>
#include <string_view>

#include "Core/Log.h"

namespace jacinthroad {

namespace {

std::string_view statusName(platform::StoreStatus status)
{
    switch (status) {
    case platform::StoreStatus::Done:
        return "done";
    case platform::StoreStatus::Missing:
        return "missing";
    case platform::StoreStatus::Conflict:
        return "conflict";
    case platform::StoreStatus::HistoryGone:
        return "history_gone";
    case platform::StoreStatus::Rejected:
        return "turned_away";
    case platform::StoreStatus::InvalidCall:
        break;
    }
    return "faulty";
}

} // namespace

StoreClient::StoreClient(boost::asio::io_context &context, const std::string &address,
                         GatewayMetrics &metrics, std::shared_ptr<MemoryBudget> memory)
    : memory_(std::move(memory))
    , caller_(context, address, ConnectionUse::Kept, memory_, BodyKind::Control,
              MaxObjectResponseBytes)
    , metrics_(metrics)
{ }

boost::asio::awaitable<Result<StoreReply>> StoreClient::call(platform::Call call, Duration timeout)
{
    return this->call(std::move(call), TransferLimits { .progress = timeout, .whole = timeout });
}

boost::asio::awaitable<Result<StoreReply>>
StoreClient::call(platform::Call call, TransferLimits limits, TransferProgress *progress)
{
    auto reply = co_await caller_.call(std::move(call), {}, limits, progress);
    if (!reply.has_value()) {
        metrics_.countStoreCall("unanswered");
        co_return tl::make_unexpected(reply.error());
    }
    const std::optional<std::uint64_t> era = platform::readEra(reply->headers);
    if (era.has_value() && era_.has_value() && *era < *era_) {
        metrics_.countStoreCall("outdated");
        co_return makeError(ErrorKind::PlatformUnavailable,
                            "the store was restored after it sent this response");
    }
    if (era.has_value()) {
        noteEra(*era);
    }
    const platform::StoreStatus status = platform::readStatus(reply->status);
    metrics_.countStoreCall(std::string(statusName(status)));
    co_return StoreReply { .status = status,
                           .body = std::move(reply->body),
                           .era = era.has_value() ? era : era_,
                           .sentAt = reply->sentAt,
                           .memory = reply->memory };
}

bool StoreClient::adoptEra(std::optional<std::uint64_t> era)
{
    if (era.value_or(0) < era_.value_or(0)) {
        return false;
    }
    if (era.has_value()) {
        noteEra(*era);
    }
    return true;
}

void StoreClient::noteEra(std::uint64_t era)
{
    if (era_.has_value() && era > *era_) {
        logLine(LogLevel::Warning, "store_restored",
                { { "object", "store" },
                  { "era", static_cast<std::int64_t>(era) },
                  { "era_before", static_cast<std::int64_t>(*era_) },
                  { "remedy", "Check that the objects written last are still in the store." } });
    }
    era_ = std::max(era_.value_or(era), era);
}

} // namespace jacinthroad
