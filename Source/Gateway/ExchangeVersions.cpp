#include <algorithm>
#include <memory>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Gateway/BootClock.h"
#include "Gateway/Exchange.h"

namespace jacinthroad {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Longest time that a caller waits until the store has told which version began its stream; a
/// caller abandons a stream without an event after two seconds.
constexpr Duration DecisionTimeout = milliseconds(800);
/// Time for a decision that is on its way when that time ends late, because the process has
/// stalled.
constexpr Duration DecisionAfterStall = milliseconds(50);
/// A time limit that is handled this late counts as stalled, up to a number of stalls.
constexpr Duration DecisionStall = milliseconds(5);
constexpr unsigned MaxStallsOfDecision = 10;

/// A decision that the control thread takes.
struct PendingDecision
{
    explicit PendingDecision(asio::io_context &context)
        : timer(context)
    { }

    asio::steady_timer timer;
    std::optional<ResumeDecision> decision;
};

} // namespace

bool Exchange::keepsVersion() const
{
    return route_->kind == RouteKind::Streaming && route_->resumable;
}

bool Exchange::resumesStream() const
{
    return keepsVersion()
        && !(callerRequest_.resumeAfter.empty() && callerRequest_.resumes.empty());
}

std::string_view Exchange::originId() const
{
    return resumesStream() && !callerRequest_.resumes.empty() ? callerRequest_.resumes.text()
                                                              : callerRequest_.id.text();
}

asio::awaitable<bool> Exchange::findOrigin()
{
    if (!resumesStream() && forwarded_.softwareVersion.empty()) {
        co_return true;
    }
    if (!forwarded_.softwareVersion.empty()) {
        version_ = { forwarded_.softwareVersion };
        co_return true;
    }
    const Instant now = std::chrono::steady_clock::now();
    // Without `Resumes`, no record names the stream, so that only a single version decides.
    const bool named = !callerRequest_.resumes.empty();
    const StreamId stream = named ? streamId(originId()) : StreamId {};
    if (const SoftwareVersion *known
        = named ? state_.streamVersions.known(stream, placementRequest_.service, now) : nullptr) {
        version_ = { *known };
        co_return true;
    }
    const ResumeDecision decision = co_await decideOrigin(stream);
    if (const auto *resumed = std::get_if<ResumeAt>(&decision)) {
        version_ = { resumed->version };
        co_return true;
    }
    if (callerDisconnected_) {
        co_return true;
    }
    resumeRefusal_ = std::get<ResumeUnknown>(decision).reason == UnknownOrigin::NoRecord
        ? "unknown_no_record"
        : "unknown_store";
    state_.metrics.countResume(resumeRefusal_);
    co_return false;
}

asio::awaitable<ResumeDecision> Exchange::decideOrigin(StreamId stream)
{
    auto pending = std::make_shared<PendingDecision>(state_.context);
    Instant due = std::min(deadline_, std::chrono::steady_clock::now() + DecisionTimeout);
    pending->timer.expires_at(due);
    cancelAttempt_ = [pending] { pending->timer.cancel(); };
    state_.streamVersions.resolve(stream, placementRequest_.service,
                                  [pending](const ResumeDecision &decision) {
                                      pending->decision = decision;
                                      pending->timer.cancel();
                                  });
    for (unsigned stalls = 0; stalls <= MaxStallsOfDecision && !pending->decision.has_value()
         && !callerDisconnected_ && !endedByStop_;
         ++stalls) {
        error_code error;
        co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        const Instant now = std::chrono::steady_clock::now();
        if (error || now - due <= DecisionStall || outOfTime(now)) {
            break;
        }
        due = now + DecisionAfterStall;
        pending->timer.expires_at(due);
    }
    cancelAttempt_ = nullptr;
    co_return pending->decision.value_or(ResumeUnknown { UnknownOrigin::StoreUnavailable });
}

void Exchange::restrictVersions()
{
    if (!keepsVersion()) {
        return;
    }
    static const VersionSet None;
    const VersionSet &admitted
        = state_.streamVersions.admitted(placementRequest_.service, bootNow());
    if (version_.empty()) {
        placementRequest_.softwareVersions = &admitted;
    } else {
        placementRequest_.softwareVersions
            = admitted.contains(*version_.begin()) ? &version_ : &None;
    }
}

void Exchange::noteVersionSent(const Placement &placement, Instant now)
{
    if (!keepsVersion()) {
        return;
    }
    if (sends_ == 0 && resumesStream()) {
        state_.metrics.countResume("went_on");
    }
    version_ = { placement.softwareVersion };
    state_.streamVersions.noteSent({ .stream = streamId(originId()),
                                     .service = placementRequest_.service,
                                     .version = placement.softwareVersion },
                                   now);
}

void Exchange::noteNoServer()
{
    if (sends_ == 0 && resumesStream()) {
        resumeRefusal_ = "no_server";
        state_.metrics.countResume(resumeRefusal_);
    }
}

} // namespace jacinthroad
