#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jacinthroad {

/// Header fields in the order received; names are in lower case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field with this lower-case name.
[[nodiscard]] std::optional<std::string_view> findHeader(const HttpHeaders &headers,
                                                         std::string_view name);

/// An HTTP request with its complete body.
struct HttpRequest
{
    std::string method;
    /// Path without the query.
    std::string path;
    HttpHeaders query;
    HttpHeaders headers;
    std::string body;
    /// True if the body exceeded the server's limit; `body` is then empty.
    bool bodyTooLarge = false;
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
