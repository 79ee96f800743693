#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <signal.h>
#include <sys/types.h>

namespace jacinthroad {

/// A gateway that runs as a process of its own, with its output in a pipe. Killed at the end of the
/// object's life.
class ServeProcess
{
public:
    /// Starts the process and returns once its program has replaced that of the parent. `blocked`
    /// is its initial signal mask, `program` the path of its executable.
    explicit ServeProcess(const sigset_t *blocked = nullptr,
                          const std::string &program = JACINTHROAD_PROGRAM);
    ServeProcess(const ServeProcess &) = delete;
    ServeProcess &operator=(const ServeProcess &) = delete;
    ~ServeProcess();

    /// Returns as soon as the loader has mapped a library whose file name contains `name`, or the
    /// process has ended.
    void waitUntilMapped(std::string_view name) const;
    void signal(int number) const;
    /// Reads the output up to a line that contains `text`; false if the process ended before.
    [[nodiscard]] bool waitForOutput(std::string_view text);
    /// Waits until the process has ended and returns its status as from waitpid.
    [[nodiscard]] int waitForEnd();

private:
    std::string folder_;
    pid_t process_ = -1;
    int output_ = -1;
    std::string text_;
};

} // namespace jacinthroad
