#include "ServeProcess.h"

#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <system_error>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <json/value.h>

#include "Core/Json.h"
#include "FreeAddress.h"

namespace jacinthroad {

namespace {

std::string makeFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "jacinthroad-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::system_error(errno, std::generic_category(), name);
    }
    return name;
}

Json::Value gatewaySettings()
{
    Json::Value settings;
    settings["edge"] = "gateway";
    settings["node"]["name"] = "n";
    settings["node"]["zone"] = "z";
    for (const char *const listener : { "callers", "readiness", "metrics", "peers" }) {
        settings["listen"][listener] = freeAddress();
    }
    settings["store"]["address"] = freeAddress();
    return settings;
}

} // namespace

ServeProcess::ServeProcess(const sigset_t *blocked, const std::string &program)
    : folder_(makeFolder())
{
    const std::string settings = folder_ + "/settings.json";
    std::ofstream(settings) << writeJson(gatewaySettings());
    std::array<int, 2> output {};
    if (pipe2(output.data(), O_CLOEXEC) != 0) {
        throw std::system_error(errno, std::generic_category(), "pipe2");
    }
    output_ = output[0];
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDERR_FILENO);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t mask {};
    sigemptyset(&mask);
    posix_spawnattr_setsigmask(&attributes, blocked == nullptr ? &mask : blocked);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    std::array<const char *, 5> arguments { program.c_str(), "serve", "--settings",
                                            settings.c_str(), nullptr };
    const int error = posix_spawn(&process_, program.c_str(), &actions, &attributes,
                                  const_cast<char **>(arguments.data()), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    close(output[1]);
    if (error != 0) {
        throw std::system_error(error, std::generic_category(), program);
    }
}

ServeProcess::~ServeProcess()
{
    if (process_ > 0) {
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
    }
    close(output_);
    std::filesystem::remove_all(folder_);
}

void ServeProcess::waitUntilMapped(std::string_view name) const
{
    const std::string file = "/proc/" + std::to_string(process_) + "/maps";
    for (;;) {
        std::ifstream maps(file);
        std::size_t lines = 0;
        for (std::string line; std::getline(maps, line); ++lines) {
            if (line.find(name) != std::string::npos) {
                return;
            }
        }
        if (lines == 0) {
            return;
        }
    }
}

void ServeProcess::signal(int number) const
{
    kill(process_, number);
}

bool ServeProcess::waitForOutput(std::string_view text)
{
    std::array<char, 4096> bytes;
    while (text_.find(text) == std::string::npos) {
        const ssize_t size = read(output_, bytes.data(), bytes.size());
        if (size <= 0) {
            return false;
        }
        text_.append(bytes.data(), static_cast<std::size_t>(size));
    }
    return true;
}

int ServeProcess::waitForEnd()
{
    int status = 0;
    waitpid(process_, &status, 0);
    process_ = -1;
    return status;
}

} // namespace jacinthroad
