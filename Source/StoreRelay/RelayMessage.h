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

    friend bool operator==(const RelayPosition &, const RelayPosition &) = default;
};

/// Objects of one kind as one node passes them on to another.
struct RelayedChanges
{
    /// The position after these changes.
    RelayPosition position;
    /// True if these are all objects of the kind rather than changes since a position.
    bool complete = false;
    /// The revision and the era of the store that the objects reflect.
    std::uint64_t revision = 0;
    std::optional<std::uint64_t> era;
    /// Time since the store was last known to hold nothing newer, when the response was composed.
    Duration age {};
    std::vector<platform::ObjectEvent> events;
};

[[nodiscard]] std::string encodeRelayedChanges(const RelayedChanges &changes);
/// Fails with InvalidRequest if the message is truncated, has another format or a field of another
/// type. Specs are put into objects in the form in which the store's are.
[[nodiscard]] Result<RelayedChanges>
decodeRelayedChanges(std::string_view message, platform::SpecForm form = platform::SpecForm::Tree);

/// Asks a node for the objects of one kind.
struct RelayQuery
{
    platform::ObjectKind kind = platform::ObjectKind::Configuration;
    RelayPosition position;
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
