#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Fleet/Freshness.h"
#include "Gateway/StoreClient.h"
#include "platform/Store.h"

namespace jacinthroad {

/// The objects of one kind by name, as of a revision of the store.
using ObjectTable = std::map<std::string, platform::StoredObject>;

/// Keeps one kind of objects in step with the platform's store by a list and then watches.
/// Belongs to the control thread.
class StoreSync
{
public:
    struct Options
    {
        platform::ObjectKind kind = platform::ObjectKind::Configuration;
        /// Word for log lines.
        std::string name;
        /// How long one watch waits. What is held is at most this and an answer's time old.
        Duration watchWait = std::chrono::seconds(1);
        /// Least time between two watches: gathers changes, so that objects which change all the
        /// time cost few calls.
        Duration minimumPause {};
    };
    /// Called when the table may have changed.
    using ChangeHandler = std::function<void(const ObjectTable &)>;
    /// Called with each moment as of which the table is known to be current.
    using ConfirmationHandler = std::function<void(BootInstant)>;

    StoreSync(boost::asio::io_context &context, StoreClient &client, Options options,
              ChangeHandler changeHandler, ConfirmationHandler confirmationHandler);

    /// Reads and watches until the context stops.
    [[nodiscard]] boost::asio::awaitable<void> run();
    /// Takes another least time between two watches.
    void setMinimumPause(Duration minimumPause) { options_.minimumPause = minimumPause; }

private:
    [[nodiscard]] boost::asio::awaitable<bool> list();
    [[nodiscard]] boost::asio::awaitable<bool> watch();
    [[nodiscard]] Duration pauseAfterFailure() const;
    void setReachable(bool reachable, std::string_view reason);

    boost::asio::io_context &context_;
    StoreClient &client_;
    Options options_;
    ChangeHandler changeHandler_;
    ConfirmationHandler confirmationHandler_;
    ObjectTable table_;
    std::uint64_t revision_ = 0;
    bool listed_ = false;
    bool reachable_ = true;
    unsigned failures_ = 0;
};

} // namespace jacinthroad
