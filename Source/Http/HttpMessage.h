#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Core/MemoryBudget.h"

namespace jacinthroad {

/// Header fields in the order received; names are in lower case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Memory in bytes that the fields take.
[[nodiscard]] std::size_t headerMemory(const HttpHeaders &headers);

/// Returns the value of the first field with this lower-case name.
[[nodiscard]] std::optional<std::string_view> findHeader(const HttpHeaders &headers,
                                                         std::string_view name);

/// Why the body of a request was read without keeping it.
enum class BodyLoss : std::uint8_t {
    /// It was kept.
    None,
    /// The sender isn't one from which a body is taken.
    NotWanted,
    /// It exceeded the server's limit.
    TooLarge,
    /// Other requests and responses take the memory that it needs.
    NoMemory,
};

/// Memory of a request, held for as long as the request is.
struct RequestMemory
{
    explicit RequestMemory(const std::shared_ptr<MemoryBudget> &budget)
        : header(budget, BodyKind::Request)
        , body(budget, BodyKind::Request)
        , parsed(budget, BodyKind::Response)
    { }

    MemoryReservation header;
    MemoryReservation body;
    /// Of what a handler makes of the body. A request that was accepted is to be answered.
    MemoryReservation parsed;
};

/// An HTTP request with its complete body.
struct HttpRequest
{
    std::string method;
    /// Path without the query.
    std::string path;
    HttpHeaders query;
    HttpHeaders headers;
    std::string body;
    /// Unless None, `body` is empty.
    BodyLoss bodyLoss = BodyLoss::None;
    std::shared_ptr<RequestMemory> memory {};
};

/// An HTTP response with its complete body.
struct HttpResponse
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// Percent-encodes every character except the unreserved ones and, in a path, the slash.
[[nodiscard]] std::string percentEncode(std::string_view text, bool isPath);

/// Returns the encoded query string with a leading question mark, or an empty string if there are
/// no fields.
[[nodiscard]] std::string encodeQuery(const HttpHeaders &query);

/// Converts ASCII letters to lower case.
[[nodiscard]] std::string toLower(std::string_view text);

} // namespace jacinthroad
