#include "Core/ProcessFailure.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <csignal>
#include <ctime>
#include <exception>
#include <new>
#include <string_view>

#include <dlfcn.h>
#include <link.h>
#include <poll.h>
#include <ucontext.h>
#include <unistd.h>

namespace jacinthroad {

namespace {

constexpr std::size_t SignalStackBytes = 65536;
/// How long a full pipe is waited for, in ms, before the line is dropped.
constexpr int WriteTimeout = 100;

struct FatalSignal
{
    int number;
    std::string_view name;
};

constexpr std::array<FatalSignal, 5> FatalSignals { {
    { SIGSEGV, "SIGSEGV" },
    { SIGBUS, "SIGBUS" },
    { SIGFPE, "SIGFPE" },
    { SIGILL, "SIGILL" },
    { SIGABRT, "SIGABRT" },
} };

thread_local const char *threadName = "other";
std::atomic<std::int64_t> openRequestCount { 0 };
std::atomic<int> reportDescriptor { STDOUT_FILENO };
std::atomic<std::uintptr_t> programBase { 0 };
/// Set by the first failure; a second one, such as the abort after an exception, writes nothing.
std::atomic<bool> reported { false };

/// A log line in a buffer of fixed size, built without calls that are unsafe in a signal handler.
class FailureLine
{
public:
    FailureLine()
    {
        append(R"({"time":")");
        appendTime();
        append(R"(","level":"error","event":"process_failed")");
    }

    void addText(std::string_view name, std::string_view value)
    {
        beginField(name);
        append("\"");
        for (const char character : value) {
            const bool plain
                = character >= ' ' && character <= '~' && character != '"' && character != '\\';
            append(plain ? std::string_view(&character, 1) : std::string_view("?"));
        }
        append("\"");
    }

    void addNumber(std::string_view name, std::int64_t value)
    {
        beginField(name);
        appendNumber(value, 0);
    }

    void addAddress(std::string_view name, std::uintptr_t value)
    {
        std::array<char, 16> digits {};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
        beginField(name);
        append("\"0x");
        append({ digits.data(), static_cast<std::size_t>(end.ptr - digits.data()) });
        append("\"");
    }

    void write()
    {
        append("}\n");
        const int descriptor = reportDescriptor.load();
        pollfd state { .fd = descriptor, .events = POLLOUT, .revents = 0 };
        if (poll(&state, 1, WriteTimeout) < 0 && errno != EINTR) {
            return;
        }
        std::size_t written = 0;
        while ((state.revents & POLLOUT) != 0 && written < size_) {
            const ssize_t part = ::write(descriptor, text_.data() + written, size_ - written);
            if (part > 0) {
                written += static_cast<std::size_t>(part);
            } else if (errno != EINTR) {
                return;
            }
        }
    }

private:
    void append(std::string_view text)
    {
        const std::size_t size = std::min(text.size(), text_.size() - size_);
        std::copy_n(text.begin(), size, text_.begin() + static_cast<std::ptrdiff_t>(size_));
        size_ += size;
    }

    void beginField(std::string_view name)
    {
        append(",\"");
        append(name);
        append("\":");
    }

    void appendNumber(std::int64_t value, std::size_t width)
    {
        std::array<char, 24> digits {};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value);
        const auto size = static_cast<std::size_t>(end.ptr - digits.data());
        for (std::size_t zeros = size; zeros < width; ++zeros) {
            append("0");
        }
        append({ digits.data(), size });
    }

    void appendTime()
    {
        timespec now {};
        clock_gettime(CLOCK_REALTIME, &now);
        const std::chrono::sys_seconds seconds { std::chrono::seconds(now.tv_sec) };
        const auto day = std::chrono::floor<std::chrono::days>(seconds);
        const std::chrono::year_month_day date { day };
        const std::chrono::hh_mm_ss time { seconds - day };
        constexpr std::int64_t NanosecondsPerMillisecond = 1000000;
        appendNumber(static_cast<int>(date.year()), 4);
        append("-");
        appendNumber(static_cast<unsigned>(date.month()), 2);
        append("-");
        appendNumber(static_cast<unsigned>(date.day()), 2);
        append("T");
        appendNumber(time.hours().count(), 2);
        append(":");
        appendNumber(time.minutes().count(), 2);
        append(":");
        appendNumber(time.seconds().count(), 2);
        append(".");
        appendNumber(now.tv_nsec / NanosecondsPerMillisecond, 3);
        append("Z");
    }

    std::array<char, 1024> text_;
    std::size_t size_ = 0;
};

void finish(FailureLine &line)
{
    line.addText("thread", threadName);
    line.addNumber("open_requests", openRequestCount.load());
    line.addText("remedy", "All connections of the node are lost; report this line.");
    line.write();
}

std::uintptr_t instructionAt(const void *context)
{
#if defined(__x86_64__)
    return static_cast<std::uintptr_t>(
        static_cast<const ucontext_t *>(context)->uc_mcontext.gregs[REG_RIP]);
#elif defined(__aarch64__)
    return static_cast<const ucontext_t *>(context)->uc_mcontext.pc;
#else
    static_cast<void>(context);
    return programBase.load();
#endif
}

void onFatalSignal(int signal, siginfo_t *info, void *context)
{
    if (!reported.exchange(true)) {
        const auto *const known
            = std::find_if(FatalSignals.begin(), FatalSignals.end(),
                           [signal](const FatalSignal &each) { return each.number == signal; });
        FailureLine line;
        line.addText("reason", "signal");
        line.addText("signal", known != FatalSignals.end() ? known->name : std::string_view());
        line.addNumber("signal_number", signal);
        line.addNumber("signal_code", info->si_code);
        line.addAddress("address", reinterpret_cast<std::uintptr_t>(info->si_addr));
        line.addAddress("instruction", instructionAt(context) - programBase.load());
        finish(line);
    }
    // The default action has been restored and ends the process when the handler returns.
    static_cast<void>(raise(signal));
}

[[noreturn]] void onTerminate()
{
    if (!reported.exchange(true)) {
        FailureLine line;
        const std::exception_ptr exception = std::current_exception();
        if (exception == nullptr) {
            line.addText("reason", "std::terminate without an exception");
        } else {
            try {
                std::rethrow_exception(exception);
            } catch (const std::exception &error) {
                line.addText("reason", std::string_view(error.what()).substr(0, 256));
            } catch (...) {
                line.addText("reason", "exception of unknown type");
            }
        }
        finish(line);
    }
    std::abort();
}

} // namespace

void installFailureReports(int descriptor)
{
    reportDescriptor = descriptor;
    Dl_info symbol {};
    link_map *object = nullptr;
    if (dladdr1(reinterpret_cast<const void *>(&onFatalSignal), &symbol,
                reinterpret_cast<void **>(&object), RTLD_DL_LINKMAP)
        != 0) {
        programBase = object->l_addr;
    }
    std::set_terminate(onTerminate);
    for (const FatalSignal &signal : FatalSignals) {
        struct sigaction action
        { };
        action.sa_sigaction = onFatalSignal;
        action.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
        sigemptyset(&action.sa_mask);
        static_cast<void>(sigaction(signal.number, &action, nullptr));
    }
}

ReportedThread::ReportedThread(const char *name)
{
    threadName = name;
    stack_t current {};
    if (sigaltstack(nullptr, &current) != 0 || (current.ss_flags & SS_DISABLE) == 0) {
        return;
    }
    // Without memory for it, the thread runs and reports on its own stack.
    signalStack_.reset(new (std::nothrow) std::byte[SignalStackBytes]);
    if (signalStack_ == nullptr) {
        return;
    }
    const stack_t stack { .ss_sp = signalStack_.get(), .ss_flags = 0, .ss_size = SignalStackBytes };
    static_cast<void>(sigaltstack(&stack, nullptr));
}

ReportedThread::~ReportedThread()
{
    if (signalStack_ != nullptr) {
        const stack_t none { .ss_sp = nullptr, .ss_flags = SS_DISABLE, .ss_size = 0 };
        static_cast<void>(sigaltstack(&none, nullptr));
    }
}

void noteOpenRequests(std::int64_t change)
{
    openRequestCount.fetch_add(change, std::memory_order_relaxed);
}

std::int64_t openRequests()
{
    return openRequestCount.load(std::memory_order_relaxed);
}

} // namespace jacinthroad
