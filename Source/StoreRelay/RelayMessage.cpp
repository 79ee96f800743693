#include "StoreRelay/RelayMessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <msgpack.hpp>

#include "Core/Json.h"

namespace jacinthroad {

namespace {

using platform::ObjectKind;

/// First element of every message; messages of other formats are rejected.
constexpr std::uint32_t FormatVersion = 2;
constexpr std::uint32_t MessageFields = 9;
constexpr std::uint32_t EventFields = 5;
/// Longest wait that a query may ask for.
constexpr std::uint64_t MaxWaitMs = 30'000;

constexpr std::string_view Prefix = "/objects/";

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

platform::ObjectEvent readEvent(const msgpack::object &object, platform::SpecForm form)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size != EventFields) {
        throw msgpack::type_error();
    }
    const msgpack::object *field = object.via.array.ptr;
    platform::ObjectEvent event;
    event.object.name = field[0].as<std::string>();
    event.object.revision = field[1].as<std::uint64_t>();
    event.removed = field[2].as<bool>();
    event.object.fault = field[4].as<std::string>();
    auto text = field[3].as<std::string>();
    if (form == platform::SpecForm::Text) {
        event.object.text = std::move(text);
    } else if (!text.empty()) {
        auto spec = parseJson(text);
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

} // namespace

std::string encodeRelayedChanges(const RelayedChanges &changes)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(MessageFields);
    packer.pack(FormatVersion);
    packer.pack(changes.position.source);
    packer.pack(changes.position.sequence);
    packer.pack(changes.complete);
    packer.pack(changes.revision);
    packer.pack(changes.era.has_value());
    packer.pack(changes.era.value_or(0));
    packer.pack(wholeMilliseconds(changes.age) + 1);
    packer.pack_array(static_cast<std::uint32_t>(changes.events.size()));
    for (const platform::ObjectEvent &event : changes.events) {
        packer.pack_array(EventFields);
        packer.pack(event.object.name);
        packer.pack(event.object.revision);
        packer.pack(event.removed);
        packer.pack(event.object.spec.isNull() ? event.object.text : writeJson(event.object.spec));
        packer.pack(event.object.fault);
    }
    return { buffer.data(), buffer.size() };
}

Result<RelayedChanges> decodeRelayedChanges(std::string_view message, platform::SpecForm form)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(message.data(), message.size());
        const msgpack::object &root = handle.get();
        if (root.type != msgpack::type::ARRAY || root.via.array.size != MessageFields
            || root.via.array.ptr[0].as<std::uint32_t>() != FormatVersion) {
            return makeError(ErrorKind::InvalidRequest,
                             "message of another node has an unknown format");
        }
        const msgpack::object *field = root.via.array.ptr;
        RelayedChanges changes;
        changes.position
            = { .source = field[1].as<std::uint64_t>(), .sequence = field[2].as<std::uint64_t>() };
        changes.complete = field[3].as<bool>();
        changes.revision = field[4].as<std::uint64_t>();
        if (field[5].as<bool>()) {
            changes.era = field[6].as<std::uint64_t>();
        }
        changes.age = milliseconds(field[7].as<std::uint32_t>());
        for (const msgpack::object &event : field[8].as<std::vector<msgpack::object>>()) {
            changes.events.push_back(readEvent(event, form));
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
        + "?source=" + std::to_string(query.position.source)
        + "&after=" + std::to_string(query.position.sequence)
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
    const auto waitMs = takeNumber(target, "&wait_ms=");
    if (!source.has_value() || !sequence.has_value() || !waitMs.has_value() || !target.empty()
        || *waitMs > MaxWaitMs) {
        return std::nullopt;
    }
    return RelayQuery { .kind = kind->kind,
                        .position = { .source = *source, .sequence = *sequence },
                        .wait = milliseconds(*waitMs) };
}

} // namespace jacinthroad
