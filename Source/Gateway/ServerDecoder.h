#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Fleet/OddEntries.h"
#include "Fleet/RestoredServerList.h"
#include "Gateway/StoreSync.h"

namespace jacinthroad {

/// The reason why an object can't be decoded, for the log.
[[nodiscard]] std::string reasonOf(const platform::StoredObject &object, const Error &error);

/// Decodes the entries of the server list. Keeps what it decoded, because there are many entries
/// and few change at a time.
/// Used by the control thread only.
class ServerDecoder
{
public:
    /// Applies the list as it is now in an era of the store. A malformed entry is left out, and
    /// logged once.
    void apply(const ObjectTable &table, std::optional<std::uint64_t> era);
    /// The entries that name a server.
    [[nodiscard]] std::vector<ServerEntry> entries() const;

private:
    struct Decoded
    {
        std::uint64_t revision = 0;
        /// Revisions of different eras cannot be compared.
        std::optional<std::uint64_t> era;
        /// Nothing if the entry is malformed.
        std::optional<ListedServer> server;
    };

    [[nodiscard]] std::optional<ListedServer> decode(const platform::StoredObject &object);

    std::map<std::string, Decoded> decoded_;
    OddEntries odd_;
};

} // namespace jacinthroad
