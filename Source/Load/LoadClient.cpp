#include "Load/LoadClient.h"

#include <utility>

#include <json/value.h>

#include "Core/Json.h"
#include "EngineClient/SseParser.h"
#include "Load/LocalCluster.h"
#include "StandIns/EngineStandIn.h"

namespace jacinthroad {

namespace {

/// Memory of all requests.
constexpr std::size_t MemoryBytes = 1024 * 1024 * 1024;
/// Maximum number of bytes kept of a response of a service, or of an error.
constexpr std::size_t MaximumBodyBytes = 1024 * 1024;
constexpr std::size_t ClientThreads = 3;
constexpr int StatusOk = 200;
constexpr Duration CallTimeout = std::chrono::seconds(120);

std::string modelBody(const Profile &profile, const PlannedRequest &request)
{
    Json::Value body;
    body["model"] = std::string(profile.model);
    body["stream"] = true;
    if (request.maxTokens.has_value()) {
        body["max_tokens"] = *request.maxTokens;
    }
    body["metadata"]["output_tokens"] = std::to_string(request.outputTokens);
    Json::Value system;
    system["role"] = "system";
    system["content"] = request.system;
    Json::Value user;
    user["role"] = "user";
    user["content"] = request.question;
    body["messages"].append(system);
    body["messages"].append(user);
    return writeJson(body);
}

/// Returns the kind of a JSON error body; empty for any other text.
std::string errorKindOf(std::string_view text)
{
    const auto body = parseJson(text);
    const bool readable = body.has_value() && body->isObject() && (*body)["error"].isObject();
    return readable ? (*body)["error"]["kind"].asString() : std::string();
}

std::string promptOf(const PlannedRequest &request)
{
    return "system\n" + request.system + "\nuser\n" + request.question + "\n";
}

} // namespace

struct LoadClient::Exchange
{
    CallerRecord record;
    Instant intended;
    Instant lastToken;
    std::uint64_t responseSeed = 0;
    std::uint32_t expectedTokens = 0;
    std::uint32_t tokens = 0;
    int status = 0;
    bool doneReceived = false;
    bool mismatched = false;
    SseParser parser;
    std::string body;
};

LoadClient::LoadClient(double timeScale)
    : timeScale_(timeScale)
{
    const auto memory = std::make_shared<MemoryBudget>(MemoryBytes);
    for (std::size_t index = 0; index < ClientThreads; ++index) {
        clients_.push_back(std::make_unique<HttpClient>(memory));
    }
}

void LoadClient::send(const std::string &nodeUrl, const Profile &profile,
                      const PlannedRequest &request, Instant intended)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->record = { .toService = request.toService,
                         .inPeak = request.inPeak,
                         .lengthClass = request.lengthClass,
                         .atSeconds = request.atSeconds };
    exchange->intended = intended;
    exchange->expectedTokens = request.outputTokens;
    HttpCall call { .method = "POST",
                    .url = nodeUrl,
                    .headers
                    = { { "Authorization", "Bearer " + LocalCluster::teamKey(request.team) },
                        { "Content-Type", "application/json" } },
                    .totalTimeout = CallTimeout };
    if (request.toService) {
        exchange->record.idempotencyKey = "booking-" + std::to_string(++sent_) + "-"
            + request.question.substr(0, request.question.find(' '));
        call.url += "/services/" + std::string(profile.service) + "/book";
        call.headers.emplace_back("Idempotency-Key", exchange->record.idempotencyKey);
        call.body = "{\"item\":\"" + request.question + "\"}";
    } else {
        exchange->responseSeed = standInResponseSeed(promptOf(request));
        call.url += "/v1/chat/completions";
        call.body = modelBody(profile, request);
    }
    {
        const std::scoped_lock lock(mutex_);
        ++openRequests_;
        ++sent_;
    }
    const double scale = timeScale_;
    const auto onEvent = [exchange, scale](std::string_view id, std::string_view data) {
        if (data == "[DONE]") {
            exchange->doneReceived = true;
            return;
        }
        if (data.find("\"usage\"") != std::string_view::npos) {
            return;
        }
        if (data.starts_with("{\"error\"")) {
            exchange->record.errorKind = errorKindOf(data);
            return;
        }
        const Instant now = std::chrono::steady_clock::now();
        ++exchange->tokens;
        const std::string expected
            = "\"content\":\"" + standInToken(exchange->responseSeed, exchange->tokens) + "\"";
        const bool own = exchange->record.requestId.empty()
            || id.starts_with(exchange->record.requestId + ":");
        exchange->mismatched
            = exchange->mismatched || !own || data.find(expected) == std::string_view::npos;
        if (exchange->tokens == 1) {
            exchange->record.firstTokenMs = toMilliseconds(now - exchange->intended) * scale;
        } else {
            exchange->record.tokenGapsMs.push_back(
                static_cast<float>(toMilliseconds(now - exchange->lastToken) * scale));
        }
        exchange->lastToken = now;
    };
    clients_[sent_ % clients_.size()]->start(
        std::move(call),
        { .onHeaders =
              [exchange](int status, const HttpHeaders &headers) {
                  exchange->status = status;
                  exchange->record.requestId = findHeader(headers, "x-request-id").value_or("");
              },
          .onData =
              [exchange, onEvent](std::string_view bytes) {
                  if (exchange->status == StatusOk && !exchange->record.toService) {
                      static_cast<void>(exchange->parser.feed(bytes, onEvent));
                  } else {
                      exchange->body.append(
                          bytes.substr(0, MaximumBodyBytes - exchange->body.size()));
                  }
                  return true;
              },
          .onEnd = [this, exchange](CallOutcome outcome) { finish(exchange, outcome); } });
}

void LoadClient::finish(const std::shared_ptr<Exchange> &exchange, CallOutcome outcome)
{
    CallerRecord &record = exchange->record;
    record.totalMs
        = toMilliseconds(std::chrono::steady_clock::now() - exchange->intended) * timeScale_;
    const bool completed = outcome == CallOutcome::Completed;
    if (exchange->status == StatusOk && record.toService) {
        record.outcome = completed ? CallerOutcome::Completed : CallerOutcome::Failed;
    } else if (exchange->status == StatusOk) {
        const bool complete
            = completed && exchange->doneReceived && exchange->tokens == exchange->expectedTokens;
        record.outcome = exchange->mismatched ? CallerOutcome::Crossed
            : complete                        ? CallerOutcome::Completed
                                              : CallerOutcome::Broken;
    } else if (completed) {
        const auto body = parseJson(exchange->body);
        if (body.has_value() && body->isObject() && (*body)["error"].isObject()) {
            const Json::Value &error = (*body)["error"];
            record.requestId = error["request_id"].asString();
            record.errorKind = error["kind"].asString();
            const Json::Value &notRun = error["not_run"];
            record.outcome = notRun.isBool() && notRun.asBool() ? CallerOutcome::RejectedNotRun
                                                                : CallerOutcome::Failed;
        }
    } else {
        record.errorKind = "connection";
    }
    {
        const std::scoped_lock lock(mutex_);
        --openRequests_;
        records_.push_back(std::move(record));
    }
    changed_.notify_all();
}

bool LoadClient::waitForAll(Duration timeout)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, timeout, [this] { return openRequests_ == 0; });
}

std::size_t LoadClient::openRequests() const
{
    const std::scoped_lock lock(mutex_);
    return openRequests_;
}

std::vector<CallerRecord> LoadClient::records() const
{
    const std::scoped_lock lock(mutex_);
    return records_;
}

} // namespace jacinthroad
