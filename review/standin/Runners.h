#pragma once

// Stand-ins for back ends: a plain service and a model engine with a KV cache.

#include "Kit.h"

namespace review {

/// One run of a request, as the back end saw it.
struct Run
{
    std::string id;
    std::string method;
    std::string target;
    std::string tenant;
    std::string authorization;
    std::string runner;
    std::size_t bodyBytes = 0;
    Clock::time_point at;
};

/// Registers itself in the store and writes its entry again with each heartbeat.
class Registration
{
public:
    Registration(Store &store, std::string id, Json::Value spec);
    ~Registration();
    /// States the weights that the engine has from now on.
    void setModels(const Json::Value &models);

private:
    Store &store_;
    std::string id_;
    std::mutex mutex_;
    Json::Value spec_;
    std::atomic<bool> stopping_ { false };
    std::thread thread_;
};

/// A back end of a plain service. It answers each request after its work time.
class PlainRunner
{
public:
    struct Options
    {
        std::string id;
        std::string service = "turnos-prestamo";
        std::string zone = "aburra-norte";
        Ms work = Ms(60);
    };
    PlainRunner(Store &store, const Options &options, Record &record);
    std::vector<Run> runs();

private:
    void serve(Connection &connection);

    Options options_;
    Record &record_;
    std::mutex mutex_;
    std::condition_variable freed_;
    std::vector<Run> runs_;
    int running_ = 0;
    int waiting_ = 0;
    Server server_;
    Registration registration_;
};

/// A part of a prompt in the memory of an engine.
struct KeptPart
{
    unsigned tokens = 0;
    /// The tenant whose request made it, and the id of that request.
    std::string tenant;
    std::string madeBy;
};

/// Says that a request found a part in the memory that a request of another tenant had made.
struct ForeignUse
{
    std::string id;
    std::string tenant;
    std::string part;
    std::string maker;
    std::string madeBy;
    std::string salt;
};

/// A model engine. It reads the parts of a prompt in order, those that it keeps under the salt of
/// the request are not read again, and answers with a stream of events.
class Engine
{
public:
    struct Options
    {
        std::string id;
        std::string zone = "aburra-norte";
        int events = 13;
        Ms gap = Ms(15);
        std::vector<std::string> models = { "m0" };
    };
    Engine(Store &store, const Options &options, Record &record);
    std::vector<Run> runs();
    std::vector<ForeignUse> foreignUses();
    /// The version of the weights of a model that it has now.
    unsigned version(const std::string &model);

private:
    struct Note
    {
        std::uint64_t number;
        std::string sign;
        std::string salt;
        std::string part;
        unsigned tokens;
    };
    void serve(Connection &connection);
    bool stream(Connection &connection, const Message &request);
    std::string report();
    std::string events(const Message &request);
    std::string order(const Message &request);

    Options options_;
    Record &record_;
    std::mutex mutex_;
    std::condition_variable noted_;
    std::vector<Run> runs_;
    std::vector<ForeignUse> foreignUses_;
    std::map<std::string, std::map<std::string, KeptPart>> kept_;
    std::vector<Note> notes_;
    std::map<std::string, unsigned> versions_;
    std::uint64_t orders_ = 0;
    bool busy_ = false;
    int running_ = 0;
    Server server_;
    Registration registration_;
};

/// The back ends of a plain service, some requests of which end the process that runs them. A back
/// end is back after some seconds under a new id, at a new address.
class MortalRunners
{
public:
    struct Options
    {
        int count = 4;
        /// Requests whose target has this in it end the back end.
        std::string deadly;
        Ms crashAfter = Ms(100);
        Ms backAfter = Ms(2500);
    };
    MortalRunners(Store &store, const Options &options, Record &record);
    /// Runs of the deadly request.
    std::vector<Run> deadlyRuns();
    /// When back ends ended.
    std::vector<Clock::time_point> ends();
    [[nodiscard]] int alive();

private:
    struct Process
    {
        std::string id;
        std::unique_ptr<Server> server;
        std::unique_ptr<Registration> registration;
        std::atomic<bool> ended { false };
    };
    void start();
    void serve(Process &process, Connection &connection);
    void crash(Process &process);

    Store &store_;
    Options options_;
    Record &record_;
    std::mutex mutex_;
    std::vector<Run> deadlyRuns_;
    std::vector<Clock::time_point> ends_;
    std::vector<std::shared_ptr<Process>> processes_;
    int started_ = 0;
};

/// Unix milliseconds.
std::int64_t wallMs();

} // namespace review
