#include "Node/PlatformSync.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jacinthroad {

namespace {

constexpr std::string_view PatchPrefix = "patch/";
constexpr std::string_view NodePrefix = "nodes/";
constexpr std::size_t VersionDigits = 12;
constexpr double InitialBackoffMs = 100;
constexpr double MaximumBackoffMs = 3000;
constexpr unsigned MaximumBackoffDoublings = 6;
constexpr Duration NodeListInterval = std::chrono::seconds(5);

std::uint64_t versionOfKey(std::string_view key)
{
    std::uint64_t version = 0;
    key.remove_prefix(std::min(key.size(), PatchPrefix.size()));
    std::from_chars(key.data(), key.data() + key.size(), version);
    return version;
}

CreateOutcome toCreateOutcome(PlatformWriteOutcome outcome)
{
    switch (outcome) {
    case PlatformWriteOutcome::Written:
        return CreateOutcome::Created;
    case PlatformWriteOutcome::Conflict:
        return CreateOutcome::Exists;
    case PlatformWriteOutcome::Rejected:
        return CreateOutcome::Rejected;
    case PlatformWriteOutcome::NoResponse:
        break;
    }
    return CreateOutcome::NoResponse;
}

ShardWriteOutcome toShardWriteOutcome(PlatformWriteOutcome outcome)
{
    switch (outcome) {
    case PlatformWriteOutcome::Written:
        return ShardWriteOutcome::Written;
    case PlatformWriteOutcome::Conflict:
        return ShardWriteOutcome::Conflict;
    case PlatformWriteOutcome::Rejected:
        return ShardWriteOutcome::Rejected;
    case PlatformWriteOutcome::NoResponse:
        break;
    }
    return ShardWriteOutcome::NoResponse;
}

} // namespace

std::string patchKey(std::uint64_t version)
{
    const std::string digits = std::to_string(version);
    return std::string(PatchPrefix) + std::string(VersionDigits - digits.size(), '0') + digits;
}

PlatformSync::PlatformSync(PlatformSyncOptions options, PlatformClient &platform,
                           ControlLoop &control, Events events)
    : options_(std::move(options))
    , platform_(platform)
    , control_(control)
    , events_(std::move(events))
    , random_(options_.seed)
{ }

void PlatformSync::start()
{
    list();
    registerNode(0);
    const Instant now = std::chrono::steady_clock::now();
    control_.timers().every(now, options_.vmPoll, [this](Instant) { pollVms(); });
    control_.timers().every(now + NodeListInterval / 10, NodeListInterval,
                            [this](Instant) { listNodes(); });
}

void PlatformSync::retryLater(ControlTask task)
{
    up_ = false;
    const double maximumDelayMs = std::min(
        MaximumBackoffMs, InitialBackoffMs * (1U << std::min(failures_, MaximumBackoffDoublings)));
    ++failures_;
    // Random backoff, so that nodes don't reconnect to the platform at the same time.
    std::uniform_real_distribution<double> delayMs(InitialBackoffMs / 2, maximumDelayMs);
    control_.timers().once(std::chrono::steady_clock::now() + fromMilliseconds(delayMs(random_)),
                           std::move(task));
}

void PlatformSync::list()
{
    platform_.list(std::string(PatchPrefix), [this](PlatformListResult result) {
        post([this, result = std::move(result)](Instant) { onList(result); });
    });
}

void PlatformSync::postPatches(const PlatformListResult &list)
{
    for (const PlatformObject &object : list.objects) {
        control_.post(PatchLogMessage(
            PatchReceived { .version = versionOfKey(object.key), .text = object.value }));
    }
}

void PlatformSync::onList(const PlatformListResult &list)
{
    if (!list.responded) {
        retryLater([this](Instant) { this->list(); });
        return;
    }
    up_ = true;
    failures_ = 0;
    revision_ = list.revision;
    std::uint64_t highest = 0;
    for (const PlatformObject &object : list.objects) {
        highest = std::max(highest, versionOfKey(object.key));
    }
    postPatches(list);
    control_.post(PatchLogMessage(PlatformVersionReceived { .version = highest }));
    events_.patchesListed(list.objects.empty());
    watch();
}

void PlatformSync::watch()
{
    platform_.watch(std::string(PatchPrefix), revision_, [this](PlatformListResult result) {
        post([this, result = std::move(result)](Instant) { onWatch(result); });
    });
}

void PlatformSync::onWatch(const PlatformListResult &list)
{
    if (!list.responded || list.revision < revision_) {
        // After a missed revision, or a store restored to an older one, only a complete list is
        // reliable.
        retryLater([this](Instant) { this->list(); });
        return;
    }
    up_ = true;
    failures_ = 0;
    revision_ = list.revision;
    postPatches(list);
    watch();
}

void PlatformSync::createPatch(const CreatePatchObject &effect)
{
    platform_.write(
        patchKey(effect.version), effect.text, 0,
        [this, version = effect.version](PlatformWriteResult result) {
            control_.post(PatchLogMessage(PatchCreateCompleted {
                .version = version, .createOutcome = toCreateOutcome(result.outcome) }));
        });
}

void PlatformSync::readPatch(const ReadPatchObject &effect)
{
    platform_.read(
        patchKey(effect.version), [this, version = effect.version](PlatformReadResult result) {
            PatchReadCompleted message { .version = version, .responded = result.responded };
            if (result.object.has_value()) {
                message.text = std::move(result.object->value);
            }
            control_.post(PatchLogMessage(std::move(message)));
        });
}

void PlatformSync::readShard(const ReadShard &effect)
{
    platform_.read(effect.shard, [this, shard = effect.shard](PlatformReadResult result) {
        ShardReadCompleted message { .shard = shard, .responded = result.responded };
        if (result.object.has_value()) {
            message.version = result.object->version;
            message.text = std::move(result.object->value);
        }
        control_.post(ClaimMessage(std::move(message)));
    });
}

void PlatformSync::writeShard(const WriteShard &effect)
{
    platform_.write(effect.shard, effect.text, effect.expectedVersion,
                    [this, shard = effect.shard](PlatformWriteResult result) {
                        control_.post(ClaimMessage(ShardWriteCompleted {
                            .shard = shard,
                            .writeOutcome = toShardWriteOutcome(result.outcome),
                            .version = result.version }));
                    });
}

void PlatformSync::pollVms()
{
    platform_.listVms([this](const PlatformVmListResult &result) {
        if (!result.responded) {
            return;
        }
        std::set<std::string> leaving;
        for (const PlatformVm &vm : result.vms) {
            if (vm.state == VmState::Leaving) {
                leaving.insert(vm.name);
            }
        }
        post([this, leaving = std::move(leaving)](Instant) { events_.vmsLeaving(leaving); });
    });
}

void PlatformSync::registerNode(std::uint64_t expectedVersion)
{
    const std::string key = std::string(NodePrefix) + options_.nodeName;
    platform_.write(
        key, options_.peerAddress, expectedVersion, [this, key](PlatformWriteResult result) {
            if (result.outcome == PlatformWriteOutcome::Written) {
                return;
            }
            // The entry of an earlier run exists, or the platform is unavailable.
            platform_.read(key, [this](const PlatformReadResult &read) {
                if (read.object.has_value() && read.object->value == options_.peerAddress) {
                    return;
                }
                const std::uint64_t version = read.object.has_value() ? read.object->version : 0;
                post([this, version](Instant) {
                    retryLater([this, version](Instant) { registerNode(version); });
                });
            });
        });
}

void PlatformSync::listNodes()
{
    platform_.list(std::string(NodePrefix), [this](const PlatformListResult &result) {
        for (const PlatformObject &object : result.objects) {
            if (object.value != options_.peerAddress) {
                post([this, address = object.value](Instant) { events_.nodeFound(address); });
            }
        }
    });
}

} // namespace jacinthroad
