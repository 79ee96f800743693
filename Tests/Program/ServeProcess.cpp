#include "ServeProcess.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <json/value.h>

#include "Core/Json.h"
#include "FreeAddress.h"

namespace jacinthroad {

namespace {

constexpr int OutputTimeoutMs = 20000;

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

ServeProcess::ServeProcess(const Options &options)
    : folder_(makeFolder())
{
    Json::Value settings = gatewaySettings();
    if (options.unknownField) {
        settings["listen"]["later"] = 1;
    }
    settings_ = writeJson(settings);
    callers_ = settings["listen"]["callers"].asString();
    const std::string file = folder_ + "/settings.json";
    std::ofstream(file) << settings_.substr(0, settings_.size() / (options.halfSettings ? 2 : 1));
    std::array<int, 2> output {};
    if (pipe2(output.data(), O_CLOEXEC) != 0) {
        throw std::system_error(errno, std::generic_category(), "pipe2");
    }
    output_ = output[0];
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (int descriptor = STDIN_FILENO; descriptor <= STDERR_FILENO; ++descriptor) {
        if (options.closedStandardFiles) {
            posix_spawn_file_actions_addclose(&actions, descriptor);
        } else if (descriptor != STDIN_FILENO) {
            posix_spawn_file_actions_adddup2(&actions, output[1], descriptor);
        }
    }
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t mask {};
    sigemptyset(&mask);
    for (const int signal : options.blockedSignals) {
        sigaddset(&mask, signal);
    }
    posix_spawnattr_setsigmask(&attributes, &mask);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    std::array<const char *, 5> arguments { options.program.c_str(), "serve", "--settings",
                                            file.c_str(), nullptr };
    const int error = posix_spawn(&process_, options.program.c_str(), &actions, &attributes,
                                  const_cast<char **>(arguments.data()), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    close(output[1]);
    if (error != 0) {
        throw std::system_error(error, std::generic_category(), options.program);
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
        pollfd state { .fd = output_, .events = POLLIN, .revents = 0 };
        if (poll(&state, 1, OutputTimeoutMs) <= 0) {
            return false;
        }
        const ssize_t size = read(output_, bytes.data(), bytes.size());
        if (size <= 0) {
            return false;
        }
        text_.append(bytes.data(), static_cast<std::size_t>(size));
    }
    return true;
}

void ServeProcess::completeSettings() const
{
    std::ofstream(folder_ + "/settings.json") << settings_;
}

std::vector<std::string> ServeProcess::standardFiles() const
{
    std::vector<std::string> files;
    for (const char *const descriptor : { "0", "1", "2" }) {
        std::error_code missing;
        files.push_back(std::filesystem::read_symlink(
                            "/proc/" + std::to_string(process_) + "/fd/" + descriptor, missing)
                            .string());
    }
    return files;
}

bool ServeProcess::waitUntilListening() const
{
    namespace asio = boost::asio;
    const auto colon = callers_.find(':');
    const asio::ip::tcp::endpoint address(
        asio::ip::make_address(callers_.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(callers_.substr(colon + 1))));
    asio::io_context context;
    siginfo_t end {};
    while (waitid(P_PID, static_cast<id_t>(process_), &end, WEXITED | WNOWAIT | WNOHANG) == 0
           && end.si_pid == 0) {
        boost::system::error_code refused;
        asio::ip::tcp::socket socket(context);
        socket.connect(address, refused);
        if (!refused) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
}

int ServeProcess::waitForEnd()
{
    int status = 0;
    waitpid(process_, &status, 0);
    process_ = -1;
    return status;
}

} // namespace jacinthroad
