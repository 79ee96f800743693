#include "Core/Json.h"

#include <cstdint>
#include <cstring>
#include <memory>

#include <boost/locale/utf.hpp>
#include <json/reader.h>
#include <json/writer.h>

namespace jacinthroad {

namespace {

constexpr int MaximumNesting = 64;

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

std::string firstError(const std::string &report)
{
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
    return start == std::string::npos ? report : text.substr(start);
}

} // namespace

Result<Json::Value> parseJson(std::string_view text)
{
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
