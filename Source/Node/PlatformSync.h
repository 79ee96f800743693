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
    /// What other nodes need to reach this one.
    std::string peerAddress;
    Duration vmPoll = std::chrono::seconds(1);
    std::uint64_t seed = 1;
};

/// The node's traffic with the platform: lists and watches patches, reads the list of VMs,
/// registers the node, and carries out the effects of patch log and claim book. Belongs to the
/// control thread; the platform client's callbacks post to it.
class PlatformSync
{
public:
    struct Events
    {
        /// The first list has come; true when the platform holds no patch at all.
        std::function<void(bool empty)> listed;
        /// VMs that the list says are leaving.
        std::function<void(std::set<std::string>)> leaving;
        /// Address of another node.
        std::function<void(std::string)> peerAddress;
    };

    PlatformSync(PlatformSyncOptions options, PlatformClient &platform, ControlLoop &control,
                 Events events);

    /// Starts listing and polling.
    void start();

    void createPatch(const CreatePatchObject &effect);
    void readPatch(const ReadPatchObject &effect);
    void readShard(const ReadShard &effect);
    void writeShard(const WriteShard &effect);

    /// True while the last list, watch or poll was answered.
    [[nodiscard]] bool up() const { return up_; }

private:
    void post(ControlTask task) { control_.post(ControlMessage(std::move(task))); }
    void list();
    void onList(const PlatformListResult &list);
    void watch();
    void onWatch(const PlatformListResult &list);
    void takePatches(const PlatformListResult &list);
    void tryAgain(ControlTask task);
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

/// Key of the object of a patch; sorts by version.
[[nodiscard]] std::string patchKey(std::uint64_t version);

} // namespace jacinthroad
