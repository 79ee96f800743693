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

/// Reads the cache events of the servers and stores that this node is the home of. Belongs to the
/// control thread.
class CacheEventReader
{
public:
    /// Called with what the events of one server told.
    using EventHandler = std::function<void(const ServerId &, const CacheEvents &)>;

    CacheEventReader(boost::asio::io_context &context, EventHandler eventHandler);

    /// Takes the `IP:port` of all servers and stores to read; reading of others ends.
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
