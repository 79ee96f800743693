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
#include "Gateway/RelayFollower.h"
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
        /// Link of this node in Mbit/s; 0 if it is not known.
        double linkMbps = 0;
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
    /// Called when what this node passes on is known to have been current at a later moment.
    std::function<void()> onRelayConfirmed = [] {};
    /// Called with the size of a change that is arriving from the store, and with 0 at its end.
    std::function<void(std::uint64_t)> onRelayExpected = [](std::uint64_t) {};
    /// Called when the store responds again after a time in which it didn't.
    std::function<void()> onRegained = [] {};

private:
    /// Lists and watches the objects; never ends except by an exception.
    [[nodiscard]] boost::asio::awaitable<void> synchronise();
    [[nodiscard]] boost::asio::awaitable<bool> list();
    /// Logs that a list was given up; the former copy stays in use.
    void refuseList(const Error &error);
    /// Puts an object that the store returned into a table: a configuration in its parts.
    [[nodiscard]] boost::asio::awaitable<void> put(ObjectTable &table,
                                                   platform::StoredObject object);
    [[nodiscard]] boost::asio::awaitable<bool> watch();
    /// Removes what put() made of an object.
    void remove(const std::string &name);
    /// Gets changes from another node; returns false if it did not respond, or is behind.
    [[nodiscard]] boost::asio::awaitable<bool> follow(RelayNode reader);
    /// Applies what another node passed on; returns false if it is behind this node.
    [[nodiscard]] bool applyRelayed(const RelayFollower::Reply &reply);
    /// Reads what another node said is read sooner from the store.
    [[nodiscard]] boost::asio::awaitable<void> readInStore(RelayPosition position);
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
    RelayFollower follower_;
    /// The position of another node at which this one was last told to read the store.
    std::optional<RelayPosition> toldToReadAt_;
    /// The store did not respond, or had the same objects.
    bool onlyFromReader_ = false;
    /// The latest moment at which the table is known to have been current.
    std::optional<BootInstant> confirmedAt_;
    ObjectTable table_;
    std::uint64_t tableDigest_ = 0;
    std::uint64_t revision_ = 0;
    /// The era in which the table was listed.
    std::optional<std::uint64_t> era_;
    bool listed_ = false;
    bool reachable_ = true;
    unsigned failures_ = 0;
};

} // namespace jacinthroad
