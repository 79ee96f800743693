#include <atomic>
#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "RpcClient/RpcClient.h"
#include "ScriptedServer.h"

namespace jacinthroad {

namespace {

/// An answer whose last part its node repeats without end.
struct EndlessAnswer
{
    const char *name;
    /// Sent once.
    std::string begin;
    /// Sent again and again.
    std::string rest;
};

std::ostream &operator<<(std::ostream &stream, const EndlessAnswer &answer)
{
    return stream << answer.name;
}

std::vector<EndlessAnswer> endlessAnswers()
{
    const std::string bytes(65536, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        { "body to the close", "HTTP/1.1 200 OK\r\n\r\n", bytes },
        { "body by length", "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", bytes },
        { "body of an error", "HTTP/1.1 500 No\r\n\r\n", bytes },
        { "string of the result", "HTTP/1.1 200 OK\r\n\r\n{\"result\":\"", bytes },
        { "one header line", "HTTP/1.1 200 OK\r\nX-Line: ", bytes },
        { "extension of a chunk", chunked + "5;a=", bytes },
    };
}

RpcCall callOf(const ScriptedServer &node)
{
    return { .url = "http://" + node.address() + "/rpc",
             .key = "key",
             .method = "status",
             .parameters = Json::Value(Json::objectValue),
             .timeout = std::chrono::seconds(15) };
}

/// What callRpc() says of a node that answers with this body.
RpcResponse answerTo(const std::string &body)
{
    ScriptedServer node([&](ScriptedConnection &connection) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        if (connection.read(request)) {
            connection.write(responseText(200, "", body));
        }
    });
    return callRpc(callOf(node));
}

std::string listOf(const std::string &entry, std::size_t bytes)
{
    std::string text = "[" + entry;
    while (text.size() < bytes) {
        text += "," + entry;
    }
    return text + "]";
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndlessAnswerTest)

BOOST_DATA_TEST_CASE(answerWithoutEndIsReadUntilTheTimeLimit, endlessAnswers(), answer)
{
    constexpr std::size_t EnoughBytes = 64 * 1024 * 1024;
    constexpr std::size_t MostBytes = 28 * 1024 * 1024;
    std::atomic<std::size_t> written { 0 };
    ScriptedServer node([&](ScriptedConnection &connection) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        if (!connection.read(request)) {
            return;
        }
        connection.write(answer.begin);
        while (written < EnoughBytes && !connection.waitForClose(milliseconds(0))) {
            connection.write(answer.rest);
            written += answer.rest.size();
        }
    });
    BOOST_TEST(callRpc(callOf(node)).failed);
    BOOST_TEST(written <= MostBytes);
}

BOOST_AUTO_TEST_CASE(nestedAnswerEndsTheProgram)
{
    BOOST_TEST(answerTo(std::string(100000, '[')).failed);
    BOOST_TEST(answerTo(R"({"jsonrpc":"2.0","id":1,"result":)" + std::string(2000, '[')
                        + std::string(2000, ']') + "}")
                   .failed);
}

BOOST_AUTO_TEST_CASE(answerOfManyValuesIsParsed)
{
    const std::string begin = R"({"jsonrpc":"2.0","id":1,"result":)";
    BOOST_TEST(answerTo(begin + listOf("[]", 8 * 1024 * 1024) + "}").failed);
    const RpcResponse accepted = answerTo(begin + listOf("[]", 64 * 1024) + "}");
    BOOST_TEST(!accepted.failed);
    BOOST_TEST(accepted.result.size() > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
