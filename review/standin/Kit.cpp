#include "Kit.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

std::string trimmed(const std::string &text)
{
    const auto begin = text.find_first_not_of(" \t\r");
    const auto end = text.find_last_not_of(" \t\r");
    return begin == std::string::npos ? "" : text.substr(begin, end - begin + 1);
}

bool sameName(const std::string &left, const std::string &right)
{
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

std::string headerOf(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (sameName(key, name)) {
            return value;
        }
    }
    return {};
}

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value parseJson(const std::string &text)
{
    Json::Value value;
    std::istringstream in(text);
    std::string errors;
    Json::CharReaderBuilder builder;
    if (!Json::parseFromStream(builder, in, &value, &errors)) {
        return {};
    }
    return value;
}

Record::Record(const std::string &file)
    : out_(file)
{ }

long long Record::now() const
{
    return std::chrono::duration_cast<Ms>(Clock::now() - began_).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    out_ << now() << " ms  " << text << '\n' << std::flush;
}

Connection::~Connection()
{
    close();
}

void Connection::close()
{
    if (handle_ >= 0) {
        ::close(handle_);
        handle_ = -1;
    }
}

void Connection::reset()
{
    const linger value { .l_onoff = 1, .l_linger = 0 };
    setsockopt(handle_, SOL_SOCKET, SO_LINGER, &value, sizeof(value));
    close();
}

void Connection::setTimeout(Ms limit)
{
    timeval time {};
    time.tv_sec = limit.count() / 1000;
    time.tv_usec = (limit.count() % 1000) * 1000;
    setsockopt(handle_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    setsockopt(handle_, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
}

bool Connection::closedByPeer()
{
    char byte = 0;
    const ssize_t size = recv(handle_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool Connection::fill()
{
    char bytes[65536];
    const ssize_t size = recv(handle_, bytes, sizeof(bytes), 0);
    if (size <= 0) {
        return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
}

bool Connection::readLine(std::string &line)
{
    for (;;) {
        const auto end = buffer_.find("\r\n");
        if (end != std::string::npos) {
            line = buffer_.substr(0, end);
            buffer_.erase(0, end + 2);
            return true;
        }
        if (!fill()) {
            return false;
        }
    }
}

bool Connection::readHeaders(Message &message)
{
    std::string line;
    while (readLine(line)) {
        if (line.empty()) {
            return true;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            return false;
        }
        message.headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    }
    return false;
}

bool Connection::readBody(Message &message, bool untilClose)
{
    if (sameName(headerOf(message.headers, "Transfer-Encoding"), "chunked")) {
        std::string line;
        while (readLine(line)) {
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            while (buffer_.size() < size + 2) {
                if (!fill()) {
                    return false;
                }
            }
            message.body.append(buffer_, 0, size);
            buffer_.erase(0, size + 2);
            if (size == 0) {
                message.complete = true;
                return true;
            }
        }
        return false;
    }
    const std::string length = headerOf(message.headers, "Content-Length");
    if (length.empty() && untilClose) {
        while (fill()) { }
        message.body = std::exchange(buffer_, {});
        message.complete = true;
        return true;
    }
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
        if (!fill()) {
            message.body = std::exchange(buffer_, {});
            return false;
        }
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    message.complete = true;
    return true;
}

bool Connection::readRequest(Message &message)
{
    message = {};
    std::string line;
    if (!readLine(line)) {
        return false;
    }
    std::istringstream words(line);
    words >> message.method >> message.target;
    return readHeaders(message) && readBody(message, false);
}

bool Connection::readResponse(Message &message)
{
    message = {};
    std::string line;
    if (!readLine(line) || line.size() < 12) {
        return false;
    }
    message.status = std::atoi(line.c_str() + 9);
    if (!readHeaders(message)) {
        return false;
    }
    readBody(message, true);
    return true;
}

bool Connection::write(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size
            = send(handle_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

namespace {

sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int newSocket()
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return handle;
}

/// A port that is free for TCP and UDP now.
int freePort()
{
    for (;;) {
        const int tcp = newSocket();
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof(address);
        bind(tcp, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        getsockname(tcp, reinterpret_cast<sockaddr *>(&address), &size);
        const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const bool free = bind(udp, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
        ::close(udp);
        ::close(tcp);
        if (free) {
            return ntohs(address.sin_port);
        }
    }
}

} // namespace

std::unique_ptr<Connection> connectTo(int port, Ms limit)
{
    const int handle = newSocket();
    auto connection = std::make_unique<Connection>(handle);
    connection->setTimeout(limit);
    const sockaddr_in address = loopback(port);
    if (connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        return nullptr;
    }
    return connection;
}

Server::Server(Handler handler)
    : handler_(std::move(handler))
{
    handle_ = newSocket();
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    bind(handle_, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    getsockname(handle_, reinterpret_cast<sockaddr *>(&address), &size);
    port_ = ntohs(address.sin_port);
    listen(handle_, 512);
    thread_ = std::thread([this] { accept(); });
}

Server::~Server()
{
    end();
}

void Server::end()
{
    if (stopping_.exchange(true)) {
        return;
    }
    shutdown(handle_, SHUT_RDWR);
    thread_.join();
    ::close(handle_);
    const std::lock_guard lock(mutex_);
    for (const int handle : open_) {
        shutdown(handle, SHUT_RDWR);
    }
}

void Server::accept()
{
    while (!stopping_) {
        const int handle = accept4(handle_, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0) {
            if (stopping_) {
                return;
            }
            std::this_thread::sleep_for(Ms(5));
            continue;
        }
        const int on = 1;
        setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
            const std::lock_guard lock(mutex_);
            open_.insert(handle);
        }
        std::thread([this, handle] {
            Connection connection(handle);
            handler_(connection);
            const std::lock_guard lock(mutex_);
            open_.erase(handle);
        }).detach();
    }
}

std::string responseText(int status, const Headers &headers, const std::string &body)
{
    static const std::map<int, std::string> Reasons {
        { 200, "OK" },       { 201, "Created" },     { 202, "Accepted" },
        { 404, "Not Found" }, { 409, "Conflict" },   { 410, "Gone" },
        { 421, "Misdirected Request" },              { 503, "Service Unavailable" },
    };
    const auto reason = Reasons.find(status);
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' '
        + (reason == Reasons.end() ? "Other" : reason->second) + "\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

namespace {

const Headers JsonType { { "Content-Type", "application/json" } };

std::string queryOf(const std::string &target, const std::string &name)
{
    const auto question = target.find('?');
    if (question == std::string::npos) {
        return {};
    }
    std::istringstream fields(target.substr(question + 1));
    std::string field;
    while (std::getline(fields, field, '&')) {
        if (field.starts_with(name + "=")) {
            return field.substr(name.size() + 1);
        }
    }
    return {};
}

} // namespace

Store::Store()
    : server_([this](Connection &connection) { serve(connection, false); })
    , gated_([this](Connection &connection) { serve(connection, true); })
{ }

std::uint64_t Store::put(const std::string &kind, const std::string &name, const Json::Value &spec)
{
    write(kind, name, spec, "", false);
    const std::lock_guard lock(mutex_);
    return revision_;
}

Json::Value Store::spec(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    return objects_[kind].contains(name) ? objects_[kind][name]["spec"] : Json::Value();
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    Json::Value object = objects_[kind][name];
    object["metadata"]["revision"] = Json::UInt64(++revision_);
    objects_[kind].erase(name);
    changes_.push_back({ revision_, kind, object, true });
    changed_.notify_all();
}

void Store::serve(Connection &connection, bool gated)
{
    Message request;
    while (connection.readRequest(request)) {
        if (!connection.write(respond(request, gated))) {
            return;
        }
    }
}

std::string Store::respond(const Message &request, bool gated)
{
    if (gated && turnsAway) {
        return responseText(503, {}, "");
    }
    constexpr std::size_t PrefixBytes = 11;
    const std::string path = request.target.substr(0, request.target.find('?')).substr(PrefixBytes);
    const auto slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (request.method == "GET") {
        const std::string from = queryOf(request.target, "watch");
        if (!from.empty()) {
            const std::string wait = queryOf(request.target, "waitMs");
            return watch(kind, std::stoull(from), Ms(wait.empty() ? 0 : std::stoll(wait)), gated);
        }
        const std::lock_guard lock(mutex_);
        if (!name.empty()) {
            const auto found = objects_[kind].find(name);
            return found == objects_[kind].end()
                ? responseText(404, JsonType, "{}")
                : responseText(200, JsonType, writeJson(found->second));
        }
        Json::Value page;
        page["items"] = Json::Value(Json::arrayValue);
        const std::string after = queryOf(request.target, "after");
        for (const auto &[key, object] : objects_[kind]) {
            if (key > after) {
                page["items"].append(object);
            }
        }
        page["hasMore"] = false;
        page["currentRev"] = Json::UInt64(revision_);
        return responseText(200, JsonType, writeJson(page));
    }
    const Json::Value body = parseJson(request.body);
    if (request.method == "DELETE") {
        remove(kind, name);
        return responseText(200, JsonType, "{}");
    }
    const bool create = request.method == "POST";
    return write(kind, create ? body["metadata"]["name"].asString() : name, body["spec"],
                 queryOf(request.target, "revision"), create);
}

std::string Store::watch(const std::string &kind, std::uint64_t from, Ms wait, bool gated)
{
    std::unique_lock lock(mutex_);
    Json::Value events(Json::arrayValue);
    const auto until = Clock::now() + wait;
    for (;;) {
        if (gated && turnsAway) {
            return responseText(503, {}, "");
        }
        events = Json::Value(Json::arrayValue);
        for (const Change &change : changes_) {
            if (change.revision > from && change.kind == kind) {
                Json::Value event;
                event["object"] = change.object;
                event["deleted"] = change.deleted;
                events.append(event);
            }
        }
        if (!events.empty() || Clock::now() >= until) {
            break;
        }
        changed_.wait_until(lock, std::min(until, Clock::now() + Ms(50)));
    }
    Json::Value body;
    body["events"] = events;
    body["currentRev"] = Json::UInt64(revision_);
    return responseText(200, JsonType, writeJson(body));
}

std::string Store::write(const std::string &kind, const std::string &name, const Json::Value &spec,
                         const std::string &condition, bool create)
{
    const std::lock_guard lock(mutex_);
    auto &objects = objects_[kind];
    const auto found = objects.find(name);
    if (create && found != objects.end()) {
        return responseText(409, JsonType, writeJson(found->second));
    }
    if (!condition.empty()) {
        if (found == objects.end()) {
            return responseText(404, JsonType, "{}");
        }
        if (std::to_string(found->second["metadata"]["revision"].asUInt64()) != condition) {
            return responseText(409, JsonType, writeJson(found->second));
        }
    }
    if (found != objects.end() && found->second["spec"] == spec) {
        return responseText(200, JsonType, writeJson(found->second));
    }
    const Json::UInt64 created
        = found != objects.end() ? found->second["metadata"]["created"].asUInt64() : revision_ + 1;
    Json::Value object;
    object["metadata"]["name"] = name;
    object["metadata"]["revision"] = Json::UInt64(++revision_);
    object["metadata"]["created"] = created;
    object["metadata"]["finalizers"] = Json::Value(Json::arrayValue);
    object["metadata"]["deleting"] = false;
    object["spec"] = spec;
    object["status"] = Json::Value();
    objects[name] = object;
    changes_.push_back({ revision_, kind, object, false });
    changed_.notify_all();
    return responseText(200, JsonType, writeJson(object));
}

Node::Node(const Options &options)
    : options_(options)
{ }

Node::~Node()
{
    if (pid_ > 0) {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
}

namespace {

std::string textOf(const std::string &file)
{
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// The field that a dotted path names; null if there is none.
Json::Value fieldAt(const Json::Value &fields, const std::string &path)
{
    std::istringstream names(path);
    std::string name;
    Json::Value value = fields;
    while (std::getline(names, name, '.')) {
        if (value.isArray()) {
            value = Json::Value(value[static_cast<Json::ArrayIndex>(std::stoi(name))]);
        } else {
            value = value.isObject() ? Json::Value(value.get(name, Json::Value())) : Json::Value();
        }
    }
    return value;
}

/// Fills the template of the settings in as the platform does: values, values as JSON, and sections
/// that are left out if there is no value.
std::string render(std::string text, const Json::Value &fields)
{
    for (auto begin = text.find("{{#"); begin != std::string::npos; begin = text.find("{{#")) {
        const auto nameEnd = text.find("}}", begin);
        const std::string name = text.substr(begin + 3, nameEnd - begin - 3);
        const std::string close = "{{/" + name + "}}";
        const auto end = text.find(close, nameEnd);
        const std::string inside = text.substr(nameEnd + 2, end - nameEnd - 2);
        const Json::Value value = fieldAt(fields, name);
        const bool shown = !value.isNull() && !(value.isBool() && !value.asBool());
        text.replace(begin, end + close.size() - begin, shown ? inside : "");
    }
    for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{")) {
        const auto end = text.find("}}", begin);
        std::string name = text.substr(begin + 2, end - begin - 2);
        const bool json = name.ends_with("|json");
        name = name.substr(0, name.find('|'));
        const Json::Value value = fieldAt(fields, name);
        const std::string shown
            = !json && value.isString() ? value.asString() : writeJson(value);
        text.replace(begin, end + 2 - begin, shown);
    }
    return text;
}

/// The words of the run command of the deploy file.
std::vector<std::string> runCommand()
{
    std::istringstream lines(textOf("deploy/system.toml"));
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with("run = \"")) {
            std::istringstream words(line.substr(7, line.rfind('"') - 7));
            std::vector<std::string> command;
            for (std::string word; words >> word;) {
                command.push_back(word);
            }
            return command;
        }
    }
    return {};
}

} // namespace

void Node::start()
{
    port_ = freePort();
    readyPort_ = freePort();
    peerPort_ = freePort();
    metricsPort_ = freePort();
    const auto local = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    Json::Value fields;
    fields["nodeName"] = options_.name;
    fields["zone"] = options_.zone;
    fields["ipAddr"] = "127.0.0.1";
    fields["listen"]["front"] = local(port_);
    fields["listen"]["ready"] = local(readyPort_);
    fields["internalPorts"].append(peerPort_);
    fields["internalPorts"].append(peerPort_);
    fields["platform"]["address"] = options_.store;
    fields["bounds"]["revokeMs"] = RevokeMs;
    fields["bounds"]["configApplyMs"] = ConfigApplyMs;
    fields["bounds"]["leaseMs"] = 3000;
    fields["bounds"]["versionMs"] = 15000;
    fields["bounds"]["retryBudgetRatio"] = 0.2;
    fields["bounds"]["budgetSlack"] = 54;
    fields["bounds"]["budgetWindowS"] = 10;
    fields["bounds"]["graceS"] = 8;
    fields["limits"]["linkMbps"] = 1000.0;
    std::string settings = render(textOf("deploy/settings.jsonc"), fields);
    // All nodes have one address here, so that each needs a port of its own for its metrics.
    const std::string metrics = ":9464\"";
    if (const auto at = settings.find(metrics); at != std::string::npos) {
        settings.replace(at, metrics.size(), ":" + std::to_string(metricsPort_) + "\"");
    }
    const std::string file = options_.folder + "/" + options_.name + ".json";
    std::ofstream(file) << settings;
    std::vector<std::string> command = runCommand();
    std::vector<char *> words;
    for (std::string &word : command) {
        word = word == "/etc/jacinthroad/settings.json" ? file : word;
        words.push_back(word.data());
    }
    words.push_back(nullptr);
    const std::string log = options_.folder + "/" + options_.name + ".log";
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("JACINTHROAD_CONFIG", file.c_str(), 1);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        execv(words[0], words.data());
        _exit(127);
    }
}

void Node::signal(int number) const
{
    if (pid_ > 0) {
        kill(pid_, number);
    }
}

bool Node::ended()
{
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = -1;
    }
    return pid_ < 0;
}

bool Node::ready() const
{
    return call(readyPort_, "GET", "/-/ready", { { "Host", "balancer" } }, "", Ms(500)).status
        == 200;
}

bool Node::waitReady(Ms limit)
{
    const auto until = Clock::now() + limit;
    while (Clock::now() < until && !ended()) {
        if (ready()) {
            return true;
        }
        std::this_thread::sleep_for(Ms(50));
    }
    return false;
}

long Node::memoryKb(const char *field) const
{
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with(field)) {
            return std::strtol(line.c_str() + std::strlen(field) + 1, nullptr, 10);
        }
    }
    return 0;
}

Message callOn(Connection &connection, const std::string &method, const std::string &target,
               const Headers &headers, const std::string &body)
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    Message response;
    if (connection.write(text + "\r\n" + body)) {
        connection.readResponse(response);
    }
    return response;
}

Message call(int port, const std::string &method, const std::string &target, const Headers &headers,
             const std::string &body, Ms limit)
{
    const auto connection = connectTo(port, limit);
    if (connection == nullptr) {
        return {};
    }
    return callOn(*connection, method, target, headers, body);
}

std::string newId()
{
    static std::atomic<std::uint64_t> counter { 0 };
    char text[32];
    std::snprintf(text, sizeof(text), "%08x%08llx", static_cast<unsigned>(getpid()),
                  static_cast<unsigned long long>(++counter));
    return text;
}

Json::Value desiredState(int version)
{
    Json::Value state = parseJson(R"({"routes":[
        {"name":"palio-ajuste","hostname":"asesor.example","pathPrefix":"/ajuste/","kind":"streaming",
         "timeoutMs":5000,"targetLatencyMs":500,"priority":1,"service":"orientador","maxAttempts":2,
         "allowAnonymous":false,"sticky":true,"resumable":true,"targetGapMs":250},
        {"name":"nota-dolientes","hostname":"asesor.example","pathPrefix":"/nota/","kind":"streaming",
         "timeoutMs":15000,"targetLatencyMs":300,"priority":0,"service":"orientador","maxAttempts":1,
         "allowAnonymous":false,"sticky":true,"resumable":false,"targetGapMs":250},
        {"name":"reserva-palio","hostname":"turnos.example","pathPrefix":"/reserva/","kind":"unsafe",
         "timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"turnos-prestamo","maxAttempts":1,
         "allowAnonymous":false},
        {"name":"consulta-stock","hostname":"turnos.example","pathPrefix":"/stock/","kind":"safe",
         "timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"turnos-prestamo","maxAttempts":2,
         "allowAnonymous":false}],
        "services":[
        {"name":"orientador","healthPath":"/health","maxConnections":620,"protocol":"h1",
         "tls":false,"engine":{"slotCount":128,"kvCapacityTokens":129948,"kvTokenBytes":35136,
         "models":[{"name":"m0"},{"name":"m1"}]}},
        {"name":"turnos-prestamo","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000},
        "tenants":[]})");
    state["version"] = version;
    return state;
}

} // namespace review
