#pragma once

// Stand-ins for the platform's store, for back ends and for callers, and a handle for node
// processes. Written for the cases of review/ only. Plain blocking sockets, one thread a connection.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

#include <json/json.h>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

std::string trimmed(const std::string &text);
bool sameName(const std::string &left, const std::string &right);
std::string headerOf(const Headers &headers, const std::string &name);
std::string writeJson(const Json::Value &value);
Json::Value parseJson(const std::string &text);

/// What a case writes to its record. Times are milliseconds since the start of the case.
class Record
{
public:
    explicit Record(const std::string &file);
    void line(const std::string &text);
    [[nodiscard]] long long now() const;

private:
    std::mutex mutex_;
    std::ofstream out_;
    Clock::time_point began_ = Clock::now();
};

struct Message
{
    /// Request line or status line.
    std::string method;
    std::string target;
    int status = 0;
    Headers headers;
    std::string body;
    /// True if the body was read completely as its framing says.
    bool complete = false;
};

/// One connection with a buffered reader.
class Connection
{
public:
    explicit Connection(int handle)
        : handle_(handle)
    { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    [[nodiscard]] int handle() const { return handle_; }
    /// Reads a request; false at the end of the connection.
    bool readRequest(Message &message);
    /// Reads a response; false if no header came.
    bool readResponse(Message &message);
    bool write(const std::string &bytes);
    void setTimeout(Ms limit);
    /// Closes with a reset.
    void reset();
    void close();
    /// True if the other side has closed the connection.
    bool closedByPeer();

private:
    bool fill();
    bool readLine(std::string &line);
    bool readHeaders(Message &message);
    bool readBody(Message &message, bool untilClose);

    int handle_;
    std::string buffer_;
};

std::unique_ptr<Connection> connectTo(int port, Ms limit = Ms(1000));

/// A listening socket on 127.0.0.1 whose connections are each served by a thread.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;
    explicit Server(Handler handler);
    ~Server();
    [[nodiscard]] int port() const { return port_; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    /// Ends as a process that crashes: closes the listening socket and all connections.
    void end();

private:
    void accept();
    Handler handler_;
    std::mutex mutex_;
    std::set<int> open_;
    int handle_ = -1;
    int port_ = 0;
    std::atomic<bool> stopping_ { false };
    std::thread thread_;
};

/// The platform's store: objects by kind and name, conditional writes, lists and watches.
class Store
{
public:
    Store();
    /// The operator's write, or that of a back end; returns when it is confirmed.
    std::uint64_t put(const std::string &kind, const std::string &name, const Json::Value &spec);
    void remove(const std::string &kind, const std::string &name);
    Json::Value spec(const std::string &kind, const std::string &name);
    /// The address that undisturbed nodes get, and one at which the store can turn callers away.
    [[nodiscard]] std::string address() const { return server_.address(); }
    [[nodiscard]] std::string gatedAddress() const { return gated_.address(); }
    /// While set, the gated address answers each call with 503, also those that wait.
    std::atomic<bool> turnsAway { false };

private:
    struct Change
    {
        std::uint64_t revision;
        std::string kind;
        Json::Value object;
        bool deleted;
    };
    void serve(Connection &connection, bool gated);
    std::string respond(const Message &request, bool gated);
    std::string watch(const std::string &kind, std::uint64_t from, Ms wait, bool gated);
    std::string write(const std::string &kind, const std::string &name, const Json::Value &spec,
                      const std::string &condition, bool create);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Json::Value>> objects_;
    std::deque<Change> changes_;
    std::uint64_t revision_ = 100;
    Server server_;
    Server gated_;
};

std::string responseText(int status, const Headers &headers, const std::string &body);

/// A node process, started with the run command and the settings template of the deploy file.
class Node
{
public:
    struct Options
    {
        std::string name;
        std::string zone = "aburra-norte";
        std::string store;
        std::string folder;
    };
    explicit Node(const Options &options);
    ~Node();
    [[nodiscard]] int port() const { return port_; }
    [[nodiscard]] pid_t pid() const { return pid_; }
    [[nodiscard]] const std::string &name() const { return options_.name; }
    void start();
    void signal(int number) const;
    /// True once the process has ended.
    bool ended();
    bool waitReady(Ms limit);
    [[nodiscard]] bool ready() const;
    /// Largest resident memory so far and that of now, in KiB.
    [[nodiscard]] long memoryKb(const char *field) const;

private:
    Options options_;
    int port_ = 0;
    int readyPort_ = 0;
    int peerPort_ = 0;
    int metricsPort_ = 0;
    pid_t pid_ = -1;
};

/// One request of a caller on a connection of its own, or on one that it keeps.
Message callOn(Connection &connection, const std::string &method, const std::string &target,
               const Headers &headers, const std::string &body);
Message call(int port, const std::string &method, const std::string &target, const Headers &headers,
             const std::string &body, Ms limit = Ms(3000));

std::string newId();

/// Settings of the small deployment that the cases share, lienzo-andino's.
constexpr int RevokeMs = 5000;
constexpr int ConfigApplyMs = 2000;

/// The desired state with the four kinds of request of the site.
Json::Value desiredState(int version);

} // namespace review
