#pragma once

#include <cstddef>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

namespace jacinthroad {

/// Most fields of a header, and most trailers: a field without a value takes far more memory than
/// bytes.
constexpr std::size_t MaxFields = 512;

/// Parses a message and drops its trailers, which Beast would make fields of the header. More than
/// MaxFields trailers fail with http::error::header_limit.
template <bool IsRequest, typename Body>
class MessageParser : public boost::beast::http::parser<IsRequest, Body>
{
public:
    MessageParser() = default;
    /// Goes on with the body of a message whose header `other` has parsed.
    template <typename OtherBody>
    explicit MessageParser(MessageParser<IsRequest, OtherBody> &&other)
        : boost::beast::http::parser<IsRequest, Body>(
            static_cast<boost::beast::http::parser<IsRequest, OtherBody> &&>(other))
    { }

private:
    void on_field_impl(boost::beast::http::field name, boost::beast::string_view text,
                       boost::beast::string_view value, boost::system::error_code &error) override
    {
        if (!this->is_header_done()) {
            this->get().insert(name, text, value);
        } else if (++trailers_ > MaxFields) {
            error = boost::beast::http::error::header_limit;
        }
    }

    std::size_t trailers_ = 0;
};

template <typename Body> using RequestParser = MessageParser<true, Body>;
template <typename Body> using ResponseParser = MessageParser<false, Body>;

} // namespace jacinthroad
