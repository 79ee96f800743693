#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace jacinthroad {

/// A part of HTTP or of an event stream that may repeat or has no length, written without end.
struct EndlessForm
{
    /// Where it begins.
    enum class Place : std::uint8_t {
        /// With a response, in place of all else.
        Response,
        /// Behind the header lines of a message.
        Header,
        /// Behind whole chunks of a body.
        Chunks,
        /// In whole chunks of a body.
        ChunkData,
        /// In a body with a length.
        Length,
        /// In a body that ends with the connection.
        ConnectionEnd,
    };

    Place place;
    /// Precedes what is repeated.
    std::string_view begin;
    std::string_view repeated;
};

/// All forms.
[[nodiscard]] std::span<const EndlessForm> endlessForms();
/// True if a request can have this form.
[[nodiscard]] bool occursInRequests(const EndlessForm &form);
/// The repeated bytes as they are written, many times over.
[[nodiscard]] std::string endlessBlock(const EndlessForm &form);
/// A body without the comments and events that servers repeat without end.
[[nodiscard]] std::string withoutEndlessEvents(std::string_view body);

} // namespace jacinthroad
