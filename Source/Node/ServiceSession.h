#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "Claims/ClaimCoordinator.h"
#include "Http/ResponseWriter.h"
#include "Node/Traffic.h"
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
    /// Path at the service, with the query.
    std::string target;
    /// Empty for calls that may be repeated.
    std::string idempotencyKey;
};

/// One call to a plain service. A call that may not be repeated runs only when the claim book
/// says so, over a connection of its own, and is never sent twice; others are tried once more
/// at another instance. Methods may be called from any thread.
class ServiceSession : public std::enable_shared_from_this<ServiceSession>
{
public:
    ServiceSession(Traffic &traffic, std::shared_ptr<ResponseWriter> writer,
                   ServiceSessionOptions options);

    /// Starts a repeatable call, or asks for the claim of another.
    void begin();
    /// Runs the claimed call.
    void run();
    /// Answers with the first call's answer.
    void replay(const StoredResponse &answer);
    /// Refuses the call.
    void refuse(const RejectCall &effect);

    [[nodiscard]] const RequestId &id() const { return options_.id; }

private:
    [[nodiscard]] bool claimed() const { return !options_.idempotencyKey.empty(); }
    void send(std::size_t tryNumber);
    void onEnd(std::size_t tryNumber, CallOutcome outcome, const HttpResponse &response);
    void finishClaim(ClaimedCallOutcome end, const StoredResponse &answer);
    void answerRefusal(ErrorKind kind);
    [[nodiscard]] std::string callHash() const;

    Traffic &traffic_;
    std::shared_ptr<ResponseWriter> writer_;
    ServiceSessionOptions options_;
    std::mutex mutex_;
    DispatchRecord record_;
};

} // namespace jacinthroad
