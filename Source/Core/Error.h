#pragma once

#include <string>

#include <tl/expected.hpp>

#include "Core/ErrorKind.h"

namespace jacinthroad {

/// An error that names its object, the fault and the remedy.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    /// What is wrong, with the field or object named.
    std::string message;
    /// What to do about it; empty takes the remedy of the kind.
    std::string remedy;

    /// The remedy to show.
    [[nodiscard]] std::string remedyText() const
    {
        return remedy.empty() ? std::string(errorResponse(kind).remedy) : remedy;
    }
};

/// A value, or the error that kept it from being made.
template <typename Value> using Result = tl::expected<Value, Error>;

/// Shorthand for returning an error from a function whose result is a Result.
[[nodiscard]] inline tl::unexpected<Error> makeError(ErrorKind kind, std::string message,
                                                     std::string remedy = {})
{
    return tl::make_unexpected(
        Error { .kind = kind, .message = std::move(message), .remedy = std::move(remedy) });
}

} // namespace jacinthroad
