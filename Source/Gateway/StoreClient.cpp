#include "Gateway/StoreClient.h"

#include <string_view>

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
                         GatewayMetrics &metrics)
    : caller_(context, address, ConnectionUse::Kept)
    , metrics_(metrics)
{ }

boost::asio::awaitable<Result<StoreReply>> StoreClient::call(platform::Call call, Duration timeout)
{
    auto reply = co_await caller_.call(std::move(call), {}, timeout);
    if (!reply.has_value()) {
        metrics_.countStoreCall("unanswered");
        co_return tl::make_unexpected(reply.error());
    }
    const platform::StoreStatus status = platform::readStatus(reply->status);
    metrics_.countStoreCall(std::string(statusName(status)));
    co_return StoreReply { .status = status,
                           .body = std::move(reply->body),
                           .sentAt = reply->sentAt };
}

} // namespace jacinthroad
