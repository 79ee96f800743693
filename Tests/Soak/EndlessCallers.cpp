#include "EndlessCallers.h"

#include <algorithm>
#include <random>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Core/Endpoint.h"
#include "EndlessForms.h"
#include "SoakTraffic.h"

namespace jacinthroad {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t Connections = 4;
constexpr int ShortestTimeMs = 100;
constexpr int LongestTimeMs = 800;
constexpr int LongestPauseMs = 100;
constexpr Duration WriteInterval = milliseconds(1);

/// The beginning of a request that goes on without end in this form.
std::string beginOf(const EndlessForm &form, const std::string &key, std::uint64_t number)
{
    using Place = EndlessForm::Place;
    std::string text = "POST /unsafe/u HTTP/1.1\r\nHost: h\r\nX-Request-Id: u-"
        + std::to_string(number) + "\r\n";
    text += key.empty() ? "" : "Authorization: Bearer " + key + "\r\n";
    if (form.place == Place::Length) {
        text += "Content-Length: 1000000000000\r\n\r\n";
    } else if (form.place != Place::Header) {
        text += "Transfer-Encoding: chunked\r\n\r\n";
    }
    return text.append(form.begin);
}

struct Upload
{
    asio::ip::tcp::socket socket;
    std::string text;
    std::size_t written = 0;
};

/// Writes what the connection takes; returns false once it is closed.
bool writeOn(Upload &upload, const std::string &block, std::size_t most)
{
    error_code error;
    const std::size_t begin = upload.text.size();
    const std::string_view rest = upload.written < begin
        ? std::string_view(upload.text).substr(upload.written)
        : std::string_view(block).substr((upload.written - begin) % block.size(), most);
    upload.written += upload.socket.write_some(asio::buffer(rest), error);
    return !error || error == asio::error::would_block;
}

} // namespace

std::map<std::string, std::size_t>
sendEndlessRequests(const std::vector<std::shared_ptr<NodeProcess>> &nodes, std::uint64_t seed,
                    Instant until)
{
    constexpr std::size_t QuickBytes = 64 * 1024;
    constexpr std::size_t SlowBytes = 7;
    std::mt19937_64 random(seed);
    std::vector<EndlessForm> forms;
    std::copy_if(endlessForms().begin(), endlessForms().end(), std::back_inserter(forms),
                 occursInRequests);
    std::map<std::string, std::size_t> requests;
    asio::io_context context;
    while (std::chrono::steady_clock::now() < until) {
        const NodeProcess &node = *nodes[random() % nodes.size()];
        const EndlessForm &form = forms[random() % forms.size()];
        const bool inner = between(random, 0, 1) == 1;
        const std::vector<std::string> addresses
            = inner ? node.innerAddresses() : std::vector<std::string> { node.listenAddress() };
        const auto endpoint = parseEndpoint(addresses[random() % addresses.size()]);
        const std::string key = between(random, 0, 1) == 1 ? soakKeys().front() : "";
        const std::size_t most = between(random, 0, 2) == 0 ? SlowBytes : QuickBytes;
        const std::string block = endlessBlock(form);
        std::vector<Upload> uploads;
        for (std::size_t number = 0; number < Connections; ++number) {
            error_code error;
            asio::ip::tcp::socket socket(context);
            socket.connect(*endpoint, error);
            if (!error) {
                socket.non_blocking(true, error);
                uploads.push_back(
                    { .socket = std::move(socket), .text = beginOf(form, key, random()) });
            }
        }
        requests[node.name()] += inner ? 0 : uploads.size();
        const Instant end
            = std::min(until,
                       std::chrono::steady_clock::now()
                           + milliseconds(between(random, ShortestTimeMs, LongestTimeMs)));
        while (!uploads.empty() && std::chrono::steady_clock::now() < end) {
            std::erase_if(uploads, [&](Upload &upload) { return !writeOn(upload, block, most); });
            std::this_thread::sleep_for(WriteInterval);
        }
        std::this_thread::sleep_for(milliseconds(between(random, 0, LongestPauseMs)));
    }
    return requests;
}

} // namespace jacinthroad
