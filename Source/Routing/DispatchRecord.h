#pragma once

#include <cstdint>
#include <string_view>

#include "Core/Refusal.h"

namespace jacinthroad {

/// The verdict as refusals write it: `true`, `false` or `unknown`.
[[nodiscard]] std::string_view notRunName(NotRun verdict);

/// What is proved about the attempts of one request. This is the only place that produces the
/// verdict "not run": it stands while every attempt that was started is proved not to have
/// reached a backend server.
class DispatchRecord
{
public:
    /// An attempt was handed to a traffic thread.
    void noteStarted() { ++open_; }
    /// An attempt ended and provably never reached the server, or the server said it refused it.
    void noteNotRun() { --open_; }
    /// An attempt ended after it may have run.
    void noteMayHaveRun();
    /// An attempt ran: the server answered with work of its own.
    void noteRan();

    /// What may be said now.
    [[nodiscard]] NotRun verdict() const;

private:
    std::uint32_t open_ = 0;
    bool mayHaveRun_ = false;
    bool ran_ = false;
};

} // namespace jacinthroad
