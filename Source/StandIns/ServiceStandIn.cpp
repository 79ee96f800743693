#include "StandIns/ServiceStandIn.h"

#include <utility>

#include <json/value.h>

#include "Core/Json.h"

namespace jacinthroad {

namespace {

constexpr int StatusOk = 200;
/// Memory of the requests and responses of a stand-in.
constexpr std::size_t MemoryBytes = 256 * 1024 * 1024;

} // namespace

ServiceStandIn::ServiceStandIn(std::uint16_t port)
{
    auto server = HttpServer::start(
        { .port = port }, std::make_shared<MemoryBudget>(MemoryBytes),
        [this](const HttpRequest &request, const std::shared_ptr<ResponseWriter> &writer) {
            handle(request, *writer);
        });
    if (server.has_value()) {
        server_ = std::move(*server);
    }
}

std::string ServiceStandIn::url() const
{
    return "http://127.0.0.1:" + std::to_string(server_ == nullptr ? 0 : server_->port());
}

std::map<std::string, int> ServiceStandIn::executions() const
{
    const std::scoped_lock lock(mutex_);
    return executions_;
}

void ServiceStandIn::handle(const HttpRequest &request, ResponseWriter &writer)
{
    Json::Value body;
    {
        const std::scoped_lock lock(mutex_);
        if (request.method != "GET") {
            ++bookings_;
            const auto key = findHeader(request.headers, "idempotency-key").value_or("");
            ++executions_[std::string(key)];
        }
        body["booking"] = Json::UInt64(bookings_);
        body["path"] = request.path;
    }
    if (dropNext_ > 0 && dropNext_-- > 0) {
        writer.abort();
        return;
    }
    writer.respond({ .status = StatusOk,
                     .headers = { { "Content-Type", "application/json" } },
                     .body = writeJson(body) });
}

} // namespace jacinthroad
