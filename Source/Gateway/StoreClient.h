#pragma once

#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Core/Error.h"
#include "Core/Time.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/HttpCaller.h"
#include "platform/Store.h"

namespace jacinthroad {

/// An answer of the platform's store.
struct StoreReply
{
    platform::StoreStatus status = platform::StoreStatus::InvalidCall;
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

    /// Makes one call. Fails with PlatformUnavailable where no answer came within `timeout`; a
    /// write may then have been done, or be done later.
    [[nodiscard]] boost::asio::awaitable<Result<StoreReply>> call(platform::Call call,
                                                                  Duration timeout);

private:
    HttpCaller caller_;
    GatewayMetrics &metrics_;
};

} // namespace jacinthroad
