#include "Gateway/GatewaySettings.h"

#include <algorithm>
#include <array>

#include "Core/Json.h"
#include "Gateway/UnknownSettings.h"

namespace jacinthroad {

namespace {

constexpr double MaxMilliseconds = 3600000;
constexpr std::array<std::string_view, 1> EdgeChoices { "gateway" };
constexpr std::array<std::string_view, 4> LevelChoices { "debug", "info", "warning", "error" };

constexpr std::array<FieldRule, 2> NodeFields { {
    { .name = "name",
      .type = FieldType::String,
      .required = true,
      .help = "name of this entry VM, unique in the fleet" },
    { .name = "zone",
      .type = FieldType::String,
      .required = true,
      .help = "availability zone of this entry VM" },
} };
constexpr ObjectSchema NodeSchema { "node", NodeFields };

constexpr std::array<FieldRule, 6> ListenFields { {
    { .name = "callers",
      .type = FieldType::String,
      .required = true,
      .help = "IP:port for callers" },
    { .name = "readiness",
      .type = FieldType::String,
      .required = true,
      .help = "IP:port for the balancer's readiness check" },
    { .name = "readiness_path",
      .type = FieldType::String,
      .defaultText = "\"/readyz\"",
      .help = "path of the readiness check" },
    { .name = "metrics",
      .type = FieldType::String,
      .defaultText = "\"\"",
      .help = "IP:port that serves /metrics; empty serves none" },
    { .name = "peers",
      .type = FieldType::String,
      .defaultText = "\"\"",
      .help = "IP:port for datagrams and, over TCP, objects of the store between nodes; empty "
              "sends peers nothing" },
    { .name = "forwarding",
      .type = FieldType::String,
      .defaultText = "\"\"",
      .help = "IP:port for requests that nodes forward which can't reach the backend servers; "
              "needs 'peers'; empty takes none and forwards none" },
} };
constexpr ObjectSchema ListenSchema { "listen", ListenFields };

constexpr std::array<FieldRule, 1> StoreFields { {
    { .name = "address",
      .type = FieldType::String,
      .required = true,
      .help = "IP:port of the platform's object store" },
} };
constexpr ObjectSchema StoreSchema { "store", StoreFields };

constexpr std::array<FieldRule, 1> LimitFields { {
    { .name = "link_mbps",
      .type = FieldType::Number,
      .defaultText = "0",
      .minimum = 0,
      .maximum = 1000000,
      .unit = "Mbit/s",
      .help = "link of this node; nodes with wide links read the store for their zone; 0 if it is "
              "not known" },
} };
constexpr ObjectSchema LimitSchema { "limits", LimitFields };

constexpr std::array<FieldRule, 1> MemoryFields { {
    { .name = "total_mb",
      .type = FieldType::Number,
      .defaultText = "128",
      .minimum = 1,
      .maximum = 1000000,
      .unit = "MB",
      .help = "memory that this process may use; requests with long bodies are refused while too "
              "many of them are held" },
} };
constexpr ObjectSchema MemorySchema { "memory", MemoryFields };

constexpr FieldRule millisecondsRule(std::string_view name, std::string_view defaultText,
                                     std::string_view help)
{
    return { .name = name,
             .type = FieldType::Integer,
             .defaultText = defaultText,
             .minimum = 1,
             .maximum = MaxMilliseconds,
             .unit = "ms",
             .help = help };
}

constexpr FieldRule secondsRule(std::string_view name, std::string_view defaultText,
                                std::string_view help)
{
    return { .name = name,
             .type = FieldType::Number,
             .defaultText = defaultText,
             .minimum = 0.001,
             .maximum = MaxMilliseconds / 1000,
             .unit = "s",
             .help = help };
}

constexpr std::array<FieldRule, 8> BoundFields { {
    millisecondsRule("key_revocation_ms", "5000", "time after which a revoked key is rejected"),
    millisecondsRule("configuration_ms", "2000",
                     "time within which a new configuration comes into force"),
    secondsRule("stop_grace_s", "8", "time from SIGTERM to SIGKILL"),
    millisecondsRule("lease_ms", "3000",
                     "minimum time between the orders of two holders of a lease"),
    millisecondsRule("weights_ms", "15000",
                     "time within which all servers run the desired weights"),
    { .name = "repeat_share",
      .type = FieldType::Number,
      .defaultText = "0.2",
      .minimum = 0,
      .maximum = 1,
      .help = "share of a service's requests that all nodes together may retry" },
    { .name = "repeat_allowance",
      .type = FieldType::Number,
      .defaultText = "20",
      .minimum = 0,
      .maximum = 1000000,
      .unit = "sends",
      .help = "retries above that share, for all nodes together, in a window" },
    secondsRule("repeat_window_s", "10", "length of that window"),
} };
constexpr ObjectSchema BoundSchema { "bounds", BoundFields };

constexpr std::array<FieldRule, 2> LogFields { {
    { .name = "level",
      .type = FieldType::String,
      .defaultText = "\"info\"",
      .choices = LevelChoices,
      .help = "lowest severity that is logged" },
    { .name = "lines_per_s",
      .type = FieldType::Integer,
      .defaultText = "400",
      .minimum = 0,
      .maximum = 100000,
      .unit = "lines/s",
      .help = "maximum number of log lines per second, ten times the decisions of a node at "
              "normal load; 0 sets no limit; dropped lines are counted" },
} };
constexpr ObjectSchema LogSchema { "log", LogFields };

const std::array<FieldRule, 8> &rootFields()
{
    static const std::array<FieldRule, 8> Fields { {
        { .name = "edge",
          .type = FieldType::String,
          .required = true,
          .choices = EdgeChoices,
          .help = "'gateway' routes by host and path to listed backend servers" },
        { .name = "node",
          .type = FieldType::Object,
          .required = true,
          .nested = &NodeSchema,
          .help = "identity of this node" },
        { .name = "listen",
          .type = FieldType::Object,
          .required = true,
          .nested = &ListenSchema,
          .help = "addresses to listen on" },
        { .name = "store",
          .type = FieldType::Object,
          .required = true,
          .nested = &StoreSchema,
          .help = "the platform's object store" },
        { .name = "bounds",
          .type = FieldType::Object,
          .nested = &BoundSchema,
          .help = "limits that operators set for the fleet" },
        { .name = "limits",
          .type = FieldType::Object,
          .nested = &LimitSchema,
          .help = "what this node's machine has" },
        { .name = "memory",
          .type = FieldType::Object,
          .nested = &MemorySchema,
          .help = "memory of this node" },
        { .name = "log", .type = FieldType::Object, .nested = &LogSchema, .help = "logging" },
    } };
    return Fields;
}

} // namespace

const ObjectSchema &gatewaySettingsSchema()
{
    static const ObjectSchema Schema { "Gateway settings", rootFields() };
    return Schema;
}

bool isGatewaySettings(std::string_view text)
{
    const auto document = parseJson(text);
    return document.has_value() && document->isObject() && document->isMember("edge");
}

std::vector<std::string> checkGatewaySettings(std::string_view text, std::string_view fileName)
{
    const auto document = parseJson(text);
    if (!document.has_value()) {
        return { std::string(fileName) + ": " + document.error().message + " "
                 + document.error().remedyText() };
    }
    std::vector<std::string> lines;
    for (const Fault &fault : checkAgainst(gatewaySettingsSchema(), *document)) {
        lines.push_back(describeFault(fault, fileName, text));
    }
    return lines;
}

Result<GatewaySettings> readGatewaySettings(std::string_view text, std::string_view fileName)
{
    const std::vector<std::string> faults = checkGatewaySettings(text, fileName);
    if (faults.size() > unknownGatewaySettings(text, fileName).size()) {
        return makeError(ErrorKind::InvalidSettings, joinLines(faults));
    }
    const Json::Value document = *parseJson(text);
    const FieldReader node(NodeSchema, document["node"]);
    const FieldReader listen(ListenSchema, document["listen"]);
    const FieldReader store(StoreSchema, document["store"]);
    const FieldReader bounds(BoundSchema, document["bounds"]);
    const FieldReader limits(LimitSchema, document["limits"]);
    const FieldReader memory(MemorySchema, document["memory"]);
    const FieldReader log(LogSchema, document["log"]);
    const std::string level = log.text("level");
    const auto levelAt = std::find(LevelChoices.begin(), LevelChoices.end(), level);
    return GatewaySettings {
        .name = node.text("name"),
        .zone = node.text("zone"),
        .callerAddress = listen.text("callers"),
        .readinessAddress = listen.text("readiness"),
        .readinessPath = listen.text("readiness_path"),
        .metricsAddress = listen.text("metrics"),
        .peerAddress = listen.text("peers"),
        .forwardingAddress = listen.text("forwarding"),
        .storeAddress = store.text("address"),
        .linkMbps = limits.number("link_mbps"),
        .memoryMb = memory.number("total_mb"),
        .keyRevocation = milliseconds(bounds.integer("key_revocation_ms")),
        .configurationLimit = milliseconds(bounds.integer("configuration_ms")),
        .stopGrace = fromMilliseconds(bounds.number("stop_grace_s") * 1000),
        .lease = milliseconds(bounds.integer("lease_ms")),
        .weightsLimit = milliseconds(bounds.integer("weights_ms")),
        .retryShare = bounds.number("repeat_share"),
        .retryAllowance = bounds.number("repeat_allowance"),
        .retryWindow = fromMilliseconds(bounds.number("repeat_window_s") * 1000),
        .log = { .minimumLevel = static_cast<LogLevel>(levelAt - LevelChoices.begin()),
                 .json = true,
                 .standardOutput = true,
                 .linesPerSecond = static_cast<std::uint32_t>(log.integer("lines_per_s")) },
    };
}

} // namespace jacinthroad
