#include "UnboundedResponses.h"

#include <array>
#include <ostream>
#include <thread>

#include <boost/test/unit_test.hpp>

namespace jacinthroad {

namespace {

constexpr milliseconds RouteLimit { 1200 };
/// Largest bodies, events and reports.
constexpr std::size_t MaxSkippedBytes = 16 * 1024 * 1024;
constexpr std::size_t MaxEventBytes = 256 * 1024;
constexpr std::size_t MaxReportBytes = 256 * 1024;
constexpr std::array<unsigned, 2> Statuses { 200, 500 };
constexpr int Servers = 8;

} // namespace

std::ostream &operator<<(std::ostream &stream, ResponseReader reader)
{
    constexpr std::array<const char *, 7> Names {
        "plain response", "repeat", "response to HEAD", "response to another request", "stream",
        "take-up",        "report"
    };
    return stream << Names[static_cast<std::size_t>(reader)];
}

UnboundedResponses::UnboundedResponses(ResponseReader reader)
    : reader_(reader)
{
    fixture.settings.memoryMb = NodeMemoryMb;
    const auto handler = [this](ScriptedConnection &connection, const ReceivedRequest &request) {
        return respond(connection, request);
    };
    // Enough that some are left when others are avoided.
    for (int number = 1; number <= Servers; ++number) {
        fixture.addServer("s" + std::to_string(number), "plain", handler);
        // Processes are confirmed while several versions serve.
        fixture.addServer("e" + std::to_string(number), "engines", handler,
                          reader == ResponseReader::Report && number % 2 == 0 ? "v2" : "v1");
    }
    fixture.configure(1, { "k1" });
    Json::Value spec = fixture.store.spec("config", "main");
    for (Json::Value &route : spec["routes"]) {
        route["timeoutMs"] = Json::Int64(RouteLimit.count());
    }
    fixture.store.put("config", "main", spec);
}

bool UnboundedResponses::isStream() const
{
    return reader_ == ResponseReader::Stream || reader_ == ResponseReader::TakeUp
        || reader_ == ResponseReader::Report;
}

Answer UnboundedResponses::call(const UnboundedInput &input, unsigned status, Pace pace,
                                std::size_t maxBytes)
{
    static std::atomic<unsigned> calls { 0 };
    const bool goesOn = reader_ == ResponseReader::TakeUp || reader_ == ResponseReader::Report;
    const std::string path = (goesOn                                  ? "/stream/endless-"
                                  : isStream()                        ? "/once/endless-"
                                  : reader_ == ResponseReader::Repeat ? "/safe/endless-"
                                                                      : "/unsafe/endless-")
        + std::to_string(++calls);
    {
        const std::lock_guard lock(mutex_);
        requests_[path] = { .input = input, .status = status, .pace = pace, .maxBytes = maxBytes };
    }
    return callGateway(fixture, reader_ == ResponseReader::Head ? "HEAD" : "POST", path);
}

Answer UnboundedResponses::callSameService()
{
    return callGateway(fixture, "POST", isStream() ? "/once/a" : "/other/a");
}

Answer UnboundedResponses::callOtherService()
{
    return callGateway(fixture, "POST", isStream() ? "/other/a" : "/once/a");
}

bool UnboundedResponses::awaitBegin()
{
    for (int tries = 0; tries < 300; ++tries) {
        {
            const std::lock_guard lock(mutex_);
            if (begun_ > 0) {
                return true;
            }
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    return false;
}

void UnboundedResponses::awaitEnd()
{
    for (int tries = 0; tries < 2000; ++tries) {
        {
            const std::lock_guard lock(mutex_);
            if (begun_ == plays_.size()) {
                return;
            }
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
}

std::vector<UnboundedResponses::Play> UnboundedResponses::plays()
{
    const std::lock_guard lock(mutex_);
    return plays_;
}

bool UnboundedResponses::respond(ScriptedConnection &connection, const ReceivedRequest &request)
{
    const std::string path(request.target());
    if (path.starts_with("/-/")) {
        if (reader_ != ResponseReader::Report || path != "/-/report") {
            connection.write(responseText(404, "", ""));
            return true;
        }
        // The report of a request can't be told, so that statuses take turns.
        Request report;
        {
            const std::lock_guard lock(mutex_);
            if (requests_.empty()) {
                return false;
            }
            report = requests_.begin()->second;
            report.status = Statuses[begun_ % Statuses.size()];
        }
        return send(connection, report, "");
    }
    const std::string id(request["X-Request-Id"]);
    Request faulty;
    {
        const std::lock_guard lock(mutex_);
        const auto found = requests_.find(path);
        if (found == requests_.end()) {
            connection.write(validResponse(request));
            return true;
        }
        faulty = found->second;
        found->second.rejected = true;
    }
    if (reader_ == ResponseReader::Repeat && !faulty.rejected) {
        connection.write(responseText(503, "X-Not-Run: 1\r\nX-Request-Id: " + id + "\r\n", ""));
        return true;
    }
    if (reader_ == ResponseReader::TakeUp && request["Last-Event-Id"].empty()) {
        connection.write(streamHead(request) + chunk(event(0)));
        std::this_thread::sleep_for(milliseconds(20));
        return false;
    }
    return send(connection, faulty, reader_ == ResponseReader::Skipped ? "other" : id);
}

bool UnboundedResponses::send(ScriptedConnection &connection, const Request &request,
                              const std::string &id)
{
    {
        const std::lock_guard lock(mutex_);
        ++begun_;
    }
    MessageHead head { .startLine = "HTTP/1.1 " + std::to_string(request.status) + " X\r\n",
                       .fields = {} };
    if (!id.empty()) {
        head.fields += "X-Request-Id: " + id + "\r\n";
    }
    head.fields += "X-Response-Stamp: stamp\r\nX-Weight-Versions: 1\r\n";
    if (isStream() && request.status == 200) {
        head.fields += "Content-Type: text/event-stream\r\n";
    }
    const Sent sent = sendUnbounded(connection.handle(), request.input, head, request.pace,
                                    RouteLimit + 2 * EndAllowance, request.maxBytes);
    const std::lock_guard lock(mutex_);
    plays_.push_back({ .status = request.status, .input = request.input, .sent = sent });
    return false;
}

std::size_t UnboundedResponses::maxTaken(const Play &play) const
{
    if (play.input.kept == Kept::Head
        || (reader_ == ResponseReader::Head && endsHeader(play.input))) {
        return MaxHeadBytes;
    }
    std::size_t body = reader_ == ResponseReader::Skipped ? MaxSkippedBytes : NodeAccountBytes;
    if (reader_ == ResponseReader::Report) {
        body = MaxReportBytes;
    } else if (isStream() && play.status == 200) {
        body = MaxEventBytes;
    }
    return MaxHeadBytes + body * play.input.bytesPerByte;
}

void UnboundedResponses::check(const Play &play) const
{
    if (play.input.kept == Kept::Nothing) {
        return;
    }
    BOOST_CHECK_MESSAGE(play.sent.bytes <= maxTaken(play) + SystemBufferBytes,
                        "(a) " << reader_ << ", status " << play.status << ", " << play.input
                               << ": " << play.sent.bytes << " bytes were taken, not at most "
                               << maxTaken(play) << " and the system's");
    BOOST_CHECK_MESSAGE(play.sent.refused && play.sent.time <= RouteLimit + EndAllowance,
                        "(a) " << reader_ << ", status " << play.status << ", " << play.input
                               << ": not ended in time, but " << play.sent.time.count() << " ms");
}

void UnboundedResponses::check(const UnboundedInput &input, unsigned status,
                               const Answer &answer) const
{
    bool isTrue = answer.status >= 500 && answer.complete;
    // Without a confirmed process, the request is sent to none.
    isTrue = isTrue && (!answer.statesNotRun || reader_ == ResponseReader::Report);
    isTrue = isTrue || (isStream() && answer.status == 200 && !answer.complete);
    // A response to HEAD ends with its header.
    isTrue = isTrue
        || (reader_ == ResponseReader::Head && endsHeader(input) && answer.status == status
            && answer.complete);
    BOOST_CHECK_MESSAGE(isTrue,
                        "(b) " << reader_ << ", status " << status << ", " << input
                               << ": the caller got " << answer);
    BOOST_CHECK_MESSAGE(answer.time <= RouteLimit + EndAllowance,
                        "(b) " << reader_ << ", status " << status << ", " << input
                               << ": the caller waited: " << answer);
}

void UnboundedResponses::checkOther(const Answer &answer, const char *when)
{
    BOOST_CHECK_MESSAGE(answer.status == 200 && answer.complete,
                        "(c) another caller got, " << when << ", " << answer);
}

void checkUnboundedResponse(ResponseReader reader, const UnboundedInput &input)
{
    UnboundedResponses play(reader);
    play.fixture.start();
    std::array<Answer, Statuses.size()> answers;
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < Statuses.size(); ++index) {
        callers.emplace_back([&, index] {
            const std::size_t most = input.kept == Kept::Nothing ? EnoughBytes / 4 : EnoughBytes;
            answers[index] = play.call(input, Statuses[index], Pace::Full, most);
        });
    }
    const bool begun = play.awaitBegin();
    // Behind the header of a response to HEAD, its connection may be used again before the rest.
    const Answer meanwhile
        = reader == ResponseReader::Head ? play.callOtherService() : play.callSameService();
    const Answer otherMeanwhile = play.callOtherService();
    for (std::thread &caller : callers) {
        caller.join();
    }
    play.awaitEnd();
    const Answer afterwards = play.callSameService();
    BOOST_CHECK_MESSAGE(begun, "no response was begun");
    const auto plays = play.plays();
    BOOST_CHECK_MESSAGE(plays.size() >= Statuses.size(),
                        "only " << plays.size() << " responses were begun");
    for (const UnboundedResponses::Play &each : plays) {
        play.check(each);
    }
    for (std::size_t index = 0; index < Statuses.size(); ++index) {
        play.check(input, Statuses[index], answers[index]);
    }
    UnboundedResponses::checkOther(meanwhile, "meanwhile");
    UnboundedResponses::checkOther(otherMeanwhile, "from another service meanwhile");
    UnboundedResponses::checkOther(afterwards, "afterwards");
    checkAccountGivenBack(play.fixture);
}

void checkSlowResponses(ResponseReader reader, const std::vector<UnboundedInput> &inputs)
{
    UnboundedResponses play(reader);
    play.fixture.start();
    std::vector<Answer> answers(inputs.size());
    std::vector<std::thread> callers;
    const auto statusOf = [](std::size_t index) { return Statuses[index % Statuses.size()]; };
    for (std::size_t index = 0; index < inputs.size(); ++index) {
        callers.emplace_back([&, index] {
            answers[index] = play.call(inputs[index], statusOf(index), Pace::FewBytes);
        });
    }
    const bool begun = play.awaitBegin();
    const Answer meanwhile = play.callOtherService();
    for (std::thread &caller : callers) {
        caller.join();
    }
    play.awaitEnd();
    const Answer afterwards = play.callOtherService();
    BOOST_CHECK_MESSAGE(begun, "no response was begun");
    for (const UnboundedResponses::Play &each : play.plays()) {
        play.check(each);
    }
    for (std::size_t index = 0; index < inputs.size(); ++index) {
        play.check(inputs[index], statusOf(index), answers[index]);
    }
    UnboundedResponses::checkOther(meanwhile, "from another service meanwhile");
    UnboundedResponses::checkOther(afterwards, "from another service afterwards");
    checkAccountGivenBack(play.fixture);
}

void checkManyResponses(ResponseReader reader, const UnboundedInput &input)
{
    constexpr std::size_t Callers = 24;
    constexpr std::size_t MaxBytesOfEach = EnoughBytes / 2;
    constexpr auto NodeBytes = static_cast<std::size_t>(NodeMemoryMb * 1'000'000);
    UnboundedResponses play(reader);
    play.fixture.start();
    std::vector<Answer> answers(Callers);
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < Callers; ++index) {
        callers.emplace_back([&, index] {
            answers[index]
                = play.call(input, Statuses[index % Statuses.size()], Pace::Full, MaxBytesOfEach);
        });
    }
    const bool begun = play.awaitBegin();
    const Answer meanwhile = play.callOtherService();
    for (std::thread &caller : callers) {
        caller.join();
    }
    play.awaitEnd();
    const Answer afterwards = play.callOtherService();
    BOOST_CHECK_MESSAGE(begun, "no response was begun");
    const auto plays = play.plays();
    std::size_t sum = 0;
    for (const UnboundedResponses::Play &each : plays) {
        sum += each.sent.bytes;
    }
    const std::size_t most = NodeBytes + plays.size() * SystemBufferBytes;
    BOOST_CHECK_MESSAGE(input.kept == Kept::Nothing || sum <= most,
                        "(a) " << reader << ", " << input << ", " << plays.size()
                               << " at once: " << sum << " bytes were taken, not at most " << most);
    for (const Answer &answer : answers) {
        // Some may be refused before they are sent.
        const bool isTrue = (answer.status >= 500 && answer.complete)
            || (play.isStream() && answer.status == 200 && !answer.complete);
        BOOST_CHECK_MESSAGE(
            isTrue, "(b) " << reader << ", " << input << ", many at once: a caller got " << answer);
    }
    UnboundedResponses::checkOther(meanwhile, "from another service meanwhile");
    UnboundedResponses::checkOther(afterwards, "from another service afterwards");
    checkAccountGivenBack(play.fixture);
}

} // namespace jacinthroad
