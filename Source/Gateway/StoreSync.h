#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Fleet/Freshness.h"
#include "Gateway/RelayClient.h"
#include "Gateway/StoreClient.h"
#include "StoreRelay/ReadPacing.h"
#include "StoreRelay/ReaderChoice.h"
#include "StoreRelay/RelayLog.h"
#include "platform/Store.h"

namespace jacinthroad {

/// Keeps a local copy of all objects of one kind: lists them once, then watches for changes, or
/// gets both from another node of its zone if one reads them. Lists them anew once the store has
/// come back from an earlier copy: the same revision may then mean another state.
/// Used by the control thread only.
class StoreSync
{
public:
    struct Options
    {
        platform::ObjectKind kind = platform::ObjectKind::Configuration;
        /// Name of the objects in log lines.
        std::string name;
        /// How long one watch waits for a change. The local copy is out of date by at most this
        /// and the duration of one call.
        Duration watchWait = std::chrono::seconds(1);
        /// Minimum pause between two watches. Changes are batched during it, so that objects
        /// which change constantly cost few calls.
        Duration minimumPause {};
        /// How long another node that is asked waits for a change.
        Duration relayWait = milliseconds(500);
        /// Name of this node, and a number that identifies this start of its process.
        std::string node;
        std::uint64_t boot = 1;
    };
    /// Called with the table after it may have changed.
    using ChangeHandler = std::function<void(const ObjectTable &)>;
    /// Called with each moment at which the table is known to have been current.
    using ConfirmationHandler = std::function<void(BootInstant)>;

    StoreSync(boost::asio::io_context &context, StoreClient &client, Options options,
              ChangeHandler changeHandler, ConfirmationHandler confirmationHandler);

    /// Lists and watches until the context stops.
    [[nodiscard]] boost::asio::awaitable<void> run();
    /// Changes how further calls to the store are paced.
    void setPacing(const ReadPacing &pacing)
    {
        options_.watchWait = pacing.wait;
        options_.minimumPause = pacing.pause;
    }
    /// Decides which node the objects come from.
    [[nodiscard]] ReaderChoice &readerChoice() { return readerChoice_; }
    /// What this node passes on to others.
    [[nodiscard]] const RelayLog &relayLog() const { return relayLog_; }
    /// Called when there is something new to pass on.
    std::function<void()> onRelayChange = [] {};
    /// Called when the store responds again after a time in which it didn't.
    std::function<void()> onRegained = [] {};

private:
    /// Lists and watches the objects; never ends except by an exception.
    [[nodiscard]] boost::asio::awaitable<void> synchronise();
    [[nodiscard]] boost::asio::awaitable<bool> list();
    /// Puts an object that the store returned into a table: a configuration in its parts.
    [[nodiscard]] boost::asio::awaitable<void> put(ObjectTable &table,
                                                   platform::StoredObject object);
    [[nodiscard]] boost::asio::awaitable<bool> watch();
    /// Removes what put() made of an object.
    void remove(const std::string &name);
    /// Gets changes from another node; returns false if it did not respond, or is behind.
    [[nodiscard]] boost::asio::awaitable<bool> follow(RelayNode reader);
    /// Applies what another node passed on; returns false if it is behind this node.
    [[nodiscard]] bool applyRelayed(const RelayReply &reply);
    void applyEvents(const std::vector<platform::ObjectEvent> &events);
    void reportChange();
    void reportConfirmation(BootInstant moment);
    /// Age from which objects that another node passes on are too old.
    [[nodiscard]] Duration relayedAgeLimit() const;
    [[nodiscard]] Duration pauseAfterFailure() const;
    void setReachable(bool reachable, std::string_view reason);

    boost::asio::io_context &context_;
    StoreClient &client_;
    Options options_;
    ChangeHandler changeHandler_;
    ConfirmationHandler confirmationHandler_;
    ReaderChoice readerChoice_;
    RelayLog relayLog_;
    std::unique_ptr<RelayClient> relay_;
    RelayPosition relayPosition_;
    /// The latest moment at which the table is known to have been current.
    std::optional<BootInstant> confirmedAt_;
    ObjectTable table_;
    std::uint64_t revision_ = 0;
    /// The era in which the table was listed.
    std::optional<std::uint64_t> era_;
    bool listed_ = false;
    bool reachable_ = true;
    unsigned failures_ = 0;
};

} // namespace jacinthroad
