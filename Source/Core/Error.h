#pragma once

#include <string>

#include <tl/expected.hpp>

#include "Core/ErrorKind.h"

namespace jacinthroad {

/// An error with the affected object, the problem and the remedy.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    /// The problem, with the name of the field or object.
    std::string message;
    /// What to do about it; if empty, the default remedy of the kind applies.
    std::string remedy;

    /// Returns the remedy, or the default remedy of the kind if none is set.
    [[nodiscard]] std::string remedyText() const
    {
        return remedy.empty() ? std::string(errorResponse(kind).remedy) : remedy;
    }
};

/// A value, or the error that prevented it.
template <typename Value> using Result = tl::expected<Value, Error>;

/// Creates an error to return from a function that returns a Result.
[[nodiscard]] inline tl::unexpected<Error> makeError(ErrorKind kind, std::string message,
                                                     std::string remedy = {})
{
    return tl::make_unexpected(
        Error { .kind = kind, .message = std::move(message), .remedy = std::move(remedy) });
}

} // namespace jacinthroad
