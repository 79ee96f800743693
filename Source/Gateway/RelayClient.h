#pragma once

#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Core/Error.h"
#include "Gateway/ControlClient.h"
#include "StoreRelay/RelayMessage.h"

namespace jacinthroad {

/// What another node passed on. The store was known to hold nothing newer at `changes.age` before
/// the response was composed, which was no earlier than `sentAt`.
struct RelayReply
{
    RelayedChanges changes;
    BootInstant sentAt;
};

/// Asks one other node for objects of the store. Used by the control thread only.
class RelayClient
{
public:
    RelayClient(boost::asio::io_context &context, const std::string &address,
                std::shared_ptr<MemoryBudget> memory);

    /// Fails with PlatformUnavailable if there is no usable response. `progress` must outlive the
    /// call.
    [[nodiscard]] boost::asio::awaitable<Result<RelayReply>> query(RelayQuery query,
                                                                   TransferProgress *progress);
    /// `IP:port` of the node.
    [[nodiscard]] const std::string &address() const { return address_; }

private:
    std::string address_;
    ControlClient client_;
};

} // namespace jacinthroad
