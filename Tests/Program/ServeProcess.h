#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace jacinthroad {

/// A gateway that runs as a process of its own, with its output in a pipe. Killed at the end of the
/// object's life.
class ServeProcess
{
public:
    struct Options
    {
        /// Path of the executable.
        std::string program = JACINTHROAD_PROGRAM;
        /// The signals that the process starts with as blocked.
        std::vector<int> blockedSignals {};
        /// Starts the process with only half of the settings file written.
        bool halfSettings = false;
        /// Adds a field to the settings that this build doesn't know.
        bool unknownField = false;
        /// Starts the process without standard input, output and error.
        bool closedStandardFiles = false;
    };

    /// Starts the process and returns once its program has replaced that of the parent.
    explicit ServeProcess(const Options &options);
    ServeProcess()
        : ServeProcess(Options {})
    { }
    ServeProcess(const ServeProcess &) = delete;
    ServeProcess &operator=(const ServeProcess &) = delete;
    ~ServeProcess();

    /// Returns as soon as the loader has mapped a library whose file name contains `name`, or the
    /// process has ended.
    void waitUntilMapped(std::string_view name) const;
    void signal(int number) const;
    /// Reads the output up to a line that contains `text`; false if the process ended before or
    /// wrote nothing for 20 s.
    [[nodiscard]] bool waitForOutput(std::string_view text);
    /// Replaces the settings file by a complete one.
    void completeSettings() const;
    /// Where each of the three standard files leads, as /proc tells it.
    [[nodiscard]] std::vector<std::string> standardFiles() const;
    /// Waits until the process accepts callers; false if it has ended.
    [[nodiscard]] bool waitUntilListening() const;
    /// Waits until the process has ended and returns its status as from waitpid.
    [[nodiscard]] int waitForEnd();

private:
    std::string folder_;
    std::string settings_;
    std::string callers_;
    pid_t process_ = -1;
    int output_ = -1;
    std::string text_;
};

} // namespace jacinthroad
