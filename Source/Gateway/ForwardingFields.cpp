#include "Gateway/ForwardingFields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

#include <boost/beast/core/string.hpp>

namespace jacinthroad {

namespace {

constexpr const char *ByField = "Jacinthroad-Forwarded-By";
constexpr const char *ConfigurationField = "Jacinthroad-Forwarded-Configuration";
constexpr const char *SoftwareVersionField = "Jacinthroad-Forwarded-Software";
constexpr const char *RepeatedField = "Jacinthroad-Forwarded-Repeated";
constexpr const char *ServerField = "Jacinthroad-Forwarded-Server";
constexpr const char *ResultField = "Jacinthroad-Forwarded-Result";
constexpr const char *RefusalField = "Jacinthroad-Forwarded-Refusal";
/// Newer builds may have further fields with this prefix.
constexpr std::string_view FieldPrefix = "Jacinthroad-Forwarded-";

constexpr std::array<std::string_view, 5> OutcomeNames { "relayed", "declined", "not_sent",
                                                         "not_run", "unknown" };

std::string_view fieldValue(const HeaderFields &fields, const char *name)
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view()
                                 : std::string_view(found->value().data(), found->value().size());
}

/// Sets a field unless `value` is empty or would end the line.
void setField(HeaderFields &fields, const char *name, std::string_view value)
{
    const bool printable = std::all_of(value.begin(), value.end(), [](char character) {
        return static_cast<unsigned char>(character) >= ' ' && character != '\x7f';
    });
    if (!value.empty() && printable) {
        fields.set(name, { value.data(), value.size() });
    }
}

} // namespace

std::string_view forwardedOutcomeName(ForwardedOutcome outcome)
{
    return OutcomeNames[static_cast<std::size_t>(outcome)];
}

ForwardedOutcome outcomeOfRefusal(ErrorKind kind, bool sent, NotRun verdict)
{
    if (verdict != NotRun::True) {
        return ForwardedOutcome::Unknown;
    }
    if (sent) {
        return ForwardedOutcome::NotRun;
    }
    switch (kind) {
    case ErrorKind::Draining:
    case ErrorKind::NotReady:
    case ErrorKind::NoBackendServer:
    case ErrorKind::StreamOriginUnknown:
    case ErrorKind::BodyMemoryFull:
        return ForwardedOutcome::Declined;
    default:
        return ForwardedOutcome::NotSent;
    }
}

void setForwardedRequest(HeaderFields &fields, const ForwardedRequest &request)
{
    setField(fields, ByField, request.node);
    setField(fields, ConfigurationField, std::to_string(request.configurationVersion));
    setField(fields, SoftwareVersionField, request.softwareVersion);
    setField(fields, RepeatedField, request.repeated ? "1" : "");
    for (const ServerId &server : request.tried) {
        fields.insert(ServerField, server.text());
    }
}

std::optional<ForwardedRequest> readForwardedRequest(const HeaderFields &fields)
{
    ForwardedRequest request { .node = std::string(fieldValue(fields, ByField)),
                               .softwareVersion
                               = std::string(fieldValue(fields, SoftwareVersionField)),
                               .repeated = fields.count(RepeatedField) > 0 };
    const std::string_view version = fieldValue(fields, ConfigurationField);
    const char *end = version.data() + version.size();
    const auto parsed = std::from_chars(version.data(), end, request.configurationVersion);
    if (fields.count(ByField) != 1 || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    const auto [first, last] = fields.equal_range(ServerField);
    for (auto field = first; field != last; ++field) {
        request.tried.emplace_back(std::string(field->value().data(), field->value().size()));
    }
    return request;
}

void setForwardedResult(HeaderFields &fields, const ForwardedResult &result)
{
    setField(fields, ResultField, forwardedOutcomeName(result.outcome));
    setField(fields, RefusalField, result.refusal);
    setField(fields, ServerField, result.server.text());
    setField(fields, SoftwareVersionField, result.softwareVersion);
}

std::optional<ForwardedResult> readForwardedResult(const HeaderFields &fields)
{
    const std::string_view name = fieldValue(fields, ResultField);
    if (name.empty()) {
        return std::nullopt;
    }
    const auto *const known = std::find(OutcomeNames.begin(), OutcomeNames.end(), name);
    return ForwardedResult { .outcome = known == OutcomeNames.end()
                                 ? ForwardedOutcome::Unknown
                                 : static_cast<ForwardedOutcome>(known - OutcomeNames.begin()),
                             .refusal = std::string(fieldValue(fields, RefusalField)),
                             .server = ServerId(std::string(fieldValue(fields, ServerField))),
                             .softwareVersion
                             = std::string(fieldValue(fields, SoftwareVersionField)) };
}

void removeForwardingFields(HeaderFields &fields)
{
    for (auto field = fields.begin(); field != fields.end();) {
        const bool isForwarding
            = boost::beast::iequals(field->name_string().substr(0, FieldPrefix.size()),
                                    { FieldPrefix.data(), FieldPrefix.size() });
        field = isForwarding ? fields.erase(field) : std::next(field);
    }
}

} // namespace jacinthroad
