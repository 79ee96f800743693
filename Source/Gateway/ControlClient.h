#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/fields.hpp>

#include "Core/Error.h"
#include "Core/Time.h"
#include "Fleet/Freshness.h"
#include "platform/Store.h"

namespace jacinthroad {

/// A whole answer to a control call.
struct CallResponse
{
    unsigned status = 0;
    std::string body;
    /// When the call was sent: what the answer says holds at least as of then.
    BootInstant sentAt;
};

/// Makes small control calls to one address and keeps its idle connections. Belongs to one thread.
class ControlClient
{
public:
    ControlClient(boost::asio::io_context &context, std::string address);
    ControlClient(const ControlClient &) = delete;
    ControlClient &operator=(const ControlClient &) = delete;
    ~ControlClient();

    /// Makes one call with further headers. Fails with PlatformUnavailable where no answer came
    /// within `timeout`; the call may then have been carried out, or be carried out later.
    [[nodiscard]] boost::asio::awaitable<Result<CallResponse>>
    call(platform::Call call, boost::beast::http::fields headers, Duration timeout);

private:
    struct Connection;

    [[nodiscard]] boost::asio::awaitable<Result<CallResponse>>
    performCall(std::shared_ptr<Connection> connection, platform::Call call,
                boost::beast::http::fields headers, Duration timeout);

    boost::asio::io_context &context_;
    std::string address_;
    std::vector<std::shared_ptr<Connection>> idle_;
};

} // namespace jacinthroad
