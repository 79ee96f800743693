#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "Claims/ClaimCoordinator.h"
#include "Http/ResponseWriter.h"
#include "Node/TrafficContext.h"
#include "Routing/DispatchRecord.h"

namespace jacinthroad {

/// Settings of a ServiceSession.
struct ServiceSessionOptions
{
    RequestId id;
    std::uint64_t number = 0;
    TeamId team;
    Service service;
    HttpRequest request;
    /// Path and query at the service.
    std::string target;
    /// Empty for retryable calls.
    std::string idempotencyKey;
};

/// One call to a plain service. A call that isn't retryable runs only once its claim is granted,
/// over a connection of its own, and its HTTP request is never resent; it goes to another instance
/// only if it provably wasn't sent to the first. Other calls are retried once at another instance.
/// Thread-safe.
class ServiceSession : public std::enable_shared_from_this<ServiceSession>
{
public:
    ServiceSession(TrafficContext &traffic, std::shared_ptr<ResponseWriter> writer,
                   ServiceSessionOptions options);

    /// Sends a retryable call, or requests the claim for one that isn't.
    void begin();
    /// Sends the claimed call.
    void run();
    /// Responds with the stored response of the first call.
    void replay(const StoredResponse &storedResponse);
    /// Responds with an error.
    void refuse(const RejectCall &effect);

    [[nodiscard]] const RequestId &id() const { return options_.id; }

private:
    [[nodiscard]] bool claimed() const { return !options_.idempotencyKey.empty(); }
    void send(std::size_t attemptIndex);
    void onEnd(std::size_t attemptIndex, CallOutcome outcome, CollectedResponse collected);
    void finishClaim(ClaimedCallOutcome end, StoredResponse storedResponse);
    void respond(StoredResponse response, std::shared_ptr<MemoryReservation> memory);
    void respondWithRefusal(ErrorKind kind);
    [[nodiscard]] std::string requestHash() const;

    TrafficContext &traffic_;
    std::shared_ptr<ResponseWriter> writer_;
    ServiceSessionOptions options_;
    std::shared_ptr<const std::string> body_;
    std::mutex mutex_;
    DispatchRecord record_;
};

} // namespace jacinthroad
