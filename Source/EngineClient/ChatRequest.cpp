#include "EngineClient/ChatRequest.h"

#include "Core/Json.h"

namespace jacinthroad {

namespace {

constexpr std::uint32_t MaxTokensLimit = 1'000'000;

tl::unexpected<Error> fieldError(const std::string &field, const std::string &problem,
                                 const std::string &remedy)
{
    return makeError(ErrorKind::InvalidRequest, "field '" + field + "' " + problem, remedy);
}

/// Returns the text of a message's content, which is a string or a list of text parts.
Result<std::string> contentText(const Json::Value &content, const std::string &field)
{
    if (content.isString()) {
        return content.asString();
    }
    std::string text;
    if (!content.isArray()) {
        return fieldError(field, "must be a string or a list of parts.", "Use a string.");
    }
    for (const Json::Value &part : content) {
        if (!part.isObject() || !part["text"].isString()) {
            return fieldError(field, "has a part that is not of type text.",
                              "Use parts such as {\"type\": \"text\", \"text\": \"...\"}.");
        }
        text += part["text"].asString();
    }
    return text;
}

Result<std::string> chatPrompt(const Json::Value &body)
{
    const Json::Value &messages = body["messages"];
    if (!messages.isArray() || messages.empty()) {
        return fieldError("messages", "must be a list with at least one message.",
                          "Use [{\"role\": \"user\", \"content\": \"...\"}].");
    }
    std::string prompt;
    for (Json::ArrayIndex index = 0; index < messages.size(); ++index) {
        const std::string field = "messages[" + std::to_string(index) + "]";
        const Json::Value &message = messages[index];
        if (!message.isObject() || !message["role"].isString()) {
            return fieldError(field + ".role", "must be a string.",
                              "Use 'system', 'user' or 'assistant'.");
        }
        auto text = contentText(message["content"], field + ".content");
        if (!text.has_value()) {
            return text;
        }
        prompt += message["role"].asString() + "\n" + *text + "\n";
    }
    return prompt;
}

Result<std::string> plainPrompt(const Json::Value &body)
{
    if (!body["prompt"].isString()) {
        return fieldError("prompt", "must be a string.", "Use \"prompt\": \"...\".");
    }
    return body["prompt"].asString();
}

} // namespace

Result<ChatRequest> readChatRequest(std::string_view text, bool chat)
{
    auto parsed = parseJson(text);
    if (!parsed.has_value()) {
        return tl::make_unexpected(parsed.error());
    }
    if (!parsed->isObject()) {
        return makeError(ErrorKind::InvalidRequest, "the body must be a JSON object",
                         "Send an object with 'model' and 'messages'.");
    }
    ChatRequest request { .chat = chat };
    const Json::Value &body = *parsed;
    if (!body["model"].isString() || body["model"].asString().empty()) {
        return fieldError("model", "must be the name of a model.",
                          "Query GET /v1/models for the available models.");
    }
    request.model = ModelId(body["model"].asString());
    if (body.isMember("stream") && !body["stream"].isBool()) {
        return fieldError("stream", "must be true or false.", "Use true or false.");
    }
    request.stream = body["stream"].asBool();
    if (body.isMember("max_tokens")) {
        const Json::Value &maxTokensField = body["max_tokens"];
        if (!maxTokensField.isUInt() || maxTokensField.asUInt() == 0
            || maxTokensField.asUInt() > MaxTokensLimit) {
            return fieldError("max_tokens",
                              "must be an integer from 1 to " + std::to_string(MaxTokensLimit)
                                  + ".",
                              "Use an integer in that range.");
        }
        request.maxTokens = maxTokensField.asUInt();
    }
    auto prompt = chat ? chatPrompt(body) : plainPrompt(body);
    if (!prompt.has_value()) {
        return tl::make_unexpected(prompt.error());
    }
    request.prompt = std::move(*prompt);
    request.body = std::move(*parsed);
    return request;
}

std::string engineBody(const ChatRequest &request, const EngineBodyOptions &options)
{
    Json::Value body = request.body;
    body["stream"] = true;
    body["stream_options"]["include_usage"] = true;
    body["request_id"] = options.attemptId;
    body["cache_salt"] = options.cacheSalt;
    body["priority"] = Json::Int64(options.priority);
    if (options.resumeAfterTokens > 0) {
        body["resume_after_tokens"] = options.resumeAfterTokens;
    }
    return writeJson(body);
}

} // namespace jacinthroad
