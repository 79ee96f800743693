#include "Node/NodeSettings.h"

#include <algorithm>
#include <array>

#include "Configuration/Configuration.h"
#include "Configuration/ConfigurationSchema.h"
#include "Core/Json.h"
#include "Routing/Policy.h"

namespace jacinthroad {

namespace {

constexpr double MaximumPort = 65535;
constexpr double MaximumMilliseconds = 3600000;

constexpr std::array<FieldRule, 2> NodeFields { {
    { .name = "name",
      .type = FieldType::String,
      .required = true,
      .help = "unique name of this entry VM, as listed by the platform" },
    { .name = "zone",
      .type = FieldType::String,
      .required = true,
      .help = "availability zone of this entry VM" },
} };
constexpr ObjectSchema NodeSchema { "node", NodeFields };

constexpr std::array<FieldRule, 4> ListenFields { {
    { .name = "address",
      .type = FieldType::String,
      .defaultText = "\"127.0.0.1\"",
      .help = "IP address to listen on" },
    { .name = "caller_port",
      .type = FieldType::Integer,
      .defaultText = "8080",
      .minimum = 0,
      .maximum = MaximumPort,
      .help = "TCP port for callers; 0 selects a free port" },
    { .name = "operator_port",
      .type = FieldType::Integer,
      .defaultText = "8081",
      .minimum = 0,
      .maximum = MaximumPort,
      .help = "TCP port for operators and peers; 0 selects a free port" },
    { .name = "peer_port",
      .type = FieldType::Integer,
      .defaultText = "8082",
      .minimum = 0,
      .maximum = MaximumPort,
      .help = "UDP port for peers' datagrams; 0 selects a free port" },
} };
constexpr ObjectSchema ListenSchema { "listen", ListenFields };

constexpr std::array<FieldRule, 3> PlatformFields { {
    { .name = "url",
      .type = FieldType::String,
      .required = true,
      .help = "base URL of the platform's object API, with an IP address as host" },
    { .name = "timeout_ms",
      .type = FieldType::Integer,
      .defaultText = "2000",
      .minimum = 10,
      .maximum = MaximumMilliseconds,
      .unit = "ms",
      .help = "timeout of a call to the platform" },
    { .name = "vm_poll_ms",
      .type = FieldType::Integer,
      .defaultText = "1000",
      .minimum = 10,
      .maximum = MaximumMilliseconds,
      .unit = "ms",
      .help = "interval between polls of the list of VMs" },
} };
constexpr ObjectSchema PlatformSchema { "platform", PlatformFields };

constexpr std::array<FieldRule, 5> PeerFields { {
    { .name = "addresses",
      .type = FieldType::Strings,
      .defaultText = "[]",
      .help = "IP:port of some peers; others are discovered through the platform" },
    { .name = "key",
      .type = FieldType::String,
      .required = true,
      .help = "secret shared by all nodes, at least 16 characters" },
    { .name = "interval_ms",
      .type = FieldType::Integer,
      .defaultText = "200",
      .minimum = 1,
      .maximum = MaximumMilliseconds,
      .unit = "ms",
      .help = "interval between datagrams to each peer; longer when the byte budget requires it" },
    { .name = "bytes_per_s",
      .type = FieldType::Integer,
      .defaultText = "8000",
      .minimum = 500,
      .maximum = 100000000,
      .unit = "bytes/s",
      .help = "byte budget for datagrams to all peers together" },
    { .name = "sample_one_in",
      .type = FieldType::Integer,
      .defaultText = "16",
      .minimum = 0,
      .maximum = 65536,
      .help = "one in this many cached blocks is reported to peers; 0 reports none" },
} };
constexpr ObjectSchema PeerSchema { "peers", PeerFields };

constexpr std::array<FieldRule, 7> LimitFields { {
    { .name = "traffic_threads",
      .type = FieldType::Integer,
      .defaultText = "1",
      .minimum = 1,
      .maximum = 64,
      .unit = "threads",
      .help = "threads for caller connections, and as many for backend connections" },
    { .name = "max_body_bytes",
      .type = FieldType::Integer,
      .defaultText = "4194304",
      .minimum = 1024,
      .maximum = 1073741824,
      .unit = "bytes",
      .help = "maximum size of a request body" },
    { .name = "max_header_bytes",
      .type = FieldType::Integer,
      .defaultText = "32768",
      .minimum = 4096,
      .maximum = 1048576,
      .unit = "bytes",
      .help = "maximum size of the request line and headers together" },
    { .name = "stream_buffer_bytes",
      .type = FieldType::Integer,
      .defaultText = "65536",
      .minimum = 4096,
      .maximum = 67108864,
      .unit = "bytes",
      .help = "response bytes buffered for one slow caller before its engine stream is paused" },
    { .name = "response_memory_bytes",
      .type = FieldType::Integer,
      .defaultText = "134217728",
      .minimum = 16777216,
      .maximum = 1099511627776,
      .unit = "bytes",
      .help = "memory that requests and responses take together until they are passed on" },
    { .name = "max_connections",
      .type = FieldType::Integer,
      .defaultText = "4096",
      .minimum = 16,
      .maximum = 100000,
      .unit = "connections",
      .help = "maximum number of open caller connections" },
    { .name = "idle_timeout_s",
      .type = FieldType::Integer,
      .defaultText = "30",
      .minimum = 1,
      .maximum = 3600,
      .unit = "s",
      .help = "time after which an idle caller connection is closed" },
} };
constexpr ObjectSchema LimitSchema { "limits", LimitFields };

constexpr std::array<std::string_view, 4> PolicyChoices { "round-robin", "least-outstanding",
                                                          "prefix-hash", "default" };

constexpr std::array<FieldRule, 5> RoutingFields { {
    { .name = "policy",
      .type = FieldType::String,
      .defaultText = "\"default\"",
      .choices = PolicyChoices,
      .help = "policy that selects the backend server" },
    { .name = "tick_ms",
      .type = FieldType::Integer,
      .defaultText = "10",
      .minimum = 1,
      .maximum = 1000,
      .unit = "ms",
      .help = "interval between passes over the waiting requests" },
    { .name = "stall_ms",
      .type = FieldType::Integer,
      .defaultText = "2000",
      .minimum = 10,
      .maximum = MaximumMilliseconds,
      .unit = "ms",
      .help
      = "minimum time without data before a stream counts as stalled and is resumed elsewhere" },
    { .name = "hedge_ms",
      .type = FieldType::Integer,
      .defaultText = "400",
      .minimum = 1,
      .maximum = MaximumMilliseconds,
      .unit = "ms",
      .help = "minimum wait for a first token before a second server is tried" },
    { .name = "drain_lag_ms",
      .type = FieldType::Integer,
      .defaultText = "3000",
      .minimum = 0,
      .maximum = MaximumMilliseconds,
      .unit = "ms",
      .help = "time that the load balancer needs to notice that /readyz fails" },
} };
constexpr ObjectSchema RoutingSchema { "routing", RoutingFields };

constexpr std::array<std::string_view, 4> LevelChoices { "debug", "info", "warning", "error" };
constexpr std::array<std::string_view, 2> FormatChoices { "json", "text" };

constexpr std::array<FieldRule, 2> LogFields { {
    { .name = "level",
      .type = FieldType::String,
      .defaultText = "\"info\"",
      .choices = LevelChoices,
      .help = "minimum severity that is logged" },
    { .name = "format",
      .type = FieldType::String,
      .defaultText = "\"json\"",
      .choices = FormatChoices,
      .help = "format of log lines" },
} };
constexpr ObjectSchema LogSchema { "log", LogFields };

constexpr std::array<FieldRule, 2> OperatorFields { {
    { .name = "key_sha256",
      .type = FieldType::String,
      .required = true,
      .help = "SHA-256 of the operators' bearer key, 64 hexadecimal digits" },
    { .name = "name",
      .type = FieldType::String,
      .defaultText = "\"operator\"",
      .help = "name shown in the history for patches without an author" },
} };
constexpr ObjectSchema OperatorSchema { "operators", OperatorFields };

const std::array<FieldRule, 9> &rootFields()
{
    static const std::array<FieldRule, 9> Fields { {
        { .name = "node",
          .type = FieldType::Object,
          .required = true,
          .nested = &NodeSchema,
          .help = "identity of this node" },
        { .name = "listen",
          .type = FieldType::Object,
          .nested = &ListenSchema,
          .help = "address and ports to listen on" },
        { .name = "platform",
          .type = FieldType::Object,
          .required = true,
          .nested = &PlatformSchema,
          .help = "access to the platform's object API" },
        { .name = "peers",
          .type = FieldType::Object,
          .required = true,
          .nested = &PeerSchema,
          .help = "communication between nodes" },
        { .name = "operators",
          .type = FieldType::Object,
          .required = true,
          .nested = &OperatorSchema,
          .help = "access for operators" },
        { .name = "limits",
          .type = FieldType::Object,
          .nested = &LimitSchema,
          .help = "limits for callers" },
        { .name = "routing",
          .type = FieldType::Object,
          .nested = &RoutingSchema,
          .help = "routing of requests" },
        { .name = "log", .type = FieldType::Object, .nested = &LogSchema, .help = "logging" },
        { .name = "configuration",
          .type = FieldType::Object,
          .nested = &configurationSchema(),
          .help = "initial version of the operators' objects, used when the platform has none" },
    } };
    return Fields;
}

std::vector<Fault> findFaults(const Json::Value &document)
{
    std::vector<Fault> faults = checkAgainst(nodeSettingsSchema(), document);
    if (!document.isObject()) {
        return faults;
    }
    constexpr std::size_t MinimumKeyLength = 16;
    const Json::Value &peers = document["peers"];
    if (peers.isObject() && peers["key"].isString()
        && peers["key"].asString().size() < MinimumKeyLength) {
        faults.push_back({ .path = "peers.key",
                           .offset = peers["key"].getOffsetStart(),
                           .message = "is too short.",
                           .remedy = "Write at least 16 characters." });
    }
    if (faults.empty() && document.isMember("configuration")) {
        for (Fault &fault : checkConfiguration(document["configuration"])) {
            fault.path = "configuration." + fault.path;
            faults.push_back(std::move(fault));
        }
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault &a, const Fault &b) { return a.offset < b.offset; });
    return faults;
}

LogLevel parseLogLevel(const std::string &name)
{
    const auto found = std::find(LevelChoices.begin(), LevelChoices.end(), name);
    return static_cast<LogLevel>(found - LevelChoices.begin());
}

} // namespace

const ObjectSchema &nodeSettingsSchema()
{
    static const ObjectSchema Schema { "Settings", rootFields() };
    return Schema;
}

std::vector<std::string> checkNodeSettings(std::string_view text, std::string_view fileName)
{
    const auto document = parseJson(text);
    if (!document.has_value()) {
        return { std::string(fileName) + ": " + document.error().message + " "
                 + document.error().remedyText() };
    }
    std::vector<std::string> lines;
    for (const Fault &fault : findFaults(*document)) {
        lines.push_back(describeFault(fault, fileName, text));
    }
    return lines;
}

Result<NodeSettings> readNodeSettings(std::string_view text, std::string_view fileName)
{
    const std::vector<std::string> faults = checkNodeSettings(text, fileName);
    if (!faults.empty()) {
        return makeError(ErrorKind::InvalidSettings, joinLines(faults));
    }
    const Json::Value document = *parseJson(text);
    const FieldReader node(NodeSchema, document["node"]);
    const FieldReader listen(ListenSchema, document["listen"]);
    const FieldReader platform(PlatformSchema, document["platform"]);
    const FieldReader peers(PeerSchema, document["peers"]);
    const FieldReader limits(LimitSchema, document["limits"]);
    const FieldReader routing(RoutingSchema, document["routing"]);
    const FieldReader log(LogSchema, document["log"]);
    return NodeSettings {
        .name = node.text("name"),
        .zone = node.text("zone"),
        .address = listen.text("address"),
        .callerPort = static_cast<std::uint16_t>(listen.integer("caller_port")),
        .operatorPort = static_cast<std::uint16_t>(listen.integer("operator_port")),
        .peerPort = static_cast<std::uint16_t>(listen.integer("peer_port")),
        .platformUrl = platform.text("url"),
        .platformTimeout = milliseconds(platform.integer("timeout_ms")),
        .vmPoll = milliseconds(platform.integer("vm_poll_ms")),
        .peers = peers.texts("addresses"),
        .peerKey = peers.text("key"),
        .peerInterval = milliseconds(peers.integer("interval_ms")),
        .peerBytesPerSecond = static_cast<std::uint32_t>(peers.integer("bytes_per_s")),
        .sampleOneIn = static_cast<std::uint32_t>(peers.integer("sample_one_in")),
        .operatorKeySha256 = document["operators"]["key_sha256"].asString(),
        .trafficThreads = static_cast<unsigned>(limits.integer("traffic_threads")),
        .maximumBodyBytes = static_cast<std::size_t>(limits.integer("max_body_bytes")),
        .maximumHeaderBytes = static_cast<std::size_t>(limits.integer("max_header_bytes")),
        .streamBufferBytes = static_cast<std::size_t>(limits.integer("stream_buffer_bytes")),
        .responseMemoryBytes = static_cast<std::size_t>(limits.integer("response_memory_bytes")),
        .maximumConnections = static_cast<unsigned>(limits.integer("max_connections")),
        .idleTimeoutSeconds = static_cast<unsigned>(limits.integer("idle_timeout_s")),
        .policy = routing.text("policy"),
        .tick = milliseconds(routing.integer("tick_ms")),
        .stallMinimum = milliseconds(routing.integer("stall_ms")),
        .hedgeMinimum = milliseconds(routing.integer("hedge_ms")),
        .drainLag = milliseconds(routing.integer("drain_lag_ms")),
        .log = { .minimumLevel = parseLogLevel(log.text("level")),
                 .json = log.text("format") == "json" },
        .configuration = document["configuration"],
    };
}

} // namespace jacinthroad
