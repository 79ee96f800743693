#include "Fleet/OddEntries.h"

#include <algorithm>
#include <cstddef>

namespace jacinthroad {

namespace {

constexpr std::size_t MaxLoggedBytes = 160;
constexpr char FirstPrintable = ' ';
constexpr char LastPrintable = '~';

} // namespace

bool OddEntries::noteOdd(const std::string &name, std::string_view reason)
{
    const std::string text = loggableText(reason);
    const auto [entry, added] = reasons_.try_emplace(name, text);
    if (!added && entry->second == text) {
        return false;
    }
    entry->second = text;
    return true;
}

std::string loggableText(std::string_view text)
{
    std::string result(text.substr(0, MaxLoggedBytes));
    std::replace_if(
        result.begin(), result.end(),
        [](char character) { return character < FirstPrintable || character > LastPrintable; },
        '?');
    return result;
}

} // namespace jacinthroad
