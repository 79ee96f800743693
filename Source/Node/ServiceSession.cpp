#include "Node/ServiceSession.h"

#include <chrono>
#include <utility>

#include "Core/Hashing.h"
#include "Core/WallClock.h"
#include "Node/Refusal.h"

namespace jacinthroad {

namespace {

constexpr std::size_t MaximumAttempts = 2;
/// Maximum size in bytes of the body of a response, and of one that is stored for replay.
constexpr std::size_t MaximumResponseBytes = 16 * 1024 * 1024;
constexpr std::size_t MaximumStoredResponseBytes = ClaimCoordinatorOptions {}.maximumResponseBytes;
// Longest wait of a caller for its claim.
constexpr Duration ClaimTimeout = std::chrono::seconds(3);

std::string contentTypeOf(const HttpResponse &response)
{
    return std::string(
        findHeader(response.headers, "content-type").value_or("application/octet-stream"));
}

} // namespace

ServiceSession::ServiceSession(TrafficContext &traffic, std::shared_ptr<ResponseWriter> writer,
                               ServiceSessionOptions options)
    : traffic_(traffic)
    , writer_(std::move(writer))
    , options_(std::move(options))
    , body_(std::make_shared<const std::string>(std::move(options_.request.body)))
{ }

std::string ServiceSession::requestHash() const
{
    return sha256Hex(options_.request.method + " " + options_.target + "\n" + *body_);
}

void ServiceSession::begin()
{
    if (!claimed()) {
        send(0);
        return;
    }
    const std::string key = options_.team.text() + "/" + options_.idempotencyKey;
    const std::uint64_t shard = hash64(key) % options_.service.claimShards;
    traffic_.control.post(ClaimMessage(ClaimRequest {
        .id = options_.id,
        .shard = "claims/" + options_.service.id.text() + "/" + std::to_string(shard),
        .key = key,
        .bodyHash = requestHash(),
        .nonce = options_.id.text(),
        .nowMs = wallMilliseconds(),
        .deadline = std::chrono::steady_clock::now() + ClaimTimeout }));
}

void ServiceSession::run()
{
    send(0);
}

void ServiceSession::send(std::size_t attemptIndex)
{
    {
        const std::scoped_lock lock(mutex_);
        record_.noteStarted();
    }
    const auto &urls = options_.service.urls;
    const std::string &base = urls[(options_.number + attemptIndex) % urls.size()];
    HttpCall call { .method = options_.request.method,
                    .url = base + options_.target,
                    .body = body_,
                    .totalTimeout = options_.service.callTimeout,
                    .ownConnection = true };
    if (const auto type = findHeader(options_.request.headers, "content-type")) {
        call.headers.emplace_back("Content-Type", *type);
    }
    if (claimed()) {
        call.headers.emplace_back("Idempotency-Key", options_.idempotencyKey);
    }
    call.headers.emplace_back("X-Request-Id", options_.id.text());
    call.headers.emplace_back("X-Team", options_.team.text());
    const auto self = shared_from_this();
    traffic_.client(options_.number)
        .collect(std::move(call), MaximumResponseBytes,
                 [self, attemptIndex](CallOutcome outcome, CollectedResponse collected) {
                     self->onEnd(attemptIndex, outcome, std::move(collected));
                 });
}

void ServiceSession::onEnd(std::size_t attemptIndex, CallOutcome outcome,
                           CollectedResponse collected)
{
    const bool notSent = outcome == CallOutcome::NotSent;
    const bool responded = outcome == CallOutcome::Completed;
    {
        const std::scoped_lock lock(mutex_);
        if (responded) {
            record_.noteRan();
        } else if (notSent) {
            record_.noteNotRun();
        } else {
            record_.noteMayHaveRun();
        }
    }
    if (responded) {
        HttpResponse &response = collected.response;
        StoredResponse storedResponse { .status = response.status,
                                        .contentType = contentTypeOf(response),
                                        .body = std::move(response.body) };
        if (claimed()) {
            // A longer one isn't stored.
            const bool stored = storedResponse.body.size() <= MaximumStoredResponseBytes;
            finishClaim(ClaimedCallOutcome::Responded,
                        stored ? storedResponse
                               : StoredResponse { .status = storedResponse.status,
                                                  .contentType = storedResponse.contentType,
                                                  .complete = false });
        }
        respond(std::move(storedResponse), std::move(collected.memory));
        return;
    }
    // Given back before another instance is asked.
    collected = {};
    // A claimed call that was provably not sent may go to another instance as well.
    const bool stopping = outcome == CallOutcome::Cancelled;
    const bool retryAllowed = !stopping && (notSent || !claimed());
    if (retryAllowed && attemptIndex + 1 < MaximumAttempts) {
        send(attemptIndex + 1);
        return;
    }
    finishClaim(notSent ? ClaimedCallOutcome::NotSent : ClaimedCallOutcome::Uncertain, {});
    respondWithRefusal(notSent || !claimed() ? ErrorKind::BackendFailed
                                             : ErrorKind::OutcomeUnknown);
}

void ServiceSession::finishClaim(ClaimedCallOutcome end, StoredResponse storedResponse)
{
    if (claimed()) {
        traffic_.control.post(
            ClaimMessage(CallFinished { .id = options_.id,
                                        .callOutcome = end,
                                        .storedResponse = std::move(storedResponse),
                                        .nowMs = wallMilliseconds() }));
    }
}

void ServiceSession::replay(const StoredResponse &storedResponse)
{
    respond(storedResponse, nullptr);
}

void ServiceSession::respond(StoredResponse response, std::shared_ptr<MemoryReservation> memory)
{
    writer_->respond({ .status = response.status,
                       .headers = { { "Content-Type", std::move(response.contentType) },
                                    { "X-Request-Id", options_.id.text() } },
                       .body = std::move(response.body) },
                     std::move(memory));
}

void ServiceSession::refuse(const RejectCall &effect)
{
    if (effect.earlierCallMayHaveRun) {
        const std::scoped_lock lock(mutex_);
        record_.noteStarted();
        record_.noteMayHaveRun();
    }
    respondWithRefusal(effect.kind);
}

void ServiceSession::respondWithRefusal(ErrorKind kind)
{
    const std::scoped_lock lock(mutex_);
    writer_->respond(refusalResponse(
        { .kind = kind, .requestId = options_.id.text(), .notRun = record_.verdict() }));
}

} // namespace jacinthroad
