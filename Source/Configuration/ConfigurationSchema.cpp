#include "Configuration/ConfigurationSchema.h"

#include <array>

namespace jacinthroad {

namespace {

constexpr std::array<FieldRule, 3> TeamFields { {
    { .name = "key_sha256",
      .type = FieldType::Strings,
      .required = true,
      .help = "SHA-256 of each bearer key of the team, as 64 hexadecimal digits; list both the "
              "old and the new key while a key is rotated" },
    { .name = "weight",
      .type = FieldType::Number,
      .defaultText = "1",
      .minimum = 0.01,
      .maximum = 1000,
      .help = "relative share of the team when requests of several teams have to wait" },
    { .name = "max_concurrent",
      .type = FieldType::Integer,
      .defaultText = "1000",
      .minimum = 1,
      .maximum = 1000000,
      .unit = "requests",
      .help = "maximum number of concurrent requests over all nodes" },
} };
constexpr ObjectSchema TeamSchema { "Team", TeamFields };

constexpr std::array<FieldRule, 8> ModelFields { {
    { .name = "version",
      .type = FieldType::String,
      .required = true,
      .help = "version of the weights that serves requests" },
    { .name = "adapter",
      .type = FieldType::String,
      .defaultText = "\"\"",
      .help = "adapter that the engines load; empty for none" },
    { .name = "block_tokens",
      .type = FieldType::Integer,
      .defaultText = "64",
      .minimum = 1,
      .maximum = 4096,
      .unit = "tokens",
      .help = "size of a cache block of the engines" },
    { .name = "recompute_price_ms_per_token",
      .type = FieldType::Number,
      .defaultText = "0.05",
      .minimum = 0,
      .maximum = 1000,
      .unit = "ms",
      .help = "added time to first token that is accepted to avoid recomputing one token" },
    { .name = "first_token_target_ms",
      .type = FieldType::Number,
      .defaultText = "1900",
      .minimum = 1,
      .maximum = 600000,
      .unit = "ms",
      .help = "objective for the time to first token in 95 of 100 requests" },
    { .name = "first_token_limit_ms",
      .type = FieldType::Number,
      .defaultText = "1900",
      .minimum = 1,
      .maximum = 600000,
      .unit = "ms",
      .help = "a request whose predicted time to first token exceeds this is rejected as not run" },
    { .name = "token_gap_target_ms",
      .type = FieldType::Number,
      .defaultText = "48",
      .minimum = 0.1,
      .maximum = 60000,
      .unit = "ms",
      .help = "objective for the gap between tokens in 95 of 100 gaps" },
    { .name = "objective_share",
      .type = FieldType::Number,
      .defaultText = "0.95",
      .minimum = 0.5,
      .maximum = 0.99999,
      .help = "fraction of events that has to meet the targets; the rest is the error budget" },
} };
constexpr ObjectSchema ModelSchema { "Model", ModelFields };

constexpr std::array<FieldRule, 5> BackendServerFields { {
    { .name = "zone",
      .type = FieldType::String,
      .required = true,
      .help = "availability zone of the backend server" },
    { .name = "url",
      .type = FieldType::String,
      .required = true,
      .help = "base URL with an IP address, such as http://127.0.0.1:9001" },
    { .name = "model",
      .type = FieldType::String,
      .required = true,
      .help = "model that the backend server serves" },
    { .name = "slots",
      .type = FieldType::Integer,
      .defaultText = "16",
      .minimum = 1,
      .maximum = 4096,
      .unit = "sequences",
      .help = "maximum number of sequences that the engine decodes concurrently" },
    { .name = "prefill_tokens_per_s",
      .type = FieldType::Number,
      .defaultText = "8000",
      .minimum = 1,
      .maximum = 100000000,
      .unit = "tokens/s",
      .help = "prefill rate of the engine" },
} };
constexpr ObjectSchema BackendServerSchema { "Backend server", BackendServerFields };

constexpr std::array<FieldRule, 4> ServiceFields { {
    { .name = "urls",
      .type = FieldType::Strings,
      .required = true,
      .help = "base URL of each instance" },
    { .name = "repeatable",
      .type = FieldType::Strings,
      .defaultText = "[\"GET /\", \"HEAD /\"]",
      .help
      = "calls that may be retried, each as METHOD and path prefix; all other calls are claimed "
        "and run at most once" },
    { .name = "claim_shards",
      .type = FieldType::Integer,
      .defaultText = "8",
      .minimum = 1,
      .maximum = 1024,
      .unit = "objects",
      .help = "number of platform objects that store the claims; cannot be reduced while claims "
              "are kept" },
    { .name = "call_timeout_ms",
      .type = FieldType::Integer,
      .defaultText = "10000",
      .minimum = 10,
      .maximum = 600000,
      .unit = "ms",
      .help = "maximum wait for a response of the service" },
} };
constexpr ObjectSchema ServiceSchema { "Service", ServiceFields };

constexpr std::array<FieldRule, 4> RootFields { {
    { .name = "teams",
      .type = FieldType::ObjectMap,
      .required = true,
      .nested = &TeamSchema,
      .help = "teams by name" },
    { .name = "models",
      .type = FieldType::ObjectMap,
      .required = true,
      .nested = &ModelSchema,
      .help = "models by name" },
    { .name = "backend_servers",
      .type = FieldType::ObjectMap,
      .required = true,
      .nested = &BackendServerSchema,
      .help = "model engines by name" },
    { .name = "services",
      .type = FieldType::ObjectMap,
      .defaultText = "{}",
      .nested = &ServiceSchema,
      .help = "plain services by name" },
} };
constexpr ObjectSchema RootSchema { "Configuration", RootFields };

} // namespace

const ObjectSchema &configurationSchema()
{
    return RootSchema;
}

const ObjectSchema &teamSchema()
{
    return TeamSchema;
}

const ObjectSchema &modelSchema()
{
    return ModelSchema;
}

const ObjectSchema &backendServerSchema()
{
    return BackendServerSchema;
}

const ObjectSchema &serviceSchema()
{
    return ServiceSchema;
}

} // namespace jacinthroad
