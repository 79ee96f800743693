#include "NodeProcess.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <system_error>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <json/value.h>

#include "Core/Json.h"
#include "FreeAddress.h"

namespace jacinthroad {

namespace {

constexpr Duration PollInterval = milliseconds(10);
/// A library that the program needs and the C library doesn't.
constexpr const char *ProgramLibrary = "libboost";
/// Time that the reader of a full pipe needs.
constexpr Duration DrainTime = milliseconds(200);
constexpr std::uintmax_t LogHoleBytes = 8'000'000;

void limitResource(pid_t process, __rlimit_resource resource, rlim_t limit)
{
    rlimit limits {};
    if (prlimit(process, resource, nullptr, &limits) == 0) {
        limits.rlim_cur = std::min(limit, limits.rlim_max);
        prlimit(process, resource, &limits, nullptr);
    }
}

/// Bytes that the connections of a process have received and it hasn't read.
std::uint64_t unreadBytes(const std::string &process)
{
    constexpr std::string_view Socket = "socket:[";
    std::set<std::string> sockets;
    std::error_code ignored;
    std::filesystem::directory_iterator entry(process + "/fd", ignored);
    // The process may end meanwhile.
    for (; entry != std::filesystem::directory_iterator(); entry.increment(ignored)) {
        const std::string target = std::filesystem::read_symlink(entry->path(), ignored).string();
        if (target.starts_with(Socket)) {
            sockets.insert(target.substr(Socket.size(), target.size() - Socket.size() - 1));
        }
    }
    constexpr std::size_t State = 3;
    constexpr std::size_t Queues = 4;
    constexpr std::size_t Inode = 9;
    const std::set<std::string> open { "01", "08" };
    std::uint64_t bytes = 0;
    std::ifstream table(process + "/net/tcp");
    for (std::string line; std::getline(table, line);) {
        std::istringstream text(line);
        const std::vector<std::string> fields(std::istream_iterator<std::string>(text), {});
        if (fields.size() > Inode && open.contains(fields[State])
            && sockets.contains(fields[Inode])) {
            const std::string &queues = fields[Queues];
            bytes += std::stoull(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
    }
    return bytes;
}

} // namespace

std::string_view buildName(NodeBuild build)
{
    switch (build) {
    case NodeBuild::Only:
        return {};
    case NodeBuild::Earlier:
        return "earlier";
    case NodeBuild::New:
        return "new";
    }
    return {};
}

std::string withBuild(std::string_view node, NodeBuild build)
{
    const std::string name(buildName(build));
    return std::string(node) + (name.empty() ? "" : " (" + name + " build)");
}

NodeProcess::NodeProcess(Options options)
    : options_(std::move(options))
    , callerAddress_(freeAddress())
    , readinessAddress_(freeAddress())
    , metricsAddress_(freeAddress())
    , peerAddress_(freeAddress())
    , forwardingAddress_(freeAddress())
    , build_(options_.earlierProgram.empty() ? NodeBuild::Only : NodeBuild::Earlier)
{
    std::error_code ignored;
    if (options_.logHasHole) {
        std::ofstream(logFile(), std::ios::app) << "\n";
        const std::uintmax_t size = std::filesystem::file_size(logFile(), ignored);
        std::filesystem::resize_file(logFile(), std::max(size, LogHoleBytes), ignored);
        std::ofstream(logFile(), std::ios::app) << "\n";
    }
    const std::uintmax_t size = std::filesystem::file_size(logFile(), ignored);
    logBegin_ = ignored ? 0 : size;
    constexpr int UsualRetryAllowance = 20;
    changeSettings(UsualRetryAllowance);
}

NodeProcess::~NodeProcess()
{
    kill();
}

void NodeProcess::changeSettings(int retryAllowance) const
{
    Json::Value settings;
    settings["edge"] = "gateway";
    settings["node"]["name"] = options_.name;
    settings["node"]["zone"] = options_.zone;
    settings["listen"]["callers"] = callerAddress_;
    settings["listen"]["readiness"] = readinessAddress_;
    settings["listen"]["metrics"] = metricsAddress_;
    settings["listen"]["peers"] = peerAddress_;
    settings["listen"]["forwarding"] = forwardingAddress_;
    settings["store"]["address"] = options_.storeAddress;
    settings["bounds"]["stop_grace_s"] = toMilliseconds(options_.stopGrace) / 1000;
    settings["bounds"]["repeat_allowance"] = retryAllowance;
    if (options_.weightsLimit.has_value()) {
        settings["bounds"]["weights_ms"] = wholeMilliseconds(*options_.weightsLimit);
    }
    if (options_.memoryMb > 0) {
        settings["memory"]["total_mb"] = options_.memoryMb;
    }
    if (build_ == NodeBuild::Earlier) {
        for (const std::string &name : options_.withoutSettings) {
            const std::size_t dot = name.find('.');
            settings[name.substr(0, dot)].removeMember(name.substr(dot + 1));
        }
    }
    const std::string file = options_.folder + "/" + options_.name + ".json";
    std::ofstream(file + ".new") << writeJson(settings);
    std::rename((file + ".new").c_str(), file.c_str());
}

void NodeProcess::start()
{
    const std::string settings = options_.folder + "/" + options_.name + ".json";
    const std::string log = logFile();
    const std::string &program
        = build_ == NodeBuild::Earlier ? options_.earlierProgram : options_.program;
    if (build_ != NodeBuild::Only) {
        Json::Value line;
        line["event"] = StartEvent;
        line["build"] = std::string(buildName(build_));
        std::ofstream(log, std::ios::app) << writeJson(line) << "\n";
    }
    std::array<const char *, 5> arguments { program.c_str(), "serve", "--settings",
                                            settings.c_str(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const bool diskIsFull = nextDiskIsFull_;
    if (options_.logIsPipe && !diskIsFull) {
        logPipe_ = nullptr;
        logPipe_ = std::make_unique<LogPipe>(log, logStandsStill_);
        posix_spawn_file_actions_adddup2(&actions, logPipe_->writeEnd(), STDOUT_FILENO);
    } else {
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                         diskIsFull ? "/dev/full" : log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A connection that the node inherits isn't reset when a stand-in closes it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const std::lock_guard lock(mutex_);
    paused_ = false;
    const int error = posix_spawn(&process_, program.c_str(), &actions, nullptr,
                                  const_cast<char **>(arguments.data()), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (logPipe_ != nullptr) {
        logPipe_->closeWriteEnd();
    }
    noteFullDisk(diskIsFull);
    if (error != 0) {
        process_ = -1;
        throw std::system_error(error, std::generic_category(), program);
    }
    if (logLimit_.has_value()) {
        limitResource(process_, RLIMIT_FSIZE, *logLimit_);
    }
    if (options_.descriptors > 0) {
        limitResource(process_, RLIMIT_NOFILE, options_.descriptors);
    }
}

std::uint64_t NodeProcess::killOverMemory(std::uint64_t limitBytes)
{
    pid_t process = -1;
    {
        const std::lock_guard lock(mutex_);
        process = process_;
    }
    // The table of connections may take longer to read than a turn of the processor lasts.
    const std::string folder = "/proc/" + std::to_string(process);
    std::uint64_t pages = 0;
    std::uint64_t used = 0;
    if (process > 0 && std::ifstream(folder + "/statm") >> pages >> pages) {
        used = pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) + unreadBytes(folder);
    }
    bool running = false;
    {
        const std::lock_guard lock(mutex_);
        running = process_ == process;
        endsOverMemory_ += used > limitBytes ? 1 : 0;
    }
    if (used > limitBytes && running) {
        kill();
    }
    return used;
}

void NodeProcess::allot(bool runs)
{
    const std::lock_guard lock(mutex_);
    withheld_ = !runs;
    if (process_ > 0 && !paused_) {
        ::kill(process_, runs ? SIGCONT : SIGSTOP);
    }
}

void NodeProcess::limitLog(std::uintmax_t bytes, bool stays)
{
    const std::lock_guard lock(mutex_);
    std::error_code ignored;
    const std::uintmax_t limit = std::filesystem::file_size(logFile(), ignored) + bytes;
    if (process_ > 0) {
        limitResource(process_, RLIMIT_FSIZE, limit);
    }
    if (stays) {
        logLimit_ = limit;
    }
    logGaps_.push_back({ .begin = std::chrono::steady_clock::now(), .end = Instant::max() });
}

void NodeProcess::holdLog(bool still)
{
    const std::lock_guard lock(mutex_);
    const Instant now = std::chrono::steady_clock::now();
    logStandsStill_ = still;
    if (still && !standstill_.has_value()) {
        standstill_ = logLosses_.size();
        logLosses_.push_back({ .begin = now, .end = Instant::max() });
    } else if (!still && standstill_.has_value()) {
        logLosses_[*standstill_].end = now + DrainTime;
        standstill_.reset();
    }
}

void NodeProcess::fillDisk(bool full)
{
    nextDiskIsFull_ = full;
}

void NodeProcess::noteFullDisk(bool full)
{
    const Instant now = std::chrono::steady_clock::now();
    if (fullDisk_.has_value()) {
        logLosses_[*fullDisk_].end = now;
        fullDisk_.reset();
    }
    if (full) {
        fullDisk_ = logLosses_.size();
        logLosses_.push_back({ .begin = now, .end = Instant::max() });
    }
}

void NodeProcess::freeLog()
{
    const std::lock_guard lock(mutex_);
    // Ends a line that the limit cut.
    std::ofstream(logFile(), std::ios::app) << "\n";
    logLimit_.reset();
    if (process_ > 0) {
        limitResource(process_, RLIMIT_FSIZE, RLIM_INFINITY);
    }
    logGaps_.back().end = std::chrono::steady_clock::now();
}

void NodeProcess::emptyLog()
{
    const std::vector<std::string> lines = loggedLines();
    const std::lock_guard lock(mutex_);
    std::ofstream emptied(options_.folder + "/" + options_.name + ".emptied.log", std::ios::app);
    for (std::size_t number = emptiedLines_.size(); number < lines.size(); ++number) {
        emptied << lines[number] << "\n";
    }
    emptiedLines_ = lines;
    std::error_code ignored;
    std::filesystem::resize_file(logFile(), logBegin_, ignored);
}

void NodeProcess::waitUntilLoading() const
{
    std::string file;
    {
        const std::lock_guard lock(mutex_);
        file = "/proc/" + std::to_string(process_) + "/maps";
    }
    for (;;) {
        std::ifstream maps(file);
        bool running = false;
        for (std::string line; std::getline(maps, line); running = true) {
            if (line.find(ProgramLibrary) != std::string::npos) {
                return;
            }
        }
        if (!running) {
            return;
        }
    }
}

void NodeProcess::signal(int number)
{
    const std::lock_guard lock(mutex_);
    if (process_ > 0) {
        if (number == SIGSTOP || number == SIGCONT) {
            paused_ = number == SIGSTOP;
            if (paused_ && !stops_.empty()) {
                stops_.back().paused = true;
            }
        }
        if (number == SIGTERM) {
            stops_.push_back({ .at = std::chrono::steady_clock::now(),
                               .grace = options_.stopGrace,
                               .paused = paused_ });
        }
        // The next allotment lets the process go on.
        if (number != SIGCONT || !withheld_) {
            ::kill(process_, number);
        }
    }
}

bool NodeProcess::waitForEnd(Duration limit)
{
    const Instant until = std::chrono::steady_clock::now() + limit;
    for (;;) {
        {
            const std::lock_guard lock(mutex_);
            if (process_ <= 0) {
                return true;
            }
            int status = 0;
            const pid_t ended = waitpid(process_, &status, WNOHANG);
            if (ended == process_ && WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL) {
                fatalSignals_.push_back(WTERMSIG(status));
            }
            if (ended == process_ || (ended < 0 && errno == ECHILD)) {
                process_ = -1;
                ++ends_;
                return true;
            }
        }
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

void NodeProcess::kill()
{
    ++kills_;
    {
        const std::lock_guard lock(mutex_);
        killMoments_.push_back(std::chrono::steady_clock::now());
    }
    signal(SIGKILL);
    static_cast<void>(waitForEnd(std::chrono::seconds(10)));
    ++finishedKills_;
}

std::string NodeProcess::nameWithBuild() const
{
    return withBuild(options_.name, build_);
}

void NodeProcess::noteDisturbance(TimeSpan span)
{
    const std::lock_guard lock(mutex_);
    disturbances_.push_back(span);
}

std::string NodeProcess::logFile() const
{
    return options_.folder + "/" + options_.name + ".log";
}

std::vector<std::string> NodeProcess::loggedLines() const
{
    const std::lock_guard lock(mutex_);
    std::ifstream log(logFile());
    log.seekg(static_cast<std::streamoff>(logBegin_));
    std::vector<std::string> lines = emptiedLines_;
    for (std::string line; std::getline(log, line);) {
        lines.push_back(line);
    }
    return lines;
}

std::vector<TimeSpan> NodeProcess::logGaps() const
{
    const std::lock_guard lock(mutex_);
    std::vector<TimeSpan> gaps = logGaps_;
    gaps.insert(gaps.end(), logLosses_.begin(), logLosses_.end());
    return gaps;
}

std::vector<TimeSpan> NodeProcess::logLosses() const
{
    const std::lock_guard lock(mutex_);
    return logLosses_;
}

std::vector<int> NodeProcess::fatalSignals() const
{
    const std::lock_guard lock(mutex_);
    return fatalSignals_;
}

std::vector<NodeStop> NodeProcess::stops() const
{
    const std::lock_guard lock(mutex_);
    return stops_;
}

std::vector<Instant> NodeProcess::killMoments() const
{
    const std::lock_guard lock(mutex_);
    return killMoments_;
}

std::vector<TimeSpan> NodeProcess::disturbances() const
{
    const std::lock_guard lock(mutex_);
    return disturbances_;
}

} // namespace jacinthroad
