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

/// A step that needs the control thread and is none of the decision libraries' messages, such as
/// an operator's question.
using ControlTask = std::function<void(Instant)>;

/// Anything posted to the control thread.
using ControlMessage
    = std::variant<DispatcherMessage, ClaimMessage, PatchLogMessage, PeerMessage, ControlTask>;

/// The thread that owns all control state. Other threads post messages; the timer service
/// belongs to it.
class ControlLoop
{
public:
    using Handler = std::function<void(const ControlMessage &, Instant)>;

    explicit ControlLoop(Handler handler);
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;
    ~ControlLoop();

    /// Starts the thread.
    void start();
    /// Handles what is queued and joins the thread; later posts are dropped.
    void stop();

    /// Queues a message; safe from any thread.
    void post(ControlMessage message);
    /// Queues a decision library's own message; safe from any thread.
    void postDispatcher(DispatcherMessage message) { post(ControlMessage(std::move(message))); }

    /// The timers; used on the control thread, or before start().
    [[nodiscard]] TimerService &timers() { return timers_; }
    /// Processor time that the thread has used.
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
