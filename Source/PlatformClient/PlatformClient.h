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

/// An object of the platform.
struct PlatformObject
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

/// Result of a read.
struct PlatformReadResult
{
    /// False if the platform sent no valid response.
    bool responded = false;
    /// Unset if the object does not exist.
    std::optional<PlatformObject> object;
};

/// Outcome of a conditional write. NoResponse (also for an unexpected response) means that the
/// write may have taken effect, Rejected that it has not.
enum class PlatformWriteOutcome : std::uint8_t { Written, Conflict, NoResponse, Rejected };

/// Result of a write.
struct PlatformWriteResult
{
    PlatformWriteOutcome outcome = PlatformWriteOutcome::NoResponse;
    /// Version of the written object; 0 unless Written.
    std::uint64_t version = 0;
};

/// Result of a list or a watch.
struct PlatformListResult
{
    /// False if the platform sent no valid response.
    bool responded = false;
    /// Store revision that the list reflects.
    std::uint64_t revision = 0;
    std::vector<PlatformObject> objects;
};

/// State of a VM in the platform's list, which lags behind the actual state.
enum class VmState : std::uint8_t { Live, Leaving };

/// A VM.
struct PlatformVm
{
    std::string name;
    VmState state = VmState::Live;
};

/// Result of listing the VMs.
struct PlatformVmListResult
{
    /// False if the platform sent no valid response.
    bool responded = false;
    std::vector<PlatformVm> vms;
};

/// Settings of a PlatformClient.
struct PlatformClientOptions
{
    /// Base URL with an IP address.
    std::string url;
    /// Timeout of a call; a watch adds it to `watchTime`.
    Duration timeout = std::chrono::seconds(2);
    /// How long the platform waits for a change before it responds to a watch.
    Duration watchTime = std::chrono::seconds(20);
};

/// Client of the platform's object API: versioned objects, conditional writes, lists and watches.
/// Callbacks run on the HTTP client's thread.
class PlatformClient
{
public:
    PlatformClient(PlatformClientOptions options, HttpClient &http);

    /// Reads an object.
    void read(const std::string &key, std::function<void(PlatformReadResult)> done);
    /// Writes the object if it still has `expectedVersion`. With 0, creates it; the outcome is
    /// Conflict if it exists.
    void write(const std::string &key, const std::string &value, std::uint64_t expectedVersion,
               std::function<void(PlatformWriteResult)> done);
    /// Lists the objects whose keys start with the prefix.
    void list(const std::string &prefix, std::function<void(PlatformListResult)> done);
    /// Reports the objects under the prefix that changed after the revision, as soon as there are
    /// any or `watchTime` has passed.
    void watch(const std::string &prefix, std::uint64_t afterRevision,
               std::function<void(PlatformListResult)> done);
    /// Lists the entry VMs.
    void listVms(std::function<void(PlatformVmListResult)> done);

    /// Number of calls made so far. A watch counts as one call.
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    void get(const std::string &path, Duration timeout,
             std::function<void(CallOutcome, const HttpResponse &)> done);

    PlatformClientOptions options_;
    HttpClient &http_;
    std::atomic<std::uint64_t> calls_ { 0 };
};

} // namespace jacinthroad
