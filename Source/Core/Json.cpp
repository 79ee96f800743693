#include "Core/Json.h"

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <memory>

#include <boost/locale/utf.hpp>
#include <json/reader.h>
#include <json/writer.h>

namespace jacinthroad {

namespace {

constexpr int MaximumNesting = 64;
constexpr std::size_t MaximumWordBytes = 1024;
/// Memory of a value in its list or object, without the characters of a string; of the name of a
/// member, without its value.
constexpr std::size_t ContainerBytes = 160;
constexpr std::size_t StringBytes = 128;
constexpr std::size_t WordBytes = 96;
constexpr std::size_t NameBytes = 32;
constexpr std::string_view Whitespace = " \t\r\n";
constexpr std::string_view Delimiters = "[]{},:\"/ \t\r\n";
/// Maximum length of the part of a parser's report that a message contains.
constexpr std::size_t MaximumReportBytes = 256;

Json::CharReaderBuilder makeReaderBuilder()
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["allowComments"] = true;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["stackLimit"] = MaximumNesting;
    return builder;
}

std::string firstError(std::string_view report)
{
    report = report.substr(0, MaximumReportBytes);
    // jsoncpp reports each error as "* Line 3, Column 7\n  Syntax error: ...\n".
    std::string text;
    for (const char character : report) {
        if (character == '\n') {
            if (text.find(':') != std::string::npos) {
                break;
            }
            text += ':';
            continue;
        }
        if (character != '*') {
            text += character;
        }
    }
    const auto start = text.find_first_not_of(' ');
    return start == std::string::npos ? std::string(report) : text.substr(start);
}

/// Moves from a quote behind the string that it begins.
std::size_t skipString(std::string_view text, std::size_t position)
{
    const std::size_t begin = position + 1;
    std::size_t end = text.find('"', begin);
    while (end != std::string_view::npos) {
        // An odd number of backslashes before the quote escapes it.
        std::size_t backslashes = 0;
        while (end - backslashes > begin && text[end - backslashes - 1] == '\\') {
            ++backslashes;
        }
        if (backslashes % 2 == 0) {
            return end + 1;
        }
        end = text.find('"', end + 1);
    }
    return text.size();
}

/// Moves from a slash behind the comment that it begins, or behind the slash.
std::size_t skipComment(std::string_view text, std::size_t position)
{
    const std::string_view rest = text.substr(position);
    const bool block = rest.starts_with("/*");
    if (!block && !rest.starts_with("//")) {
        return position + 1;
    }
    const std::size_t end
        = block ? text.find("*/", position + 2) : text.find_first_of("\r\n", position);
    return end == std::string_view::npos ? text.size() : end + (block ? 2 : 1);
}

tl::unexpected<Error> limitError(ErrorKind kind, const std::string &problem)
{
    return makeError(kind, "not acceptable JSON: " + problem, "Send a smaller document.");
}

} // namespace

Result<std::size_t> estimateJsonMemory(std::string_view text, std::size_t maximumBytes)
{
    std::size_t bytes = 0;
    int depth = 0;
    bool behindString = false;
    for (std::size_t position = 0; position < text.size() && bytes <= maximumBytes;) {
        const char character = text[position];
        if (character == '"') {
            position = skipString(text, position);
            bytes += StringBytes;
            behindString = true;
            continue;
        }
        if (character == '/') {
            position = skipComment(text, position);
            continue;
        }
        if (character == '[' || character == '{') {
            bytes += ContainerBytes;
            ++depth;
        } else if (character == ']' || character == '}') {
            --depth;
        } else if (character == ':' && behindString) {
            bytes -= StringBytes - NameBytes;
        } else if (Delimiters.find(character) == std::string_view::npos) {
            const std::size_t end = std::min(text.find_first_of(Delimiters, position), text.size());
            if (end - position > MaximumWordBytes) {
                return limitError(ErrorKind::InvalidRequest,
                                  "it has a number longer than " + std::to_string(MaximumWordBytes)
                                      + " bytes");
            }
            bytes += WordBytes;
            position = end - 1;
        }
        behindString = behindString && Whitespace.find(character) != std::string_view::npos;
        ++position;
        if (depth > MaximumNesting) {
            return limitError(ErrorKind::InvalidRequest,
                              "it is nested deeper than " + std::to_string(MaximumNesting)
                                  + " levels");
        }
    }
    if (bytes > maximumBytes) {
        return limitError(ErrorKind::PayloadTooLarge,
                          "its values take more than " + std::to_string(maximumBytes)
                              + " bytes of memory");
    }
    return bytes;
}

std::size_t jsonMemory(const Json::Value &value)
{
    const char *end = nullptr;
    if (const char *begin = nullptr; value.isString() && value.getString(&begin, &end)) {
        return StringBytes + static_cast<std::size_t>(end - begin);
    }
    if (!value.isArray() && !value.isObject()) {
        return WordBytes;
    }
    std::size_t bytes = ContainerBytes;
    for (auto member = value.begin(); member != value.end(); ++member) {
        if (value.isObject()) {
            const char *name = member.memberName(&end);
            bytes += NameBytes + static_cast<std::size_t>(end - name);
        }
        bytes += jsonMemory(*member);
    }
    return bytes;
}

Result<Json::Value> parseJson(std::string_view text)
{
    std::size_t memoryLeft = MaximumJsonMemory;
    return parseJson(text, memoryLeft);
}

Result<Json::Value> parseJson(std::string_view text, std::size_t &memoryLeft)
{
    const auto memory = estimateJsonMemory(text, memoryLeft);
    if (!memory.has_value()) {
        if (memory.error().kind == ErrorKind::PayloadTooLarge) {
            memoryLeft = 0;
        }
        return tl::make_unexpected(memory.error());
    }
    memoryLeft -= *memory;
    // Creating a reader takes as long as parsing a small object.
    thread_local const std::unique_ptr<Json::CharReader> Reader(
        makeReaderBuilder().newCharReader());
    Json::Value value;
    std::string report;
    try {
        if (Reader->parse(text.data(), text.data() + text.size(), &value, &report)) {
            return value;
        }
    } catch (const Json::Exception &exception) {
        report = exception.what();
    }
    return makeError(ErrorKind::InvalidRequest, "not valid JSON: " + firstError(report),
                     "Correct the JSON at the named line.");
}

bool isUtf8(std::string_view text)
{
    using Traits = boost::locale::utf::utf_traits<char>;
    constexpr std::uint64_t HighBits = 0x8080808080808080ULL;
    const char *position = text.data();
    const char *const end = position + text.size();
    for (std::uint64_t word = 0; static_cast<std::size_t>(end - position) >= sizeof(word);
         position += sizeof(word)) {
        std::memcpy(&word, position, sizeof(word));
        if ((word & HighBits) != 0) {
            break;
        }
    }
    while (position != end) {
        const auto codePoint = Traits::decode(position, end);
        if (codePoint == boost::locale::utf::illegal
            || codePoint == boost::locale::utf::incomplete) {
            return false;
        }
    }
    return true;
}

std::string writeJson(const Json::Value &value)
{
    static const Json::StreamWriterBuilder Builder = [] {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        builder["emitUTF8"] = true;
        return builder;
    }();
    return Json::writeString(Builder, value);
}

std::string writeJsonIndented(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    builder["emitUTF8"] = true;
    builder["precision"] = 6;
    return Json::writeString(builder, value) + "\n";
}

} // namespace jacinthroad
