#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

#include "Claims/ClaimCoordinator.h"
#include "Configuration/PatchLog.h"
#include "Core/Time.h"
#include "Core/TimerService.h"
#include "PeerLink/PeerMessage.h"
#include "Routing/DispatcherMessages.h"

namespace jacinthroad {

/// A function to run on the control thread that is not a message of a decision library, such as
/// an operator's query.
using ControlTask = std::function<void(Instant)>;

/// A message for the control thread.
using ControlMessage
    = std::variant<DispatcherMessage, ClaimMessage, PatchLogMessage, PeerMessage, ControlTask>;

/// Event loop on the thread that owns all control state, including the timer service. Other
/// threads post messages to it.
class ControlLoop
{
public:
    using Handler = std::function<void(const ControlMessage &, Instant)>;

    explicit ControlLoop(Handler handler);
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;
    ~ControlLoop();

    void start();
    /// Handles the queued messages and joins the thread; messages posted later are dropped.
    void stop();

    /// Queues a message; thread-safe.
    void post(ControlMessage message);
    /// Queues a message for the dispatcher; thread-safe.
    void postDispatcher(DispatcherMessage message) { post(ControlMessage(std::move(message))); }

    /// The timers, for use on the control thread or before start().
    [[nodiscard]] TimerService &timers() { return timers_; }
    /// CPU time that the thread has used; zero when it is not running.
    [[nodiscard]] Duration cpuTime() const;

private:
    void run();

    Handler handler_;
    TimerService timers_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<ControlMessage> queue_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace jacinthroad
