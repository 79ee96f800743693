#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "Core/ErrorKind.h"
#include "Core/Ids.h"
#include "Core/Refusal.h"

namespace jacinthroad {

/// What a node that forwards a caller's request tells the helping node, beside the caller's own
/// header.
struct ForwardedRequest
{
    /// Name of the node that forwards it.
    std::string node;
    /// Version of the configuration under which the request was admitted.
    std::uint64_t configurationVersion = 0;
    /// The software version that the request is bound to; empty while it may go to any.
    std::string softwareVersion;
    /// The request may have run already, so that it must not be rejected to shorten a queue.
    bool repeated = false;
    /// Servers that it must not be sent to again.
    std::vector<ServerId> tried;
};

/// What the helping node has done with a forwarded request.
enum class ForwardedOutcome : std::uint8_t {
    /// The response is that of a backend server.
    Relayed,
    /// Refused without sending it, for a reason of this node; another one may help.
    Declined,
    /// Refused without sending it, for a reason of the request.
    NotSent,
    /// The server that it was sent to stated that it did not run it.
    NotRun,
    /// It may have run.
    Unknown,
};

/// What the helping node tells in its response.
struct ForwardedResult
{
    ForwardedOutcome outcome = ForwardedOutcome::Unknown;
    /// Name of the refusal's kind; empty for a relayed response.
    std::string refusal;
    /// The server that the request was sent to; empty if to none.
    ServerId server;
    std::string softwareVersion;
};

using HeaderFields = boost::beast::http::fields;

/// Names of the outcomes, as sent and as counted.
[[nodiscard]] std::string_view forwardedOutcomeName(ForwardedOutcome outcome);

/// Returns what a refusal with this kind and verdict is to the node that has forwarded the request;
/// `sent` tells whether it was sent to a server.
[[nodiscard]] ForwardedOutcome outcomeOfRefusal(ErrorKind kind, bool sent, NotRun verdict);

/// Sets the fields of a request to a helping node.
void setForwardedRequest(HeaderFields &fields, const ForwardedRequest &request);
/// Decodes them; nullopt if they are missing or malformed.
[[nodiscard]] std::optional<ForwardedRequest> readForwardedRequest(const HeaderFields &fields);
/// Sets the fields of a helping node's response.
void setForwardedResult(HeaderFields &fields, const ForwardedResult &result);
/// Decodes them; nullopt if the response is not that of a helping node. An outcome that this build
/// doesn't know is Unknown.
[[nodiscard]] std::optional<ForwardedResult> readForwardedResult(const HeaderFields &fields);
/// Removes all fields that nodes set for each other, also those of other builds, whoever has sent
/// them.
void removeForwardingFields(HeaderFields &fields);

} // namespace jacinthroad
