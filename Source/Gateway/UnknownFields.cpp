#include "Gateway/UnknownFields.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

#include "Core/Json.h"

namespace jacinthroad {

namespace {

/// Size of all fields of an object that are kept; other programs may have written any number.
constexpr std::size_t MaxKeptBytes = 16 * 1024;

std::string identityOf(const Json::Value &item, std::span<const std::string_view> key)
{
    Json::Value identity(Json::arrayValue);
    for (const std::string_view name : key) {
        identity.append(item.get(std::string(name), Json::Value()));
    }
    return writeJson(identity);
}

void keepFields(Json::Value &spec, const Json::Value &stored, const KnownFields &known,
                std::size_t &bytesLeft)
{
    if (!spec.isObject() || !stored.isObject()) {
        return;
    }
    for (const std::string &name : stored.getMemberNames()) {
        if (std::find(known.names.begin(), known.names.end(), name) != known.names.end()) {
            continue;
        }
        const std::size_t bytes = name.size() + writeJson(stored[name]).size();
        if (bytes <= bytesLeft) {
            bytesLeft -= bytes;
            spec[name] = stored[name];
        }
    }
    const std::string list(known.list);
    if (known.item == nullptr || !spec.isMember(list) || !stored[list].isArray()) {
        return;
    }
    std::map<std::string, const Json::Value *> storedItems;
    for (const Json::Value &item : stored[list]) {
        if (item.isObject()) {
            storedItems.emplace(identityOf(item, known.itemKey), &item);
        }
    }
    for (Json::Value &item : spec[list]) {
        const auto found = storedItems.find(identityOf(item, known.itemKey));
        if (found != storedItems.end()) {
            keepFields(item, *found->second, *known.item, bytesLeft);
        }
    }
}

} // namespace

void keepUnknownFields(Json::Value &spec, const Json::Value &stored, const KnownFields &known)
{
    std::size_t bytesLeft = MaxKeptBytes;
    keepFields(spec, stored, known, bytesLeft);
}

} // namespace jacinthroad
