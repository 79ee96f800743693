#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"
#include "Http/HttpClient.h"

namespace jacinthroad {

/// One object of the platform.
struct PlatformObject
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

/// Answer to a read.
struct PlatformReadResult
{
    /// False when the platform gave no usable answer.
    bool responded = false;
    /// Absent when there is no such object.
    std::optional<PlatformObject> object;
};

/// How a conditional write ended.
enum class PlatformWriteOutcome : std::uint8_t { Written, Conflict, NoResponse, Rejected };

/// Answer to a write.
struct PlatformWriteResult
{
    PlatformWriteOutcome outcome = PlatformWriteOutcome::NoResponse;
    std::uint64_t version = 0;
};

/// Answer to a list or a watch.
struct PlatformListResult
{
    bool responded = false;
    /// Revision of the whole store that the list shows.
    std::uint64_t revision = 0;
    std::vector<PlatformObject> objects;
};

/// State of a VM as the platform's lagging list has it.
enum class VmState : std::uint8_t { Live, Leaving };

/// One VM.
struct PlatformVm
{
    std::string name;
    VmState state = VmState::Live;
};

/// Answer to a list of VMs.
struct PlatformVmListResult
{
    bool responded = false;
    std::vector<PlatformVm> vms;
};

/// Settings of a PlatformClient.
struct PlatformClientOptions
{
    /// Base URL with an IP number.
    std::string url;
    Duration timeout = std::chrono::seconds(2);
    /// How long a watch waits for a change.
    Duration watchTime = std::chrono::seconds(20);
};

/// The platform's object API: objects with versions, conditional writes, lists and watches.
/// Callbacks run on the HTTP client's thread.
class PlatformClient
{
public:
    PlatformClient(PlatformClientOptions options, HttpClient &http);

    void read(const std::string &key, std::function<void(PlatformReadResult)> done);
    /// Writes if the object still has `expectedVersion`; 0 creates it and fails if it exists.
    void write(const std::string &key, const std::string &value, std::uint64_t expectedVersion,
               std::function<void(PlatformWriteResult)> done);
    void list(const std::string &prefix, std::function<void(PlatformListResult)> done);
    /// Answers with objects under the prefix changed after the revision, as soon as there are any.
    void watch(const std::string &prefix, std::uint64_t afterRevision,
               std::function<void(PlatformListResult)> done);
    void listVms(std::function<void(PlatformVmListResult)> done);

    /// Calls made so far, each watch counted once.
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    void get(const std::string &path, Duration timeout,
             std::function<void(CallOutcome, HttpResponse)> done);

    PlatformClientOptions options_;
    HttpClient &http_;
    std::atomic<std::uint64_t> calls_ { 0 };
};

} // namespace jacinthroad
