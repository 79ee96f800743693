#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <json/value.h>

#include "ScriptedServer.h"

namespace jacinthroad {

/// A stand-in of the platform's store with lists, reads, watches, creation and conditional writes.
class StoreStandIn
{
public:
    StoreStandIn();
    StoreStandIn(const StoreStandIn &) = delete;
    StoreStandIn &operator=(const StoreStandIn &) = delete;
    ~StoreStandIn();

    [[nodiscard]] std::string address() const { return server_.address(); }
    /// Writes an object unconditionally, as operators and servers do.
    void put(const std::string &kind, const std::string &name, const Json::Value &spec);
    /// Writes an object whose spec is this text, which need not be valid JSON.
    void putText(const std::string &kind, const std::string &name, const std::string &text);
    /// Removes an object.
    void remove(const std::string &kind, const std::string &name);
    /// Numbers the eras of the store from `era` on and sends the number with every response.
    void sendEra(std::uint64_t era);
    /// Copies all objects and the revision for restore().
    void snapshot();
    /// Goes back to the last snapshot: later changes are lost, their revisions are assigned again
    /// and the era rises by one.
    void restore();
    /// Address at which writes are rejected and reads are served, as for a node that the store
    /// turns away.
    [[nodiscard]] std::string rejectingAddress() const { return rejectingServer_.address(); }
    /// Returns an address at which all texts that the store sends pass through `rewrite`, which
    /// keeps their length. Called before threads use the store.
    [[nodiscard]] std::string addressThrough(std::function<std::string(std::string)> rewrite);
    /// Hides further changes of a kind from watches at rejectingAddress(), as from a node that is
    /// out of step with the store.
    void hideChanges(const std::string &kind);
    /// Sends the response of each further watch later by this time.
    void delayWatches(std::chrono::milliseconds delay);
    /// Leaves every further call without a response.
    void stopResponding();
    /// Responds to further calls again.
    void resumeResponding();
    /// Applies further writes to objects of this kind but leaves the next `count` of them without a
    /// response.
    void loseResponses(const std::string &kind, int count);
    /// Number of writes of this kind that were applied or rejected.
    [[nodiscard]] int writes(const std::string &kind);
    /// Number of calls of any kind that were received.
    [[nodiscard]] int calls();
    /// Returns the spec of an object; null if it does not exist.
    [[nodiscard]] Json::Value spec(const std::string &kind, const std::string &name);

private:
    /// Objects by kind and name.
    using Objects = std::map<std::string, std::map<std::string, Json::Value>>;

    struct Change
    {
        std::uint64_t revision;
        std::string kind;
        Json::Value object;
        bool removed;
    };

    /// A response of the present era; the caller holds the mutex.
    [[nodiscard]] std::string response(unsigned status, const std::string &body) const;
    void serve(ScriptedConnection &connection, bool rejectsWrites,
               const std::function<std::string(std::string)> &rewrite = {});
    /// Counts a write; returns true if its response is to be lost.
    [[nodiscard]] bool
    noteWrite(const boost::beast::http::request<boost::beast::http::string_body> &request);
    [[nodiscard]] std::string
    respond(const boost::beast::http::request<boost::beast::http::string_body> &request,
            bool hidesChanges);
    [[nodiscard]] std::string watch(const std::string &kind, std::uint64_t revision,
                                    std::chrono::milliseconds wait, bool hidesChanges);
    [[nodiscard]] std::string write(const std::string &kind, const std::string &name,
                                    const Json::Value &spec, std::optional<std::uint64_t> condition,
                                    bool create);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 1;
    /// 0 while responses carry no era.
    std::uint64_t era_ = 0;
    bool unresponsive_ = false;
    std::chrono::milliseconds watchDelay_ {};
    bool stopping_ = false;
    Objects objects_;
    Objects savedObjects_;
    std::uint64_t savedRevision_ = 1;
    std::vector<Change> changes_;
    /// Texts of putText() by the string that stands for each of them in the objects.
    std::map<std::string, std::string> texts_;
    int calls_ = 0;
    std::map<std::string, int> writes_;
    std::set<std::string> hiddenKinds_;
    std::map<std::string, int> responsesToLose_;
    ScriptedServer server_;
    ScriptedServer rejectingServer_;
    std::vector<std::unique_ptr<ScriptedServer>> rewritingServers_;
};

} // namespace jacinthroad
