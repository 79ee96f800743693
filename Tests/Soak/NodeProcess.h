#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

#include "Core/Time.h"
#include "LogPipe.h"

namespace jacinthroad {

/// Event of the line that precedes the lines of a process in a node's log, with its build.
constexpr const char *StartEvent = "soak_start";

/// A span of time in which a node was disturbed.
struct TimeSpan
{
    Instant begin;
    Instant end;
};

/// A stop that was asked for with SIGTERM.
struct NodeStop
{
    Instant at;
    /// Time until SIGKILL.
    Duration grace {};
    /// The process was paused before its end.
    bool paused = false;
};

/// A build of the program that a node runs.
enum class NodeBuild : std::uint8_t {
    /// The only one of a run.
    Only,
    Earlier,
    New,
};

/// Name of a build in logs and traces; empty for the only one.
[[nodiscard]] std::string_view buildName(NodeBuild build);

/// The name of a node, with its build if there are two.
[[nodiscard]] std::string withBuild(std::string_view node, NodeBuild build);

/// One gateway node that runs as a process of its own, with a settings file in a folder.
class NodeProcess
{
public:
    struct Options
    {
        /// Path of the `jacinthroad` program.
        std::string program;
        /// Path of an earlier build of it; the node starts with this one unless it is empty.
        std::string earlierProgram;
        /// Settings that the earlier build refuses, as "group.name".
        std::vector<std::string> withoutSettings;
        /// Folder for the settings file and the log.
        std::string folder;
        std::string name;
        /// `IP:port` of the store.
        std::string storeAddress;
        /// Time from SIGTERM to SIGKILL.
        Duration stopGrace {};
        std::string zone = "z";
        /// The setting of the memory that the process may use; 0 leaves it out.
        double memoryMb = 0;
        /// Limit of its open descriptors; 0 leaves it as it is.
        std::uint64_t descriptors = 0;
        /// The setting of the time for new weights; unset leaves it out.
        std::optional<Duration> weightsLimit {};
        /// The log begins with a hole, so that each limit on its size leaves room for the files
        /// that a start of an earlier build writes.
        bool logHasHole = false;
        /// The process logs to a pipe, whose reader writes the log.
        bool logIsPipe = false;
    };

    explicit NodeProcess(Options options);
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;
    ~NodeProcess();

    /// Starts the process. Throws std::system_error if it cannot be started.
    void start();
    /// Waits until the loader has mapped a library of the program or the process has ended. From
    /// then on no signal that the program handles may end it.
    void waitUntilLoading() const;
    /// Sends a signal to the process. May be called by several threads.
    void signal(int number);
    /// Rewrites the settings file with another retry allowance, as before a SIGHUP.
    void changeSettings(int retryAllowance) const;
    /// Changes the time from SIGTERM to SIGKILL, in the settings file from its next change on.
    void setStopGrace(Duration grace) { options_.stopGrace = grace; }
    [[nodiscard]] Duration stopGrace() const { return options_.stopGrace; }
    /// Chooses the build for the next start and the next change of the settings file.
    void chooseBuild(NodeBuild build) { build_ = build; }
    [[nodiscard]] NodeBuild build() const { return build_; }
    /// Kills the process if its resident size and what its connections have received and it hasn't
    /// read are above the limit; returns that sum, 0 without a process.
    std::uint64_t killOverMemory(std::uint64_t limitBytes);
    /// Gives the process the processor or withholds it, without a pause in the sense of the faults.
    void allot(bool runs);
    /// Limits the files of the process to the size of its log and some bytes; with `stays`, those
    /// of later processes too.
    void limitLog(std::uintmax_t bytes, bool stays);
    /// Takes the limit away.
    void freeLog();
    /// Empties the log, whose limit goes on.
    void emptyLog();
    /// Lets the reader of the log's pipe stand still, or go on.
    void holdLog(bool still);
    /// Gives the log of the next starts a full disk, or the usual one.
    void fillDisk(bool full);
    /// Waits until the process has ended, for `limit` at most; returns false if it still runs.
    [[nodiscard]] bool waitForEnd(Duration limit);
    /// Kills the process and waits for its end.
    void kill();

    /// The address to which the process listens for callers.
    [[nodiscard]] const std::string &listenAddress() const { return callerAddress_; }
    /// Lets callers reach the process at another address.
    void setReachedAt(const std::string &address) { reachedAt_ = address; }
    /// The address that callers use.
    [[nodiscard]] const std::string &callerAddress() const
    {
        return reachedAt_.empty() ? callerAddress_ : reachedAt_;
    }
    /// The addresses to which the process listens for others than callers.
    [[nodiscard]] std::vector<std::string> innerAddresses() const
    {
        return { readinessAddress_, metricsAddress_, peerAddress_, forwardingAddress_ };
    }
    [[nodiscard]] const std::string &name() const { return options_.name; }
    /// Its name, with its build if there are two.
    [[nodiscard]] std::string nameWithBuild() const;
    /// Number of kills so far. A request whose connection breaks around a kill is not judged.
    [[nodiscard]] unsigned kills() const { return kills_; }
    /// Number of kills after which the process has ended; less than kills() during a kill.
    [[nodiscard]] unsigned finishedKills() const { return finishedKills_; }
    /// Number of ends of the process so far, of any kind.
    [[nodiscard]] unsigned ends() const { return ends_; }

    /// Records a span in which the process was started, stopped, killed or paused.
    void noteDisturbance(TimeSpan span);
    [[nodiscard]] std::vector<TimeSpan> disturbances() const;
    [[nodiscard]] std::vector<NodeStop> stops() const;
    /// Moments of the kills.
    [[nodiscard]] std::vector<Instant> killMoments() const;
    /// The lines that the process has written since this object was made.
    [[nodiscard]] std::vector<std::string> loggedLines() const;
    /// Spans in which lines may be missing from the log.
    [[nodiscard]] std::vector<TimeSpan> logGaps() const;
    /// Spans in which the reader of the log's pipe stood still or the log's disk was full.
    [[nodiscard]] std::vector<TimeSpan> logLosses() const;
    /// Number of ends by killOverMemory().
    [[nodiscard]] unsigned endsOverMemory() const { return endsOverMemory_; }
    /// Signals other than SIGKILL that ended a process.
    [[nodiscard]] std::vector<int> fatalSignals() const;

private:
    [[nodiscard]] std::string logFile() const;
    /// Records that a process begins, with a full disk or without; needs the mutex.
    void noteFullDisk(bool full);

    Options options_;
    std::string callerAddress_;
    std::string reachedAt_;
    std::string readinessAddress_;
    std::string metricsAddress_;
    std::string peerAddress_;
    std::string forwardingAddress_;
    /// Guards `process_`, as its number may belong to another process after its end.
    mutable std::mutex mutex_;
    pid_t process_ = -1;
    std::vector<TimeSpan> disturbances_;
    std::vector<NodeStop> stops_;
    std::vector<Instant> killMoments_;
    bool paused_ = false;
    bool withheld_ = false;
    std::atomic<unsigned> endsOverMemory_ { 0 };
    std::atomic<NodeBuild> build_;
    std::vector<int> fatalSignals_;
    /// Size of the log of earlier runs in the same folder.
    std::uintmax_t logBegin_ = 0;
    std::optional<std::uintmax_t> logLimit_;
    /// From the limits on the log's size.
    std::vector<TimeSpan> logGaps_;
    std::vector<TimeSpan> logLosses_;
    std::atomic<bool> logStandsStill_ { false };
    std::unique_ptr<LogPipe> logPipe_;
    std::atomic<bool> nextDiskIsFull_ { false };
    /// Span of the process that runs with a full disk, in `logLosses_`.
    std::optional<std::size_t> fullDisk_;
    /// Span of the standing reader, in `logLosses_`.
    std::optional<std::size_t> standstill_;
    /// Lines that were in the log before it was emptied.
    std::vector<std::string> emptiedLines_;
    std::atomic<unsigned> kills_ { 0 };
    std::atomic<unsigned> finishedKills_ { 0 };
    std::atomic<unsigned> ends_ { 0 };
};

} // namespace jacinthroad
