#include "Node/CallerApi.h"

#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <json/value.h>

#include "Claims/IdempotencyKey.h"
#include "Core/Hashing.h"
#include "Core/Json.h"

namespace jacinthroad {

namespace {

constexpr std::string_view ServicesPath = "/services/";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view DeadlineHeader = "x-request-deadline-ms";
constexpr std::int64_t MaximumDeadlineMs = 3'600'000;
constexpr std::size_t MaximumPublicIdLength = 128;
constexpr int StatusOk = 200;
constexpr std::string_view MemoryFull
    = "requests and responses of others take the memory that the body needs";
constexpr std::string_view MemoryRemedy
    = "Send the request again after retry_after_ms; operators raise limits.response_memory_bytes.";

/// The position in a stream from which a caller resumes.
struct ResumePoint
{
    std::string publicId;
    std::uint32_t afterTokens = 0;
};

template <typename Number> std::optional<Number> parseInteger(std::string_view text)
{
    Number number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<ResumePoint> parseLastEventId(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || colon > MaximumPublicIdLength) {
        return std::nullopt;
    }
    const auto number = parseInteger<std::uint32_t>(text.substr(colon + 1));
    const std::string_view id = text.substr(0, colon);
    constexpr std::string_view Allowed
        = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
    if (!number.has_value() || id.find_first_not_of(Allowed) != std::string_view::npos) {
        return std::nullopt;
    }
    return ResumePoint { .publicId = std::string(id), .afterTokens = *number };
}

std::optional<std::string_view> bearerKey(const HttpRequest &request)
{
    const auto header = findHeader(request.headers, "authorization");
    if (!header.has_value() || !header->starts_with(BearerPrefix)) {
        return std::nullopt;
    }
    return header->substr(BearerPrefix.size());
}

} // namespace

CallerApi::CallerApi(TrafficContext &traffic, std::string idPrefix, Events events)
    : traffic_(traffic)
    , idPrefix_(std::move(idPrefix))
    , events_(std::move(events))
{ }

void CallerApi::refuse(const Call &call, ErrorKind kind, const std::string &message,
                       const std::string &remedy)
{
    // The call has not been dispatched, so an empty record yields the verdict "not run".
    call.writer->respond(refusalResponse({ .kind = kind,
                                           .message = message,
                                           .remedy = remedy,
                                           .requestId = call.id,
                                           .notRun = DispatchRecord {}.verdict() }));
}

void CallerApi::handle(HttpRequest request, const std::shared_ptr<ResponseWriter> &writer)
{
    Call call { .request = std::move(request),
                .writer = writer,
                .snapshot = traffic_.snapshot.load(),
                .number = ++lastNumber_ };
    call.id = idPrefix_ + "-" + hexadecimal(call.number);
    if (call.request.bodyLoss == BodyLoss::TooLarge) {
        refuse(call, ErrorKind::PayloadTooLarge,
               "the request body exceeds " + std::to_string(traffic_.settings.maximumBodyBytes)
                   + " bytes");
        return;
    }
    if (handleProbe(call)) {
        return;
    }
    if (!call.snapshot->ready) {
        refuse(call, ErrorKind::NotReady, "this node has no active configuration yet");
        return;
    }
    if (!authenticate(call)) {
        return;
    }
    if (call.request.bodyLoss != BodyLoss::None) {
        refuse(call, ErrorKind::BodyMemoryFull, std::string(MemoryFull), std::string(MemoryRemedy));
        return;
    }
    const std::string path = call.request.path;
    const bool chat = path == "/v1/chat/completions";
    if (chat || path == "/v1/completions") {
        if (call.request.method != "POST") {
            refuse(call, ErrorKind::MethodNotAllowed, path + " accepts only POST");
            return;
        }
        handleModelCall(call, chat);
    } else if (path == "/v1/models") {
        listModels(call);
    } else if (path.starts_with(ServicesPath)) {
        handleServiceCall(std::move(call));
    } else {
        refuse(call, ErrorKind::NotFound, "unknown path " + path);
    }
}

bool CallerApi::handleProbe(const Call &call)
{
    const std::string &path = call.request.path;
    if (path == "/healthz") {
        call.writer->respond({ .status = StatusOk, .body = "ok\n" });
        return true;
    }
    if (path == "/readyz") {
        if (call.snapshot->draining) {
            refuse(call, ErrorKind::Draining, "the node is draining");
        } else if (!call.snapshot->ready) {
            refuse(call, ErrorKind::NotReady, "this node has no active configuration yet");
        } else {
            call.writer->respond({ .status = StatusOk, .body = "ready\n" });
        }
        return true;
    }
    if (path == "/metrics") {
        events_.metrics(call.writer);
        return true;
    }
    return false;
}

bool CallerApi::isAuthorised(const HttpRequest &request) const
{
    const auto key = bearerKey(request);
    const auto snapshot = traffic_.snapshot.load();
    return key.has_value() && snapshot->configuration->teamOfKey(sha256Hex(*key)) != nullptr;
}

bool CallerApi::authenticate(Call &call)
{
    const auto key = bearerKey(call.request);
    if (!key.has_value()) {
        refuse(call, ErrorKind::Unauthorized,
               "header 'Authorization' with a bearer key is missing");
        return false;
    }
    call.team = call.snapshot->configuration->teamOfKey(sha256Hex(*key));
    if (call.team == nullptr) {
        refuse(call, ErrorKind::Unauthorized, "the bearer key belongs to no team");
        return false;
    }
    return true;
}

void CallerApi::listModels(const Call &call)
{
    Json::Value body;
    body["object"] = "list";
    body["data"] = Json::Value(Json::arrayValue);
    for (const auto &[id, model] : call.snapshot->configuration->models) {
        Json::Value entry;
        entry["id"] = id.text();
        entry["object"] = "model";
        entry["owned_by"] = "jacinthroad";
        body["data"].append(entry);
    }
    call.writer->respond({ .status = StatusOk,
                           .headers = { { "Content-Type", "application/json" } },
                           .body = writeJson(body) });
}

void CallerApi::handleModelCall(const Call &call, bool chat)
{
    // The prompt and the values.
    constexpr std::size_t Copies = 2;
    const auto valueMemory = estimateJsonMemory(call.request.body);
    if (valueMemory.has_value()
        && !call.request.memory->parsed.resize(Copies * call.request.body.size() + *valueMemory)) {
        refuse(call, ErrorKind::BodyMemoryFull, std::string(MemoryFull), std::string(MemoryRemedy));
        return;
    }
    auto request = readChatRequest(call.request.body, chat);
    if (!request.has_value()) {
        refuse(call, request.error().kind, request.error().message, request.error().remedy);
        return;
    }
    const Configuration &configuration = *call.snapshot->configuration;
    const auto model = configuration.models.find(request->model);
    if (model == configuration.models.end()) {
        refuse(call, ErrorKind::UnknownModel, "unknown model '" + request->model.text() + "'");
        return;
    }
    ResumePoint resume { .publicId = call.id };
    if (const auto header = findHeader(call.request.headers, "last-event-id")) {
        const auto resumePoint = parseLastEventId(*header);
        if (!resumePoint.has_value() || !request->stream) {
            refuse(call, ErrorKind::InvalidRequest,
                   "header 'Last-Event-ID' is not the id of a stream event",
                   "Send the id of the last event received, with the same body and 'stream' set.");
            return;
        }
        resume = *resumePoint;
    }
    const Instant now = std::chrono::steady_clock::now();
    std::optional<Instant> deadline;
    if (const auto header = findHeader(call.request.headers, DeadlineHeader)) {
        const auto deadlineMs = parseInteger<std::int64_t>(*header);
        if (!deadlineMs.has_value() || *deadlineMs <= 0 || *deadlineMs > MaximumDeadlineMs) {
            refuse(call, ErrorKind::InvalidRequest,
                   "header 'X-Request-Deadline-Ms' is not a number of milliseconds from 1 to "
                   "3600000",
                   "Use the longest acceptable wait in milliseconds, such as 2000.");
            return;
        }
        deadline = now + milliseconds(*deadlineMs);
    }
    const BlockKey salt = scopeSeed({ .team = call.team->id,
                                      .model = request->model,
                                      .version = model->second.version,
                                      .adapter = model->second.adapter });
    RequestInfo requestInfo {
        .id = RequestId(call.id),
        .team = call.team->id,
        .model = request->model,
        .blocks = blockKeys(salt, request->prompt, model->second.blockTokens),
        .promptTokens = static_cast<std::uint32_t>(request->prompt.size() / BytesPerToken) + 1,
        .maxOutputTokens = request->maxTokens,
        .fingerprint = hash64(call.request.body, salt),
        .arrived = now,
        .deadline = deadline,
        .resumeAfterTokens = resume.afterTokens,
    };
    auto session = std::make_shared<ModelSession>(
        traffic_, call.writer,
        ModelSessionOptions { .id = RequestId(call.id),
                              .number = call.number,
                              .publicId = resume.publicId,
                              .team = call.team->id,
                              .chat = std::move(*request),
                              .chatMemory = call.request.memory,
                              .salt = salt,
                              .resumeAfterTokens = resume.afterTokens });
    session->begin();
    events_.model(RequestId(call.id), session,
                  RequestArrived { .info = std::move(requestInfo),
                                   .teamWeight = call.team->weight,
                                   .teamLimit = call.team->maxConcurrent });
}

void CallerApi::handleServiceCall(Call call)
{
    const std::string rest = call.request.path.substr(ServicesPath.size());
    const std::string name = rest.substr(0, rest.find('/'));
    const std::string path = rest.size() > name.size() ? rest.substr(name.size()) : "/";
    const Configuration &configuration = *call.snapshot->configuration;
    const auto service = configuration.services.find(ServiceId(name));
    if (service == configuration.services.end()) {
        refuse(call, ErrorKind::UnknownService, "unknown service '" + name + "'");
        return;
    }
    if (call.snapshot->draining) {
        refuse(call, ErrorKind::Draining, "the node is draining");
        return;
    }
    std::string key;
    if (!service->second.isRetryable(call.request.method, path)) {
        const auto header = findHeader(call.request.headers, "idempotency-key");
        if (!header.has_value()) {
            refuse(call, ErrorKind::IdempotencyKeyMissing,
                   call.request.method + " " + path
                       + " is not retryable and requires header 'Idempotency-Key'");
            return;
        }
        if (!isIdempotencyKey(*header)) {
            refuse(call, ErrorKind::InvalidRequest,
                   "header 'Idempotency-Key' must have 1 to 255 printable characters",
                   "Use a UUID.");
            return;
        }
        key = *header;
    }
    const bool claimed = !key.empty();
    std::string target = percentEncode(path, true) + encodeQuery(call.request.query);
    auto session = std::make_shared<ServiceSession>(
        traffic_, call.writer,
        ServiceSessionOptions { .id = RequestId(call.id),
                                .number = call.number,
                                .team = call.team->id,
                                .service = service->second,
                                .request = std::move(call.request),
                                .target = std::move(target),
                                .idempotencyKey = std::move(key) });
    if (claimed) {
        events_.service(RequestId(call.id), session);
    }
    session->begin();
}

} // namespace jacinthroad
