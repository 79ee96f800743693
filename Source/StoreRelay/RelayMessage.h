#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Error.h"
#include "Core/Time.h"
#include "platform/Store.h"

namespace jacinthroad {

/// How far a node has received what another one passes on.
struct RelayPosition
{
    /// Identifies one start of the other node's process; 0 before the first response.
    std::uint64_t source = 0;
    /// Number of the last change that was received.
    std::uint64_t sequence = 0;
    /// Number of the last change when the transfer of all objects began.
    std::uint64_t began = 0;

    friend bool operator==(const RelayPosition &, const RelayPosition &) = default;
};

/// What a response holds.
enum class RelayContent : std::uint8_t {
    /// Changes since the position of the query.
    Changes,
    /// The beginning of all objects of the kind.
    All,
    /// Nothing, as the other node has the same objects.
    Same,
    /// Nothing, as the objects are read sooner from the store.
    InStore,
};

/// Objects of one kind as one node passes them on to another, in pages.
struct RelayedChanges
{
    /// The position after these changes.
    RelayPosition position;
    RelayContent content = RelayContent::Changes;
    /// Size of the events that follow on further pages; 0 on the last one.
    std::uint64_t bytesLeft = 0;
    /// The revision and the era of the store that the objects reflect.
    std::uint64_t revision = 0;
    std::optional<std::uint64_t> era;
    /// Time since the store was last known to hold nothing newer, when the response was composed.
    Duration age {};
    /// objectsDigest() of all objects of the node.
    std::uint64_t digest = 0;
    std::vector<platform::ObjectEvent> events;
};

/// A response whose events are encoded.
struct RelayPage
{
    /// Without events.
    RelayedChanges head;
    std::vector<std::string_view> events;
};

/// Encodes one event as it stands in a message.
[[nodiscard]] std::string encodeRelayedEvent(const platform::StoredObject &object, bool removed);
[[nodiscard]] std::string encodeRelayPage(const RelayPage &page);
/// Fails with InvalidRequest if the message is truncated, has another format or a field of another
/// type.
[[nodiscard]] Result<RelayedChanges> decodeRelayedChanges(std::string_view message);

/// Asks a node for the objects of one kind.
struct RelayQuery
{
    platform::ObjectKind kind = platform::ObjectKind::Configuration;
    RelayPosition position;
    /// RelayLog::digest() of the objects that the asking node has.
    std::uint64_t digest = 0;
    /// Age from which objects are of no use to it.
    Duration maxAge {};
    /// True if it can't read the objects from the store.
    bool onlyHere = false;
    /// How long the node waits for a change.
    Duration wait {};
};

/// Returns the HTTP target of a query.
[[nodiscard]] std::string relayTarget(const RelayQuery &query);
/// Parses an HTTP target; nothing if it is not that of a query.
[[nodiscard]] std::optional<RelayQuery> parseRelayTarget(std::string_view target);
/// Name of a kind of objects that nodes pass on; empty for all others.
[[nodiscard]] std::string_view relayKindName(platform::ObjectKind kind);

} // namespace jacinthroad
