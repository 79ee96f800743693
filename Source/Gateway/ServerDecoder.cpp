#include "Gateway/ServerDecoder.h"

#include <utility>

#include "Core/Log.h"
#include "platform/StoreObjects.h"

namespace jacinthroad {

std::string reasonOf(const platform::StoredObject &object, const Error &error)
{
    return loggableText(object.fault.empty() ? error.message : object.fault);
}

void ServerDecoder::apply(const ObjectTable &table, std::optional<std::uint64_t> era)
{
    std::erase_if(decoded_, [&](const auto &entry) { return !table.contains(entry.first); });
    odd_.keepListed(table);
    for (const auto &[name, object] : table) {
        Decoded &known = decoded_[name];
        if (known.revision != object.revision || known.revision == 0 || known.era != era) {
            known = { .revision = object.revision, .era = era, .server = decode(object) };
        }
    }
}

std::vector<ServerEntry> ServerDecoder::entries() const
{
    std::vector<ServerEntry> entries;
    for (const auto &[name, known] : decoded_) {
        if (known.server.has_value()) {
            entries.push_back({ .server = *known.server, .revision = known.revision });
        }
    }
    return entries;
}

std::optional<ListedServer> ServerDecoder::decode(const platform::StoredObject &object)
{
    auto server = platform::readServer(object.name, object.spec);
    if (server.has_value()) {
        odd_.noteUsable(object.name);
        return std::move(*server);
    }
    const std::string reason = reasonOf(object, server.error());
    if (odd_.noteOdd(object.name, reason)) {
        logLine(LogLevel::Warning, "server_unreadable",
                { { "server", loggableText(object.name) },
                  { "reason", reason },
                  { "remedy", "The entry is left out; correct or remove it." } });
    }
    return std::nullopt;
}

} // namespace jacinthroad
