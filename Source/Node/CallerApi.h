#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Http/HttpMessage.h"
#include "Http/ResponseWriter.h"
#include "Node/ModelSession.h"
#include "Node/Refusal.h"
#include "Node/ServiceSession.h"
#include "Node/TrafficContext.h"

namespace jacinthroad {

/// HTTP interface for callers: authenticates and validates requests and creates a session for
/// each. Runs on the threads of the HTTP server.
class CallerApi
{
public:
    /// Callbacks that receive a new session before its first message is posted, of calls of
    /// services only those with a claim, or the writer of a request for /metrics.
    struct Events
    {
        std::function<void(const RequestId &, const std::shared_ptr<ModelSession> &,
                           RequestArrived)>
            model;
        std::function<void(const RequestId &, const std::shared_ptr<ServiceSession> &)> service;
        std::function<void(std::shared_ptr<ResponseWriter>)> metrics;
    };

    /// `idPrefix` starts every request id and makes ids unique across nodes and restarts.
    CallerApi(TrafficContext &traffic, std::string idPrefix, Events events);

    /// True if a request carries the key of a team. Thread-safe.
    [[nodiscard]] bool isAuthorised(const HttpRequest &request) const;
    /// Handles one request and responds through `writer`, now or from a session.
    void handle(HttpRequest request, const std::shared_ptr<ResponseWriter> &writer);

private:
    struct Call
    {
        HttpRequest request;
        std::shared_ptr<ResponseWriter> writer;
        std::shared_ptr<const NodeSnapshot> snapshot;
        std::string id;
        std::uint64_t number = 0;
        const Team *team = nullptr;
    };

    [[nodiscard]] bool handleProbe(const Call &call);
    [[nodiscard]] bool authenticate(Call &call);
    void handleModelCall(const Call &call, bool chat);
    void listModels(const Call &call);
    void handleServiceCall(Call call);
    static void refuse(const Call &call, ErrorKind kind, const std::string &message = {},
                       const std::string &remedy = {});

    TrafficContext &traffic_;
    std::string idPrefix_;
    Events events_;
    std::atomic<std::uint64_t> lastNumber_ { 0 };
};

} // namespace jacinthroad
