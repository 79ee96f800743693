#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jacinthroad {

/// Header fields in order of arrival; names are in lower case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// The first field of that lower-case name.
[[nodiscard]] std::optional<std::string_view> findHeader(const HttpHeaders &headers,
                                                         std::string_view name);

/// One request with its whole body.
struct HttpRequest
{
    std::string method;
    /// Path without the query.
    std::string path;
    HttpHeaders query;
    HttpHeaders headers;
    std::string body;
    /// The body was longer than the server's limit; `body` then holds nothing.
    bool bodyTooLarge = false;
};

/// One answer with its whole body.
struct HttpResponse
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// Percent-encodes all but unreserved characters and, in a path, the slash.
[[nodiscard]] std::string percentEncode(std::string_view text, bool isPath);

/// The query as text with its question mark; empty for no fields.
[[nodiscard]] std::string encodeQuery(const HttpHeaders &query);

/// ASCII lower case.
[[nodiscard]] std::string toLower(std::string_view text);

} // namespace jacinthroad
