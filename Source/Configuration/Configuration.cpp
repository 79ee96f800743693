#include "Configuration/Configuration.h"

#include <algorithm>
#include <array>
#include <set>

#include "Configuration/ConfigurationSchema.h"
#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

constexpr std::size_t Sha256HexDigits = 64;

bool isSha256(std::string_view text)
{
    return text.size() == Sha256HexDigits
        && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool hasNumericHost(std::string_view url)
{
    constexpr std::string_view Scheme = "http://";
    if (!url.starts_with(Scheme)) {
        return false;
    }
    const std::string_view rest = url.substr(Scheme.size());
    const std::string_view host = rest.substr(0, rest.find_first_of(":/"));
    return !host.empty() && host.find_first_not_of("0123456789.") == std::string_view::npos;
}

class ReferenceChecker
{
public:
    explicit ReferenceChecker(const Json::Value &document)
        : document_(document)
    { }

    std::vector<Fault> run()
    {
        checkTeams();
        checkServers();
        checkModels();
        checkServices();
        return std::move(faults_);
    }

private:
    void report(const Json::Value &element, std::string path, std::string message,
                std::string remedy)
    {
        faults_.push_back({ .path = std::move(path),
                            .offset = element.getOffsetStart(),
                            .message = std::move(message),
                            .remedy = std::move(remedy) });
    }

    void checkTeams()
    {
        std::set<std::string> seenKeys;
        const Json::Value &teams = document_["teams"];
        for (const std::string &name : teams.getMemberNames()) {
            for (const Json::Value &key : teams[name]["key_sha256"]) {
                const std::string path = "teams." + name + ".key_sha256";
                if (!isSha256(key.asString())) {
                    report(key, path, "has an entry that is not a SHA-256.",
                           "Write 64 lower-case hexadecimal digits, as 'sha256sum' prints them.");
                } else if (!seenKeys.insert(key.asString()).second) {
                    report(key, path, "repeats a key of another entry.",
                           "Use each key in one entry only.");
                }
            }
        }
    }

    void checkServers()
    {
        const Json::Value &servers = document_["backend_servers"];
        const Json::Value &models = document_["models"];
        const std::vector<std::string> names = models.getMemberNames();
        const std::vector<std::string_view> known(names.begin(), names.end());
        for (const std::string &name : servers.getMemberNames()) {
            const Json::Value &server = servers[name];
            const std::string path = "backend_servers." + name;
            const std::string model = server["model"].asString();
            if (!models.isMember(model)) {
                const std::string_view suggestion = nearestName(model, known);
                report(server["model"], path + ".model",
                       "refers to the unknown model '" + model + "'.",
                       suggestion.empty() ? "Add the model or use an existing one."
                                          : "Did you mean '" + std::string(suggestion) + "'?");
            }
            checkUrl(server["url"], path + ".url");
        }
    }

    void checkModels()
    {
        const Json::Value &servers = document_["backend_servers"];
        const Json::Value &models = document_["models"];
        std::set<std::string> servedModels;
        for (const Json::Value &server : servers) {
            servedModels.insert(server["model"].asString());
        }
        for (const std::string &name : models.getMemberNames()) {
            if (!servedModels.contains(name)) {
                report(models[name], "models." + name, "has no backend server.",
                       "Add a backend server whose 'model' is '" + name
                           + "', or remove the model.");
            }
        }
    }

    void checkServices()
    {
        const Json::Value &services = document_["services"];
        for (const std::string &name : services.getMemberNames()) {
            const Json::Value &service = services[name];
            if (service["urls"].empty()) {
                report(service, "services." + name + ".urls", "is empty.",
                       "Add the base URL of at least one instance.");
            }
            for (const Json::Value &url : service["urls"]) {
                checkUrl(url, "services." + name + ".urls");
            }
        }
    }

    void checkUrl(const Json::Value &url, const std::string &path)
    {
        if (!hasNumericHost(url.asString())) {
            report(url, path, "is not an http URL with an IP address.",
                   "Write a URL such as http://127.0.0.1:9001.");
        }
    }

    const Json::Value &document_;
    std::vector<Fault> faults_;
};

} // namespace

bool Service::isRetryable(std::string_view method, std::string_view path) const
{
    return std::any_of(retryable.begin(), retryable.end(), [&](std::string_view rule) {
        const auto space = rule.find(' ');
        return space != std::string_view::npos && rule.substr(0, space) == method
            && path.starts_with(rule.substr(space + 1));
    });
}

const Team *Configuration::teamOfKey(std::string_view keySha256) const
{
    const auto found = teamByKey.find(keySha256);
    if (found == teamByKey.end() || !equalConstantTime(found->first, keySha256)) {
        return nullptr;
    }
    return &teams.at(found->second);
}

std::vector<Fault> checkConfiguration(const Json::Value &document)
{
    std::vector<Fault> faults = checkAgainst(configurationSchema(), document);
    if (!faults.empty()) {
        return faults;
    }
    return ReferenceChecker(document).run();
}

Configuration readConfiguration(const Json::Value &document, std::uint64_t version)
{
    Configuration result;
    result.version = version;
    for (const std::string &name : document["teams"].getMemberNames()) {
        const FieldReader reader(teamSchema(), document["teams"][name]);
        result.teams[TeamId(name)]
            = { .id = TeamId(name),
                .keySha256 = reader.texts("key_sha256"),
                .weight = reader.number("weight"),
                .maxConcurrent = static_cast<std::uint32_t>(reader.integer("max_concurrent")) };
        for (const std::string &key : reader.texts("key_sha256")) {
            result.teamByKey[key] = TeamId(name);
        }
    }
    for (const std::string &name : document["models"].getMemberNames()) {
        const FieldReader reader(modelSchema(), document["models"][name]);
        result.models[ModelId(name)]
            = { .id = ModelId(name),
                .version = reader.text("version"),
                .adapter = reader.text("adapter"),
                .blockTokens = static_cast<std::uint32_t>(reader.integer("block_tokens")),
                .recomputePriceMsPerToken = reader.number("recompute_price_ms_per_token"),
                .firstTokenTargetMs = reader.number("first_token_target_ms"),
                .firstTokenLimitMs = reader.number("first_token_limit_ms"),
                .tokenGapTargetMs = reader.number("token_gap_target_ms"),
                .objectiveShare = reader.number("objective_share") };
    }
    for (const std::string &name : document["backend_servers"].getMemberNames()) {
        const FieldReader reader(backendServerSchema(), document["backend_servers"][name]);
        result.servers[ServerId(name)]
            = { .id = ServerId(name),
                .zone = ZoneId(reader.text("zone")),
                .url = reader.text("url"),
                .model = ModelId(reader.text("model")),
                .slots = static_cast<std::uint32_t>(reader.integer("slots")),
                .prefillTokensPerSecond = reader.number("prefill_tokens_per_s") };
    }
    const Json::Value &services = document["services"];
    for (const std::string &name : services.getMemberNames()) {
        const FieldReader reader(serviceSchema(), services[name]);
        result.services[ServiceId(name)]
            = { .id = ServiceId(name),
                .urls = reader.texts("urls"),
                .retryable = reader.texts("repeatable"),
                .claimShards = static_cast<std::uint32_t>(reader.integer("claim_shards")),
                .callTimeout = milliseconds(reader.integer("call_timeout_ms")) };
    }
    return result;
}

} // namespace jacinthroad
