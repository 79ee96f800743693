#include "FleetPeers/NodeDigest.h"

#include <span>
#include <string_view>

#include <msgpack.hpp>

#include "Core/Log.h"

namespace jacinthroad {

namespace {

/// First element of every digest; digests of other versions are ignored. It stays as it is when
/// fields are added, since newer builds may append fields to each array.
constexpr std::uint32_t FormatVersion = 5;
constexpr std::uint32_t DigestFields = 11;
/// First element of every summary of a zone, which has the zone as an additional last field. Older
/// builds ignore it.
constexpr std::uint32_t SummaryFormatVersion = 6;
constexpr std::uint32_t SummaryFields = DigestFields + 1;
constexpr std::uint32_t EchoFields = 3;
constexpr std::uint32_t DesiredWeightsFields = 3;
constexpr std::uint32_t UpdateFields = 13;
constexpr std::uint32_t CrashRecordFields = 3;
constexpr std::uint32_t CrashReportFields = 6;
/// Keys of the map that follows the array if it has an entry. Older builds ignore what follows.
constexpr std::string_view LinksLostKey = "links_lost";
constexpr std::string_view LostServicesKey = "lost_services";
/// Levels of arrays and maps in a datagram; more than any format has.
constexpr std::size_t MaximumNesting = 16;

/// Returns the fields of an array, which newer builds may have appended to.
std::span<const msgpack::object> fieldsOf(const msgpack::object &object, std::uint32_t known)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size < known) {
        throw msgpack::type_error();
    }
    return { object.via.array.ptr, object.via.array.size };
}

/// Reads the items of a list; leaves out those that this build can't read.
template <typename Item>
std::vector<Item> readItems(const msgpack::object &list, Item (*read)(const msgpack::object &))
{
    std::vector<Item> items;
    for (const msgpack::object &object : list.as<std::vector<msgpack::object>>()) {
        try {
            items.push_back(read(object));
        } catch (const msgpack::type_error &fault) {
            logLine(LogLevel::Debug, "digest_item_unreadable", { { "reason", fault.what() } });
        }
    }
    return items;
}

std::string text(const msgpack::object &object)
{
    return object.as<std::string>();
}

/// Packs alternating keys and token counts.
void packParts(msgpack::packer<msgpack::sbuffer> &packer, const std::vector<CachedPart> &parts)
{
    packer.pack_array(static_cast<std::uint32_t>(parts.size() * 2));
    for (const CachedPart &part : parts) {
        packer.pack(part.key);
        packer.pack(part.tokens);
    }
}

std::vector<CachedPart> readParts(const msgpack::object &object)
{
    const auto numbers = object.as<std::vector<std::uint64_t>>();
    if (numbers.size() % 2 != 0) {
        throw msgpack::type_error();
    }
    std::vector<CachedPart> parts;
    for (std::size_t index = 0; index < numbers.size(); index += 2) {
        parts.push_back(
            { .key = numbers[index], .tokens = static_cast<std::uint32_t>(numbers[index + 1]) });
    }
    return parts;
}

ServerUpdate readUpdate(const msgpack::object &object)
{
    const auto field = fieldsOf(object, UpdateFields);
    ServerUpdate update;
    update.server = ServerId(text(field[0]));
    update.inFlight = field[1].as<std::uint32_t>();
    update.pendingPrefillTokens = field[2].as<std::uint32_t>();
    update.model = ModelId(text(field[3]));
    update.weights = field[4].as<std::uint32_t>();
    update.cordonedForMs = field[5].as<std::uint32_t>();
    update.sentParts = readParts(field[6]);
    update.confirmedParts = readParts(field[7]);
    update.unresponsiveMs = field[8].as<std::uint32_t>();
    update.avoidMs = field[9].as<std::uint32_t>();
    update.evictedKeys = field[10].as<std::vector<std::uint64_t>>();
    update.limitPerThousandSeconds = field[11].as<std::uint32_t>();
    update.limitAgeMs = field[12].as<std::uint32_t>();
    return update;
}

DesiredWeightsAge readDesiredWeights(const msgpack::object &object)
{
    const auto field = fieldsOf(object, DesiredWeightsFields);
    return { .model = ModelId(text(field[0])),
             .version = field[1].as<std::uint32_t>(),
             .ageMs = field[2].as<std::uint32_t>() };
}

DigestEcho readEcho(const msgpack::object &object)
{
    const auto field = fieldsOf(object, EchoFields);
    return { .node = text(field[0]),
             .boot = field[1].as<std::uint64_t>(),
             .sequence = field[2].as<std::uint64_t>() };
}

CrashReport readCrashReport(const msgpack::object &object)
{
    const auto field = fieldsOf(object, CrashReportFields);
    return { .reporter = field[0].as<std::uint64_t>(),
             .number = field[1].as<std::uint32_t>(),
             .server = field[2].as<std::uint64_t>(),
             .sentAgeMs = field[3].as<std::uint32_t>(),
             .crashAgeMs = field[4].as<std::uint32_t>(),
             .cleared = field[5].as<bool>() };
}

CrashRecord readCrashRecord(const msgpack::object &object)
{
    const auto field = fieldsOf(object, CrashRecordFields);
    return { .fingerprint = field[0].as<std::uint64_t>(),
             .depth = field[1].as<std::uint8_t>(),
             .crashes = readItems(field[2], readCrashReport) };
}

ServiceId readService(const msgpack::object &object)
{
    return ServiceId(text(object));
}

/// Reads the map that follows the array; unknown keys are those of newer builds.
void readAdditions(const msgpack::object &object, NodeDigest &digest)
{
    if (object.type != msgpack::type::MAP) {
        throw msgpack::type_error();
    }
    const std::span entries(object.via.map.ptr, object.via.map.size);
    for (const msgpack::object_kv &entry : entries) {
        if (entry.key.type != msgpack::type::STR) {
            continue;
        }
        const std::string_view key(entry.key.via.str.ptr, entry.key.via.str.size);
        if (key == LinksLostKey) {
            digest.linksLost = entry.val.as<bool>();
        } else if (key == LostServicesKey) {
            digest.lostServices = readItems(entry.val, readService);
        }
    }
}

} // namespace

std::string encodeDigest(const NodeDigest &digest)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    const bool summary = !digest.summarizedZone.empty();
    packer.pack_array(summary ? SummaryFields : DigestFields);
    packer.pack(summary ? SummaryFormatVersion : FormatVersion);
    packer.pack(digest.node);
    packer.pack(digest.boot);
    packer.pack(digest.sequence);
    packer.pack(digest.configurationVersion);
    packer.pack(digest.configurationAgeMs);
    packer.pack(digest.configurationHash);
    packer.pack_array(static_cast<std::uint32_t>(digest.servers.size()));
    for (const ServerUpdate &update : digest.servers) {
        packer.pack_array(UpdateFields);
        packer.pack(update.server.text());
        packer.pack(update.inFlight);
        packer.pack(update.pendingPrefillTokens);
        packer.pack(update.model.text());
        packer.pack(update.weights);
        packer.pack(update.cordonedForMs);
        packParts(packer, update.sentParts);
        packParts(packer, update.confirmedParts);
        packer.pack(update.unresponsiveMs);
        packer.pack(update.avoidMs);
        packer.pack(update.evictedKeys);
        packer.pack(update.limitPerThousandSeconds);
        packer.pack(update.limitAgeMs);
    }
    packer.pack_array(static_cast<std::uint32_t>(digest.desiredWeights.size()));
    for (const DesiredWeightsAge &desired : digest.desiredWeights) {
        packer.pack_array(DesiredWeightsFields);
        packer.pack(desired.model.text());
        packer.pack(desired.version);
        packer.pack(desired.ageMs);
    }
    packer.pack_array(static_cast<std::uint32_t>(digest.echoes.size()));
    for (const DigestEcho &echo : digest.echoes) {
        packer.pack_array(EchoFields);
        packer.pack(echo.node);
        packer.pack(echo.boot);
        packer.pack(echo.sequence);
    }
    packer.pack_array(static_cast<std::uint32_t>(digest.crashes.size()));
    for (const CrashRecord &record : digest.crashes) {
        packer.pack_array(CrashRecordFields);
        packer.pack(record.fingerprint);
        packer.pack(record.depth);
        packer.pack_array(static_cast<std::uint32_t>(record.crashes.size()));
        for (const CrashReport &report : record.crashes) {
            packer.pack_array(CrashReportFields);
            packer.pack(report.reporter);
            packer.pack(report.number);
            packer.pack(report.server);
            packer.pack(report.sentAgeMs);
            packer.pack(report.crashAgeMs);
            packer.pack(report.cleared);
        }
    }
    if (summary) {
        packer.pack(digest.summarizedZone);
    }
    if (digest.linksLost || !digest.lostServices.empty()) {
        packer.pack_map(2);
        packer.pack(LinksLostKey);
        packer.pack(digest.linksLost);
        packer.pack(LostServicesKey);
        packer.pack_array(static_cast<std::uint32_t>(digest.lostServices.size()));
        for (const ServiceId &service : digest.lostServices) {
            packer.pack(service.text());
        }
    }
    return { buffer.data(), buffer.size() };
}

std::optional<NodeDigest> decodeDigest(std::string_view datagram)
{
    try {
        // A header may state more entries than follow, for which memory is allocated at once.
        const std::size_t size = datagram.size();
        const msgpack::unpack_limit limit(size, size, size, size, size, MaximumNesting);
        std::size_t end = 0;
        const msgpack::object_handle handle
            = msgpack::unpack(datagram.data(), size, end, nullptr, nullptr, limit);
        const msgpack::object &root = handle.get();
        if (root.type != msgpack::type::ARRAY || root.via.array.size == 0) {
            return std::nullopt;
        }
        const auto version = root.via.array.ptr[0].as<std::uint32_t>();
        const bool summary = version == SummaryFormatVersion;
        if (!summary && version != FormatVersion) {
            return std::nullopt;
        }
        const auto field = fieldsOf(root, summary ? SummaryFields : DigestFields);
        NodeDigest digest;
        digest.node = text(field[1]);
        digest.boot = field[2].as<std::uint64_t>();
        digest.sequence = field[3].as<std::uint64_t>();
        digest.configurationVersion = field[4].as<std::uint64_t>();
        digest.configurationAgeMs = field[5].as<std::uint32_t>();
        digest.configurationHash = field[6].as<std::uint64_t>();
        digest.servers = readItems(field[7], readUpdate);
        digest.desiredWeights = readItems(field[8], readDesiredWeights);
        digest.echoes = readItems(field[9], readEcho);
        digest.crashes = readItems(field[10], readCrashRecord);
        if (summary) {
            digest.summarizedZone = text(field[DigestFields]);
            if (digest.summarizedZone.empty()) {
                return std::nullopt;
            }
        }
        if (end < size) {
            const msgpack::object_handle additions
                = msgpack::unpack(datagram.data(), size, end, nullptr, nullptr, limit);
            readAdditions(additions.get(), digest);
        }
        return digest;
    } catch (const std::exception &fault) {
        logLine(LogLevel::Debug, "digest_unreadable", { { "reason", fault.what() } });
        return std::nullopt;
    }
}

} // namespace jacinthroad
