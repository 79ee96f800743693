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
#include "Placement/ServerPool.h"

namespace jacinthroad {

/// Reads the cache events of the servers and cache stores whose owner node is this node. Used by
/// the control thread only.
class CacheEventReader
{
public:
    /// Called with the cache events of one server.
    using EventHandler = std::function<void(const ServerId &, const CacheEvents &)>;

    CacheEventReader(boost::asio::io_context &context, EventHandler eventHandler);

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
    EventHandler eventHandler_;
    std::map<ServerId, std::shared_ptr<Source>> sources_;
};

} // namespace jacinthroad
