#include "Gateway/RelayClient.h"

#include <utility>

namespace jacinthroad {

namespace asio = boost::asio;

namespace {

/// Added to the time for which the other node waits; nodes of a zone respond within milliseconds.
constexpr Duration ResponseTimeout = milliseconds(500);
constexpr unsigned HttpOk = 200;

} // namespace

RelayClient::RelayClient(asio::io_context &context, const std::string &address)
    : address_(address)
    , client_(context, address, ConnectionUse::Kept)
{ }

asio::awaitable<Result<RelayReply>> RelayClient::query(RelayQuery query)
{
    platform::Call call { .method = boost::beast::http::verb::get,
                          .target = relayTarget(query),
                          .body = {} };
    const auto response = co_await client_.call(std::move(call), {}, query.wait + ResponseTimeout);
    if (!response.has_value()) {
        co_return tl::make_unexpected(response.error());
    }
    if (response->status != HttpOk) {
        co_return makeError(ErrorKind::PlatformUnavailable,
                            "the node has no objects to pass on: status "
                                + std::to_string(response->status));
    }
    auto changes = decodeRelayedChanges(response->body, platform::specForm(query.kind));
    if (!changes.has_value()) {
        co_return tl::make_unexpected(changes.error());
    }
    co_return RelayReply { .changes = std::move(*changes), .sentAt = response->sentAt };
}

} // namespace jacinthroad
