#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/fields.hpp>

#include "Core/Error.h"
#include "Core/MemoryBudget.h"
#include "Core/Time.h"
#include "Fleet/Freshness.h"
#include "StoreRelay/TransferLimits.h"
#include "platform/Store.h"

namespace jacinthroad {

/// A complete response to a control call.
struct CallResponse
{
    unsigned status = 0;
    boost::beast::http::fields headers;
    std::string body;
    /// When the call was sent; the response is at least as recent as this.
    BootInstant sentAt;
    /// Memory of the body.
    std::shared_ptr<const MemoryReservation> memory {};
};

/// How a ControlClient uses its connections.
enum class ConnectionUse : std::uint8_t {
    /// Connections carry many calls. Responses to control calls have no id, so the other side must
    /// never respond twice, or its responses must tell by their content what they belong to.
    Kept,
    /// Each call has a connection of its own, which identifies its response.
    OnePerCall,
};

/// Maximum size in bytes of a response of the store or of another node. A page of a list is about
/// one megabyte and never reaches two.
constexpr std::uint64_t MaxObjectResponseBytes = 8 * 1024 * 1024;
/// The same of a backend server's response to an order, its report or a batch of its cache events.
/// Many servers may be faulty at a time.
constexpr std::uint64_t MaxServerResponseBytes = 512 * 1024;

/// HTTP client for control calls to one address. Used by one thread only.
class ControlClient
{
public:
    /// A longer response than `maxResponseBytes` is given up, and so is one for which `memory` has
    /// no room.
    ControlClient(boost::asio::io_context &context, std::string address, ConnectionUse use,
                  std::shared_ptr<MemoryBudget> memory, BodyKind kind,
                  std::uint64_t maxResponseBytes);
    ControlClient(const ControlClient &) = delete;
    ControlClient &operator=(const ControlClient &) = delete;
    ~ControlClient();

    /// Makes one call with additional headers. Fails with PlatformUnavailable if the response
    /// exceeds the limits; the server may then have processed the call or process it later.
    /// `progress` may be null and must outlive the call.
    [[nodiscard]] boost::asio::awaitable<Result<CallResponse>>
    call(platform::Call call, boost::beast::http::fields headers, TransferLimits limits,
         TransferProgress *progress = nullptr);
    /// The same for a small response, which has to be complete within `timeout`.
    [[nodiscard]] boost::asio::awaitable<Result<CallResponse>>
    call(platform::Call call, boost::beast::http::fields headers, Duration timeout);

private:
    struct Connection;

    [[nodiscard]] boost::asio::awaitable<Result<CallResponse>>
    performCall(std::shared_ptr<Connection> connection, platform::Call call,
                boost::beast::http::fields headers, TransferLimits limits,
                TransferProgress *progress);

    boost::asio::io_context &context_;
    std::string address_;
    ConnectionUse use_;
    std::shared_ptr<MemoryBudget> memory_;
    BodyKind kind_;
    std::uint64_t maxResponseBytes_;
    std::vector<std::shared_ptr<Connection>> idle_;
};

} // namespace jacinthroad
