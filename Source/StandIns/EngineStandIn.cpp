#include "StandIns/EngineStandIn.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

#include <json/value.h>

#include "Admission/LengthClass.h"
#include "Core/Hashing.h"
#include "Core/Json.h"
#include "EngineClient/ChatRequest.h"
#include "EngineClient/EngineHeaders.h"

namespace jacinthroad {

namespace {

constexpr std::uint32_t DefaultOutputTokens = 32;
constexpr std::uint32_t TokensBeforeFault = 3;
constexpr Duration IdleWait = milliseconds(20);
constexpr Duration MaximumReportAge = std::chrono::seconds(10);
/// Memory of the requests and responses of a stand-in.
constexpr std::size_t MemoryBytes = 256 * 1024 * 1024;
constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;

std::uint32_t requestedOutputTokens(const Json::Value &body)
{
    std::uint32_t tokens = DefaultOutputTokens;
    const Json::Value &metadata = body["metadata"];
    if (metadata.isObject() && metadata["output_tokens"].isString()) {
        const std::string text = metadata["output_tokens"].asString();
        std::from_chars(text.data(), text.data() + text.size(), tokens);
    }
    if (body["max_tokens"].isUInt()) {
        tokens = std::min(tokens, body["max_tokens"].asUInt());
    }
    return std::max(1U, tokens);
}

/// Strips the attempt number from an attempt's id.
std::string requestIdFromAttempt(const std::string &attemptId)
{
    return attemptId.substr(0, attemptId.rfind('.'));
}

} // namespace

std::string standInToken(std::uint64_t responseSeed, std::uint32_t position)
{
    return " t" + std::to_string(mix64(responseSeed, position) % 100000);
}

std::uint64_t standInResponseSeed(std::string_view prompt)
{
    return hash64(prompt, 77);
}

struct EngineStandIn::Sequence
{
    std::string attemptId;
    std::shared_ptr<ResponseWriter> writer;
    std::vector<BlockKey> blocks;
    std::uint64_t responseSeed = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t remainingPrefillTokens = 0;
    std::uint32_t stepPrefillTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t producedTokens = 0;
    std::int64_t priority = 0;
    std::uint64_t arrival = 0;
    bool chat = true;
    bool crashes = false;
    bool stalled = false;
    bool crossed = false;
    bool decoding = false;
    bool finished = false;
    std::atomic<bool> cancelled { false };
};

EngineStandIn::EngineStandIn(EngineStandInOptions options)
    : options_(std::move(options))
    , port_(options_.port)
    , cache_(options_.cacheBlocks)
{
    thread_ = std::thread([this] { run(); });
}

EngineStandIn::~EngineStandIn()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
    const std::scoped_lock lock(serverMutex_);
    server_.reset();
}

void EngineStandIn::start()
{
    const std::scoped_lock serverLock(serverMutex_);
    if (server_ != nullptr) {
        return;
    }
    {
        const std::scoped_lock lock(mutex_);
        incarnation_ = std::random_device {}() + 1ULL;
    }
    auto server = HttpServer::start(
        { .port = port_, .maximumBodyBytes = 64 * 1024 * 1024 },
        std::make_shared<MemoryBudget>(MemoryBytes),
        [this](const HttpRequest &request, const std::shared_ptr<ResponseWriter> &writer) {
            handle(request, writer);
        });
    if (server.has_value()) {
        server_ = std::move(*server);
        port_ = server_->port();
    }
}

void EngineStandIn::clearCache(RecomputeReason reason)
{
    for (const BlockKey block : cache_.clear()) {
        if (options_.computeTracker != nullptr) {
            options_.computeTracker->recordLost(block, reason);
        }
    }
}

void EngineStandIn::crash()
{
    {
        const std::scoped_lock lock(mutex_);
        ++counters_.crashes;
        waiting_.clear();
        running_.clear();
        reports_.clear();
        clearCache(RecomputeReason::Crash);
    }
    const std::scoped_lock lock(serverMutex_);
    server_.reset();
}

std::string EngineStandIn::url() const
{
    return "http://127.0.0.1:" + std::to_string(port_);
}

EngineStandIn::Counters EngineStandIn::counters() const
{
    const std::scoped_lock lock(mutex_);
    return counters_;
}

std::map<std::string, int> EngineStandIn::executions() const
{
    const std::scoped_lock lock(mutex_);
    return executions_;
}

LoadReport EngineStandIn::measureLoad() const
{
    LoadReport report { .incarnation = incarnation_, .weights = options_.weights };
    report.load.inFlight = static_cast<double>(waiting_.size() + running_.size());
    for (const auto &sequence : waiting_) {
        report.load.waitingPrefill += sequence->promptTokens;
    }
    for (const auto &sequence : running_) {
        report.load.waitingPrefill += sequence->remainingPrefillTokens;
        report.load.longJobs += sequence->producedTokens >= LongOutputTokens ? 1 : 0;
    }
    return report;
}

HttpHeaders EngineStandIn::reportHeaders() const
{
    return reports_.empty()
        ? loadReportHeaders({ .incarnation = incarnation_, .weights = options_.weights })
        : loadReportHeaders(reports_.front().second);
}

void EngineStandIn::handle(const HttpRequest &request,
                           const std::shared_ptr<ResponseWriter> &writer)
{
    if (request.path == "/v1/chat/completions" || request.path == "/v1/completions") {
        handleCompletion(request, writer);
        return;
    }
    if (request.path == "/load" || request.path == "/health") {
        const std::scoped_lock lock(mutex_);
        writer->respond({ .status = StatusOk, .headers = reportHeaders(), .body = "{}" });
        return;
    }
    writer->respond({ .status = StatusNotFound, .body = "{\"error\":\"no such path\"}" });
}

void EngineStandIn::handleCompletion(const HttpRequest &request,
                                     const std::shared_ptr<ResponseWriter> &writer)
{
    const auto chat = readChatRequest(request.body, request.path == "/v1/chat/completions");
    if (!chat.has_value()) {
        writer->respond(
            { .status = StatusBadRequest, .body = "{\"error\":\"" + chat.error().message + "\"}" });
        return;
    }
    const Json::Value &body = chat->body;
    auto sequence = std::make_shared<Sequence>();
    sequence->attemptId = body["request_id"].asString();
    sequence->writer = writer;
    sequence->chat = chat->chat;
    sequence->responseSeed = standInResponseSeed(chat->prompt);
    sequence->promptTokens = static_cast<std::uint32_t>(chat->prompt.size() / BytesPerToken) + 1;
    sequence->outputTokens = requestedOutputTokens(body);
    sequence->producedTokens = body["resume_after_tokens"].asUInt();
    sequence->priority = body["priority"].asInt64();
    sequence->crashes = chat->prompt.find(CrashTriggerText) != std::string::npos;
    sequence->stalled = stallNext_ > 0 && stallNext_-- > 0;
    sequence->crossed = crossNext_ > 0 && crossNext_-- > 0;
    BlockKey salt = 0;
    const std::string saltText = body["cache_salt"].asString();
    constexpr int Hexadecimal = 16;
    std::from_chars(saltText.data(), saltText.data() + saltText.size(), salt, Hexadecimal);
    sequence->blocks = blockKeys(salt, chat->prompt, options_.blockTokens);
    writer->subscribe(0, nullptr, [sequence](bool) { sequence->cancelled = true; });
    {
        const std::scoped_lock lock(mutex_);
        sequence->arrival = ++lastArrival_;
        ++counters_.accepted;
        counters_.afterLeaving += leaving_ ? 1 : 0;
        ++executions_[requestIdFromAttempt(sequence->attemptId)];
        const std::string team(findHeader(request.headers, "x-team").value_or(""));
        counters_.sharedSalts += teamBySalt_.try_emplace(salt, team).first->second == team ? 0 : 1;
        waiting_.push_back(sequence);
        HttpHeaders headers = reportHeaders();
        headers.emplace_back("Content-Type", "text/event-stream");
        writer->start(StatusOk, std::move(headers));
    }
    wake_.notify_all();
}

void EngineStandIn::removeCancelled()
{
    std::erase_if(waiting_, [](const auto &sequence) { return sequence->cancelled.load(); });
    std::erase_if(running_, [](const auto &sequence) { return sequence->cancelled.load(); });
    std::sort(waiting_.begin(), waiting_.end(), [](const auto &a, const auto &b) {
        return std::pair(a->priority, a->arrival) < std::pair(b->priority, b->arrival);
    });
}

void EngineStandIn::admitNextWaiting()
{
    const std::shared_ptr<Sequence> sequence = waiting_.front();
    waiting_.erase(waiting_.begin());
    const std::size_t found = cache_.matchPrefix(sequence->blocks);
    sequence->cachedTokens = static_cast<std::uint32_t>(found) * options_.blockTokens;
    sequence->remainingPrefillTokens
        = std::max(1U, sequence->promptTokens - sequence->cachedTokens);
    if (options_.computeTracker != nullptr) {
        options_.computeTracker->recordPrompt(sequence->blocks, found, sequence->promptTokens,
                                              options_.blockTokens);
    }
    running_.push_back(sequence);
}

double EngineStandIn::planStep()
{
    removeCancelled();
    std::uint32_t budget = options_.prefillTokensPerStep;
    double duration = options_.stepMs;
    const auto plan = [&](Sequence &sequence) {
        sequence.stepPrefillTokens = 0;
        sequence.decoding = sequence.remainingPrefillTokens == 0;
        if (sequence.decoding) {
            duration += options_.stepMsPerSequence;
            return;
        }
        sequence.stepPrefillTokens = std::min(budget, sequence.remainingPrefillTokens);
        budget -= sequence.stepPrefillTokens;
        duration += sequence.stepPrefillTokens / options_.prefillTokensPerMs;
    };
    for (const auto &sequence : running_) {
        plan(*sequence);
    }
    // A waiting sequence is admitted only when the step has prefill budget left. It looks up the
    // cache at that time, so it can reuse blocks that earlier sequences computed.
    while (budget > 0 && !waiting_.empty() && running_.size() < options_.slots) {
        admitNextWaiting();
        plan(*running_.back());
    }
    return duration;
}

void EngineStandIn::sendToken(Sequence &sequence)
{
    if (sequence.stalled && sequence.producedTokens >= TokensBeforeFault) {
        return;
    }
    ++sequence.producedTokens;
    ++counters_.tokens;
    const bool wrongId = sequence.crossed && sequence.producedTokens == TokensBeforeFault;
    const std::string id = wrongId ? "req-of-somebody-else.1" : sequence.attemptId;
    const std::string token = standInToken(sequence.responseSeed, sequence.producedTokens);
    std::string event = "id: " + id + ":" + std::to_string(sequence.producedTokens)
        + "\ndata: {\"id\":\"" + id + "\",\"object\":\"chat.completion.chunk\",\"model\":\""
        + options_.model + "\",\"choices\":[{\"index\":0,";
    event += sequence.chat ? "\"delta\":{\"content\":\"" + token + "\"}"
                           : "\"text\":\"" + token + "\"";
    event += "}]}\n\n";
    sequence.writer->write(event);
    if (sequence.producedTokens >= sequence.outputTokens) {
        completeSequence(sequence);
    }
}

void EngineStandIn::completeSequence(Sequence &sequence)
{
    sequence.finished = true;
    ++counters_.completed;
    Json::Value usage;
    usage["prompt_tokens"] = sequence.promptTokens;
    usage["completion_tokens"] = sequence.producedTokens;
    usage["total_tokens"] = sequence.promptTokens + sequence.producedTokens;
    usage["prompt_tokens_details"]["cached_tokens"] = sequence.cachedTokens;
    Json::Value chunk;
    chunk["id"] = sequence.attemptId;
    chunk["object"] = "chat.completion.chunk";
    chunk["model"] = options_.model;
    chunk["choices"] = Json::Value(Json::arrayValue);
    chunk["usage"] = usage;
    sequence.writer->write("id: " + sequence.attemptId + ":"
                           + std::to_string(sequence.producedTokens) + "\ndata: " + writeJson(chunk)
                           + "\n\ndata: [DONE]\n\n");
    sequence.writer->finish();
}

void EngineStandIn::finishStep()
{
    for (const auto &sequence : running_) {
        if (sequence->cancelled) {
            continue;
        }
        if (sequence->decoding) {
            sendToken(*sequence);
            continue;
        }
        sequence->remainingPrefillTokens
            -= std::min(sequence->remainingPrefillTokens, sequence->stepPrefillTokens);
        if (sequence->remainingPrefillTokens > 0 || sequence->stepPrefillTokens == 0) {
            continue;
        }
        if (sequence->crashes) {
            crashRequested_ = true;
            return;
        }
        const BlockCache::Change change = cache_.insert(sequence->blocks);
        if (options_.computeTracker != nullptr) {
            for (const BlockKey block : change.stored) {
                options_.computeTracker->recordStored(block);
            }
            for (const BlockKey block : change.removed) {
                options_.computeTracker->recordLost(block, RecomputeReason::Evicted);
            }
        }
        if (sequence->producedTokens >= sequence->outputTokens) {
            completeSequence(*sequence);
        } else {
            sendToken(*sequence);
        }
    }
    std::erase_if(running_, [](const auto &sequence) { return sequence->finished; });
}

void EngineStandIn::run()
{
    const auto reportLag = fromMilliseconds(options_.reportLagMs / options_.timeScale);
    Instant stepDeadline = std::chrono::steady_clock::now();
    while (true) {
        double durationMs = 0;
        {
            std::unique_lock lock(mutex_);
            if (stopping_) {
                return;
            }
            const Instant now = std::chrono::steady_clock::now();
            reports_.emplace_back(now, measureLoad());
            while (reports_.size() > 1
                   && (reports_[1].first <= now - reportLag
                       || now - reports_.front().first > MaximumReportAge)) {
                reports_.pop_front();
            }
            if (waiting_.empty() && running_.empty()) {
                wake_.wait_for(lock, IdleWait);
                stepDeadline = std::chrono::steady_clock::now();
                continue;
            }
            durationMs = planStep() * slowdown_;
        }
        // Sleeps until accumulated deadlines, so that late wake-ups don't slow the engine down.
        stepDeadline += fromMilliseconds(durationMs / options_.timeScale);
        std::this_thread::sleep_until(stepDeadline);
        bool crashNow = false;
        {
            const std::scoped_lock lock(mutex_);
            finishStep();
            crashNow = std::exchange(crashRequested_, false);
        }
        if (crashNow) {
            crash();
            start();
        }
    }
}

} // namespace jacinthroad
