#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Core/Error.h"
#include "Core/Time.h"
#include "Fleet/Freshness.h"
#include "Gateway/GatewayMetrics.h"
#include "platform/Store.h"

namespace jacinthroad {

/// An answer of the platform's store.
struct StoreReply
{
    platform::StoreStatus status = platform::StoreStatus::Faulty;
    std::string body;
    /// When the call was sent: what the answer says holds at least as of then.
    BootInstant sentAt;
};

/// The one client of the platform's store. Belongs to the control thread.
class StoreClient
{
public:
    StoreClient(boost::asio::io_context &context, const std::string &address,
                GatewayMetrics &metrics);
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;
    ~StoreClient();

    /// Makes one call. Fails with PlatformUnavailable where no answer came within `timeout`; a
    /// write may then have been done, or be done later.
    [[nodiscard]] boost::asio::awaitable<Result<StoreReply>> call(platform::Call call,
                                                                  Duration timeout);

private:
    struct Connection;

    [[nodiscard]] boost::asio::awaitable<Result<StoreReply>>
    converse(std::shared_ptr<Connection> connection, platform::Call call, Duration timeout);

    boost::asio::io_context &context_;
    std::string address_;
    GatewayMetrics &metrics_;
    std::vector<std::shared_ptr<Connection>> idle_;
};

} // namespace jacinthroad
