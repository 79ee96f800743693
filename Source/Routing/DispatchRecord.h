#pragma once

#include <cstdint>
#include <string_view>

#include "Core/Refusal.h"

namespace jacinthroad {

/// The verdict as written in error responses: `true`, `false` or `unknown`.
[[nodiscard]] std::string_view notRunName(NotRun verdict);

/// Tracks whether any attempt of one request may have been executed. This is the only place that
/// produces the verdict "not run", which holds while every attempt that was started is proven not
/// to have been executed by a backend server.
class DispatchRecord
{
public:
    /// Records that an attempt was passed to a traffic thread.
    void noteStarted() { ++open_; }
    /// Records that an attempt ended without reaching the server, or that the server reported that
    /// it rejected it.
    void noteNotRun() { --open_; }
    /// Records that an attempt ended and may have been executed.
    void noteMayHaveRun();
    /// Records that an attempt was executed: the server returned its output.
    void noteRan();

    /// Returns what is known at present.
    [[nodiscard]] NotRun verdict() const;

private:
    std::uint32_t open_ = 0;
    bool mayHaveRun_ = false;
    bool ran_ = false;
};

} // namespace jacinthroad
