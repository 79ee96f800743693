#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Core/Ids.h"
#include "Core/MemoryBudget.h"
#include "Placement/ServerPool.h"

namespace jacinthroad {

/// Reads the cache events of the servers and cache stores whose owner node is this node. Used by
/// the control thread only.
class CacheEventReader
{
public:
    /// Called with the cache events of one server, and with the memory of the text that they were
    /// read from, which is reserved until they have been applied.
    using EventHandler = std::function<void(const ServerId &, const CacheEvents &,
                                            std::shared_ptr<const MemoryReservation>)>;

    CacheEventReader(boost::asio::io_context &context, std::shared_ptr<MemoryBudget> memory,
                     EventHandler eventHandler);

    /// Sets the `IP:port` of all servers and cache stores to read; stops reading any others.
    void assign(const std::map<ServerId, std::string> &addresses);

private:
    struct Source
    {
        std::string address;
        bool active = true;
    };

    [[nodiscard]] boost::asio::awaitable<void> read(ServerId id, std::shared_ptr<Source> source);

    boost::asio::io_context &context_;
    std::shared_ptr<MemoryBudget> memory_;
    EventHandler eventHandler_;
    std::map<ServerId, std::shared_ptr<Source>> sources_;
};

} // namespace jacinthroad
