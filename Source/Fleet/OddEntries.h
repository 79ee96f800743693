#pragma once

#include <map>
#include <string>
#include <string_view>

namespace jacinthroad {

/// Remembers which entries of a list can't be used, so that each is logged once and not with each
/// change of the list.
class OddEntries
{
public:
    /// Notes an entry that can't be used. Returns true if that is new or for another reason.
    [[nodiscard]] bool noteOdd(const std::string &name, std::string_view reason);
    /// Notes an entry that can be used or is no longer listed.
    void noteUsable(const std::string &name) { reasons_.erase(name); }
    /// Forgets the entries that `table` lacks.
    template <typename Table> void keepListed(const Table &table)
    {
        std::erase_if(reasons_, [&](const auto &entry) { return !table.contains(entry.first); });
    }

private:
    std::map<std::string, std::string> reasons_;
};

/// Shortens text of another writer for a log line and replaces bytes other than printable ASCII.
[[nodiscard]] std::string loggableText(std::string_view text);

} // namespace jacinthroad
