#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Core/Error.h"
#include "Core/Time.h"
#include "Gateway/ControlClient.h"
#include "Gateway/GatewayMetrics.h"
#include "platform/Store.h"

namespace jacinthroad {

/// A response of the platform's store.
struct StoreReply
{
    platform::StoreStatus status = platform::StoreStatus::InvalidCall;
    std::string body;
    /// The era of the store that sent the response, or the last known one if the response names
    /// none. Revisions of different eras cannot be compared.
    std::optional<std::uint64_t> era;
    /// When the request was sent. The response reflects the store at this moment or later.
    BootInstant sentAt;
    /// Memory of the body.
    std::shared_ptr<const MemoryReservation> memory {};
};

/// The node's only client of the platform's store. Used by the control thread only.
class StoreClient
{
public:
    StoreClient(boost::asio::io_context &context, const std::string &address,
                GatewayMetrics &metrics, std::shared_ptr<MemoryBudget> memory);

    /// Makes one call. Fails with PlatformUnavailable if the response exceeds the limits, or the
    /// store sent it before it was restored; a write may then have been applied, or may still be
    /// applied later. `progress` may be null and must outlive the call.
    [[nodiscard]] boost::asio::awaitable<Result<StoreReply>>
    call(platform::Call call, TransferLimits limits, TransferProgress *progress = nullptr);
    /// The same for a small response, which has to be complete within `timeout`.
    [[nodiscard]] boost::asio::awaitable<Result<StoreReply>> call(platform::Call call,
                                                                  Duration timeout);
    /// Adopts the era that objects of another node belong to; returns false if it is older than
    /// that of the newest response.
    [[nodiscard]] bool adoptEra(std::optional<std::uint64_t> era);
    /// The memory for what the node receives.
    [[nodiscard]] const std::shared_ptr<MemoryBudget> &memory() const { return memory_; }
    /// The newest era that any response has named; nothing if none has.
    [[nodiscard]] std::optional<std::uint64_t> era() const { return era_; }

private:
    void noteEra(std::uint64_t era);

    std::shared_ptr<MemoryBudget> memory_;
    ControlClient caller_;
    GatewayMetrics &metrics_;
    std::optional<std::uint64_t> era_;
};

} // namespace jacinthroad
