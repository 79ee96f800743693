#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>

#include "Claims/ClaimCoordinator.h"
#include "Configuration/PatchLog.h"
#include "Core/TimerService.h"
#include "Node/ControlLoop.h"
#include "PlatformClient/PlatformClient.h"

namespace jacinthroad {

/// Settings of a PlatformSync.
struct PlatformSyncOptions
{
    std::string nodeName;
    /// `IP:port` at which peers reach this node.
    std::string peerAddress;
    Duration vmPoll = std::chrono::seconds(1);
    std::uint64_t seed = 1;
};

/// Synchronizes the node with the platform: lists and watches patches, polls the list of VMs,
/// registers the node, and executes the effects of the patch log and of the claims. Used on the
/// control thread; callbacks of the platform client post to that thread.
class PlatformSync
{
public:
    struct Events
    {
        /// A list of patches was received; `empty` when the platform has none.
        std::function<void(bool empty)> patchesListed;
        /// Names of the VMs in state Leaving, after each poll.
        std::function<void(std::set<std::string>)> vmsLeaving;
        /// Peer address of another registered node.
        std::function<void(std::string)> nodeFound;
    };

    PlatformSync(PlatformSyncOptions options, PlatformClient &platform, ControlLoop &control,
                 Events events);

    /// Registers the node and starts listing and polling.
    void start();

    void createPatch(const CreatePatchObject &effect);
    void readPatch(const ReadPatchObject &effect);
    void readShard(const ReadShard &effect);
    void writeShard(const WriteShard &effect);

    /// True after a successful list or watch, until one of them or the registration fails.
    [[nodiscard]] bool up() const { return up_; }

private:
    void post(ControlTask task) { control_.post(ControlMessage(std::move(task))); }
    void list();
    void onList(const PlatformListResult &list);
    void watch();
    void onWatch(const PlatformListResult &list);
    void postPatches(const PlatformListResult &list);
    void retryLater(ControlTask task);
    void pollVms();
    void registerNode(std::uint64_t expectedVersion);
    void listNodes();

    PlatformSyncOptions options_;
    PlatformClient &platform_;
    ControlLoop &control_;
    Events events_;
    std::mt19937_64 random_;
    std::uint64_t revision_ = 0;
    unsigned failures_ = 0;
    bool up_ = false;
};

/// Key of a patch object, zero-padded so that keys sort by version.
[[nodiscard]] std::string patchKey(std::uint64_t version);

} // namespace jacinthroad
