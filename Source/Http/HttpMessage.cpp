#include "Http/HttpMessage.h"

#include <algorithm>
#include <cctype>

namespace jacinthroad {

std::size_t headerMemory(const HttpHeaders &headers)
{
    std::size_t bytes = headers.capacity() * sizeof(HttpHeaders::value_type);
    for (const auto &[name, value] : headers) {
        bytes += name.capacity() + value.capacity();
    }
    return bytes;
}

std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [&](const auto &field) { return field.first == name; });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::string percentEncode(std::string_view text, bool isPath)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool unreserved = std::isalnum(byte) != 0 || character == '-' || character == '.'
            || character == '_' || character == '~';
        if (unreserved || (isPath && character == '/')) {
            result.push_back(character);
        } else {
            result.push_back('%');
            result.push_back(Digits[byte >> 4U]);
            result.push_back(Digits[byte & 15U]);
        }
    }
    return result;
}

std::string encodeQuery(const HttpHeaders &query)
{
    std::string result;
    for (const auto &[name, value] : query) {
        result += (result.empty() ? "?" : "&") + percentEncode(name, false) + "="
            + percentEncode(value, false);
    }
    return result;
}

std::string toLower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return result;
}

} // namespace jacinthroad
