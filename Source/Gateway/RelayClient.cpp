#include "Gateway/RelayClient.h"

#include <utility>

#include "Fleet/OddEntries.h"
#include "StoreRelay/TransferLimits.h"

namespace jacinthroad {

namespace asio = boost::asio;

namespace {

constexpr unsigned HttpOk = 200;

} // namespace

RelayClient::RelayClient(asio::io_context &context, const std::string &address,
                         std::shared_ptr<MemoryBudget> memory)
    : address_(address)
    , client_(context, address, ConnectionUse::Kept, std::move(memory), BodyKind::Control,
              MaxObjectResponseBytes)
{ }

asio::awaitable<Result<RelayReply>> RelayClient::query(RelayQuery query, TransferProgress *progress)
{
    platform::Call call { .method = boost::beast::http::verb::get,
                          .target = relayTarget(query),
                          .body = {} };
    const auto response
        = co_await client_.call(std::move(call), {}, relayLimits(query.wait), progress);
    if (!response.has_value()) {
        co_return tl::make_unexpected(response.error());
    }
    if (response->status != HttpOk) {
        co_return makeError(ErrorKind::PlatformUnavailable,
                            "the node has no objects to pass on: "
                                + (response->body.empty()
                                       ? "status " + std::to_string(response->status)
                                       : loggableText(response->body)));
    }
    auto changes = decodeRelayedChanges(response->body);
    if (!changes.has_value()) {
        co_return tl::make_unexpected(changes.error());
    }
    co_return RelayReply { .changes = std::move(*changes), .sentAt = response->sentAt };
}

} // namespace jacinthroad
