#include "EngineClient/StreamRelay.h"

#include <charconv>
#include <utility>

#include "Core/Json.h"

namespace jacinthroad {

namespace {

constexpr std::string_view EndMarker = "[DONE]";

} // namespace

StreamRelay::StreamRelay(StreamRelayOptions options)
    : options_(std::move(options))
    , quotedAttemptId_("\"" + options_.attemptId + "\"")
    , lastToken_(options_.afterTokens)
{ }

RelayState StreamRelay::feed(std::string_view bytes, std::string &output)
{
    const bool withinLimit = parser_.feed(
        bytes, [&](std::string_view id, std::string_view data) { processEvent(id, data, output); });
    if (!withinLimit && state_ == RelayState::Open) {
        state_ = RelayState::Malformed;
    }
    return state_;
}

bool StreamRelay::checkId(std::string_view id)
{
    const auto colon = id.rfind(':');
    std::uint32_t number = 0;
    if (colon == std::string_view::npos || id.substr(0, colon) != options_.attemptId) {
        state_ = RelayState::Crossed;
        return false;
    }
    const std::string_view digits = id.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (parsed.ec != std::errc()) {
        state_ = RelayState::Malformed;
        return false;
    }
    if (number <= lastToken_) {
        // A duplicate of a forwarded token, or a usage event, which has the id of the last token.
        return false;
    }
    if (number != lastToken_ + 1) {
        state_ = RelayState::Crossed;
        return false;
    }
    return true;
}

void StreamRelay::processEvent(std::string_view id, std::string_view data, std::string &output)
{
    if (state_ != RelayState::Open) {
        return;
    }
    if (data == EndMarker) {
        if (!promptTokens_.has_value()) {
            state_ = RelayState::Malformed;
            return;
        }
        output.append("data: ").append(EndMarker).append("\n\n");
        state_ = RelayState::Complete;
        return;
    }
    if (data.find("\"usage\"") != std::string_view::npos) {
        if (id.substr(0, id.rfind(':')) != options_.attemptId) {
            state_ = RelayState::Crossed;
            return;
        }
        readUsage(data);
        if (state_ == RelayState::Open) {
            forward(data, output);
        }
        return;
    }
    if (checkId(id)) {
        ++lastToken_;
        forward(data, output);
    }
}

void StreamRelay::readUsage(std::string_view data)
{
    const auto parsed = parseJson(data);
    if (!parsed.has_value() || !parsed->isObject() || !(*parsed)["usage"].isObject()) {
        state_ = RelayState::Malformed;
        return;
    }
    const Json::Value &usage = (*parsed)["usage"];
    const Json::Value &details = usage["prompt_tokens_details"];
    const Json::Value cached
        = details.isObject() ? details["cached_tokens"] : Json::Value(Json::Int64(0));
    if (!usage["prompt_tokens"].isUInt64() || !cached.isUInt64()) {
        state_ = RelayState::Malformed;
        return;
    }
    promptTokens_ = usage["prompt_tokens"].asUInt64();
    cachedTokens_ = cached.asUInt64();
}

void StreamRelay::forward(std::string_view data, std::string &output) const
{
    output.append("id: ").append(options_.publicId).append(":");
    output.append(std::to_string(lastToken_)).append("\ndata: ");
    const auto position = data.find(quotedAttemptId_);
    if (position == std::string_view::npos) {
        output.append(data);
    } else {
        output.append(data.substr(0, position)).append("\"").append(options_.publicId).append("\"");
        output.append(data.substr(position + quotedAttemptId_.size()));
    }
    output.append("\n\n");
}

} // namespace jacinthroad
