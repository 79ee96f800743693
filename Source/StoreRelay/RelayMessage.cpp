#include "StoreRelay/RelayMessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <msgpack.hpp>

#include "Core/Json.h"
#include "Core/JsonExtents.h"

namespace jacinthroad {

namespace {

using platform::ObjectKind;

/// First element of every message; messages of other formats are rejected. It stays as it is when
/// fields are added, since newer builds may append fields to each array.
constexpr std::uint32_t FormatVersion = 2;
constexpr std::uint32_t MessageFields = 12;
constexpr std::uint32_t EventFields = 6;
/// Longest wait that a query may ask for.
constexpr std::uint64_t MaxWaitMs = 30'000;
constexpr std::uint64_t MaxAgeMs = 3'600'000;
/// Levels of arrays in a message; more than the format has.
constexpr std::size_t MaximumNesting = 16;

constexpr std::string_view Prefix = "/objects/";
constexpr std::array<std::string_view, 7> ParameterNames { "source", "after",      "began",
                                                           "digest", "max_age_ms", "only_here",
                                                           "wait_ms" };

struct KindName
{
    ObjectKind kind;
    std::string_view name;
};

constexpr std::array KindNames {
    KindName { ObjectKind::Configuration, "configuration" },
    KindName { ObjectKind::Servers, "servers" },
    KindName { ObjectKind::DesiredWeights, "weights" },
    KindName { ObjectKind::Nodes, "nodes" },
};

/// Reads an event whose values may take `memoryLeft` bytes with those of the other events.
platform::ObjectEvent readEvent(const msgpack::object &object, std::size_t &memoryLeft)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size < EventFields) {
        throw msgpack::type_error();
    }
    const msgpack::object *field = object.via.array.ptr;
    platform::ObjectEvent event;
    event.object.name = field[0].as<std::string>();
    event.object.revision = field[1].as<std::uint64_t>();
    event.removed = field[2].as<bool>();
    event.object.fault = field[4].as<std::string>();
    auto text = field[3].as<std::string>();
    if (field[5].as<bool>()) {
        event.object.text = std::move(text);
    } else if (!text.empty()) {
        auto spec = parseJson(text, memoryLeft);
        if (!spec.has_value()) {
            throw msgpack::type_error();
        }
        event.object.spec = std::move(*spec);
    }
    return event;
}

std::optional<std::uint64_t> takeNumber(std::string_view &text, std::string_view label)
{
    if (!text.starts_with(label)) {
        return std::nullopt;
    }
    text.remove_prefix(label.size());
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc()) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return value;
}

/// True for any number of `&NAME=VALUE` with names that this build doesn't know.
bool areParametersOfNewerBuilds(std::string_view text)
{
    while (!text.empty()) {
        const std::string_view parameter = text.substr(0, text.find('&', 1));
        const std::size_t equals = parameter.find('=');
        if (parameter.front() != '&' || equals == std::string_view::npos || equals < 2
            || std::find(ParameterNames.begin(), ParameterNames.end(),
                         parameter.substr(1, equals - 1))
                != ParameterNames.end()) {
            return false;
        }
        text.remove_prefix(parameter.size());
    }
    return true;
}

} // namespace

std::string encodeRelayedEvent(const platform::StoredObject &object, bool removed)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(EventFields);
    packer.pack(object.name);
    packer.pack(object.revision);
    packer.pack(removed);
    const bool isText = !object.text.empty();
    if (isText) {
        packer.pack(object.text);
    } else {
        packer.pack(object.spec.isNull() ? std::string() : writeJson(object.spec));
    }
    packer.pack(object.fault);
    packer.pack(isText);
    return { buffer.data(), buffer.size() };
}

std::string encodeRelayPage(const RelayPage &page)
{
    const RelayedChanges &head = page.head;
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(MessageFields);
    packer.pack(FormatVersion);
    packer.pack(head.position.source);
    packer.pack(head.position.sequence);
    packer.pack(head.position.began);
    packer.pack(static_cast<std::uint32_t>(head.content));
    packer.pack(head.bytesLeft);
    packer.pack(head.revision);
    packer.pack(head.era.has_value());
    packer.pack(head.era.value_or(0));
    packer.pack(wholeMilliseconds(head.age) + 1);
    packer.pack(head.digest);
    packer.pack_array(static_cast<std::uint32_t>(page.events.size()));
    for (const std::string_view event : page.events) {
        buffer.write(event.data(), event.size());
    }
    return { buffer.data(), buffer.size() };
}

Result<RelayedChanges> decodeRelayedChanges(std::string_view message)
{
    try {
        // A header may state more entries than follow, for which memory is allocated at once.
        const std::size_t size = message.size();
        const msgpack::unpack_limit limit(std::min(size, MaximumJsonExtents),
                                          std::min(size, MaximumJsonExtents), size, size, size,
                                          MaximumNesting);
        const msgpack::object_handle handle
            = msgpack::unpack(message.data(), size, nullptr, nullptr, limit);
        const msgpack::object &root = handle.get();
        if (root.type != msgpack::type::ARRAY || root.via.array.size < MessageFields
            || root.via.array.ptr[0].as<std::uint32_t>() != FormatVersion) {
            return makeError(ErrorKind::InvalidRequest,
                             "message of another node has an unknown format");
        }
        const msgpack::object *field = root.via.array.ptr;
        RelayedChanges changes;
        changes.position = { .source = field[1].as<std::uint64_t>(),
                             .sequence = field[2].as<std::uint64_t>(),
                             .began = field[3].as<std::uint64_t>() };
        const auto content = field[4].as<std::uint32_t>();
        if (content > static_cast<std::uint32_t>(RelayContent::InStore)) {
            throw msgpack::type_error();
        }
        changes.content = static_cast<RelayContent>(content);
        changes.bytesLeft = field[5].as<std::uint64_t>();
        changes.revision = field[6].as<std::uint64_t>();
        if (field[7].as<bool>()) {
            changes.era = field[8].as<std::uint64_t>();
        }
        changes.age = milliseconds(field[9].as<std::uint32_t>());
        changes.digest = field[10].as<std::uint64_t>();
        std::size_t memoryLeft = MaximumJsonMemory;
        for (const msgpack::object &event : field[11].as<std::vector<msgpack::object>>()) {
            changes.events.push_back(readEvent(event, memoryLeft));
        }
        return changes;
    } catch (const std::exception &fault) {
        return makeError(ErrorKind::InvalidRequest,
                         std::string("message of another node is malformed: ") + fault.what());
    }
}

std::string_view relayKindName(ObjectKind kind)
{
    const auto *found = std::find_if(KindNames.begin(), KindNames.end(),
                                     [kind](const KindName &entry) { return entry.kind == kind; });
    return found == KindNames.end() ? std::string_view() : found->name;
}

std::string relayTarget(const RelayQuery &query)
{
    return std::string(Prefix) + std::string(relayKindName(query.kind))
        + "?source=" + std::to_string(query.position.source) + "&after="
        + std::to_string(query.position.sequence) + "&began=" + std::to_string(query.position.began)
        + "&digest=" + std::to_string(query.digest)
        + "&max_age_ms=" + std::to_string(wholeMilliseconds(query.maxAge))
        + "&only_here=" + (query.onlyHere ? "1" : "0")
        + "&wait_ms=" + std::to_string(wholeMilliseconds(query.wait));
}

std::optional<RelayQuery> parseRelayTarget(std::string_view target)
{
    if (!target.starts_with(Prefix)) {
        return std::nullopt;
    }
    target.remove_prefix(Prefix.size());
    const std::string_view name = target.substr(0, target.find('?'));
    const auto *kind = std::find_if(KindNames.begin(), KindNames.end(),
                                    [name](const KindName &entry) { return entry.name == name; });
    if (kind == KindNames.end()) {
        return std::nullopt;
    }
    target.remove_prefix(name.size());
    const auto source = takeNumber(target, "?source=");
    const auto sequence = takeNumber(target, "&after=");
    const auto began = takeNumber(target, "&began=");
    const auto digest = takeNumber(target, "&digest=");
    const auto maxAgeMs = takeNumber(target, "&max_age_ms=");
    const auto onlyHere = takeNumber(target, "&only_here=");
    const auto waitMs = takeNumber(target, "&wait_ms=");
    if (!source.has_value() || !sequence.has_value() || !began.has_value() || !digest.has_value()
        || !maxAgeMs.has_value() || !onlyHere.has_value() || !waitMs.has_value()
        || !areParametersOfNewerBuilds(target) || *waitMs > MaxWaitMs || *maxAgeMs > MaxAgeMs
        || *onlyHere > 1) {
        return std::nullopt;
    }
    return RelayQuery { .kind = kind->kind,
                        .position = { .source = *source, .sequence = *sequence, .began = *began },
                        .digest = *digest,
                        .maxAge = milliseconds(*maxAgeMs),
                        .onlyHere = *onlyHere == 1,
                        .wait = milliseconds(*waitMs) };
}

} // namespace jacinthroad
