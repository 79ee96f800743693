#include "EndlessForms.h"

#include <array>

#include "ServerResponse.h"

namespace jacinthroad {

namespace {

using Place = EndlessForm::Place;

constexpr std::string_view Line = "X-Line: "
                                  "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
                                  "\r\n";
constexpr std::string_view Comment = ": endless\n";
constexpr std::string_view Event = "data: endless\n\n";

constexpr auto Forms = std::to_array<EndlessForm>({
    { Place::Response, "", "x" },
    { Place::Response, "HTTP/1.1 200 ", "x" },
    { Place::Response, "", "HTTP/1.1 103 X\r\n\r\n" },
    { Place::Header, "X-Line: ", "x" },
    { Place::Header, "", Line },
    { Place::Header, "", "a:\r\n" },
    { Place::Chunks, "", "z" },
    { Place::Chunks, "", "0" },
    { Place::Chunks, "5;a=", "x" },
    { Place::Chunks, "", "1;a=xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nx\r\n" },
    { Place::Chunks, "0\r\n", Line },
    { Place::Chunks, "0\r\nX-Line: ", "x" },
    { Place::Chunks, "7fffffffffff\r\n", "x" },
    { Place::Chunks, "", "1\r\nx\r\n" },
    { Place::ChunkData, "", "x" },
    { Place::ChunkData, "", "data: xxxxxxxxxxxxxxxxxxxxxxxx\n" },
    { Place::ChunkData, "", Comment },
    { Place::ChunkData, "", "\n" },
    { Place::ChunkData, "", Event },
    { Place::Length, "", "x" },
    { Place::ConnectionEnd, "", "x" },
});

std::string without(std::string_view text, std::string_view part)
{
    std::string rest;
    for (std::size_t end = text.find(part); end != std::string_view::npos; end = text.find(part)) {
        rest += text.substr(0, end);
        text.remove_prefix(end + part.size());
    }
    return rest.append(text);
}

} // namespace

std::span<const EndlessForm> endlessForms()
{
    return Forms;
}

bool occursInRequests(const EndlessForm &form)
{
    return form.place != Place::Response && form.place != Place::ConnectionEnd;
}

std::string endlessBlock(const EndlessForm &form)
{
    constexpr std::size_t BlockBytes = 64 * 1024;
    std::string block;
    while (block.size() + form.repeated.size() <= BlockBytes) {
        block += form.repeated;
    }
    return form.place == Place::ChunkData ? chunkOf(block) : block;
}

std::string withoutEndlessEvents(std::string_view body)
{
    constexpr std::string_view EventEnd = "\n\n";
    std::string text = without(without(body, Event), Comment);
    text.erase(0, text.find_first_not_of('\n'));
    for (std::size_t at = text.find(EventEnd); at != std::string::npos;
         at = text.find(EventEnd, at)) {
        at += EventEnd.size();
        text.erase(at, text.find_first_not_of('\n', at) - at);
    }
    return text;
}

} // namespace jacinthroad
