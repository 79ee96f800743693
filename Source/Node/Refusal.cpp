#include "Node/Refusal.h"

namespace jacinthroad {

HttpResponse refusalResponse(const Refusal &refusal)
{
    constexpr std::int64_t MillisecondsPerSecond = 1000;
    HttpResponse response { .status = errorResponse(refusal.kind).status,
                            .headers = { { "Content-Type", "application/json" } },
                            .body = refusalJson(refusal) };
    const std::int64_t retryAfterMs = retryAfterMsOf(refusal);
    if (retryAfterMs > 0) {
        const std::int64_t seconds
            = (retryAfterMs + MillisecondsPerSecond - 1) / MillisecondsPerSecond;
        response.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    return response;
}

} // namespace jacinthroad
