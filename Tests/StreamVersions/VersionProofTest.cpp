#include <deque>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "StreamVersions/OriginLog.h"
#include "StreamVersions/ResumeDecision.h"
#include "StreamVersions/ServedVersions.h"

namespace jacinthroad {

namespace {

const ServiceId Service("svc");
constexpr int StepMs = 100;
constexpr int DayMs = 600'000;
/// The longest time limit of callers.
constexpr int StreamMs = 15'000;
constexpr int Seeds = 12;
constexpr std::size_t Nodes = 4;
/// Time after which nodes have written again what a restored store had lost.
constexpr int SettleMs = 2500;

Instant at(int ms)
{
    return Instant(std::chrono::hours(1)) + milliseconds(ms);
}

struct Stream
{
    SoftwareVersion version;
    int beganMs = 0;
};

struct Node
{
    ServedVersions served;
    VersionSet list;
    int cutUntil = 0;
    bool calling = false;
    int era = 0;
};

/// What the faults of a day include.
struct Faults
{
    bool cuts = false;
    bool restarts = false;
    bool restores = false;
};

/// Nodes with one store, whose answers and writes may be lost or late, and a service whose versions
/// come and go.
class Day
{
public:
    Day(unsigned seed, const Faults &faults)
        : random_(seed)
        , faults_(faults)
        , nodes_(Nodes)
    {
        for (Node &node : nodes_) {
            node.served.setServices({ Service });
        }
    }

    void play()
    {
        for (now_ = 0; now_ < DayMs; now_ += StepMs) {
            changeVersions();
            applyFaults();
            runDue();
            for (std::size_t index = 0; index < nodes_.size(); ++index) {
                stepNode(index);
            }
            resume();
        }
    }

    int resumed = 0;
    int wrong = 0;
    int unknown = 0;
    int streams = 0;

private:
    [[nodiscard]] int draw(int below)
    {
        return std::uniform_int_distribution<int>(0, below - 1)(random_);
    }
    [[nodiscard]] bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }
    void later(int ms, std::function<void()> action)
    {
        actions_.emplace(now_ + ms, std::move(action));
    }
    void runDue()
    {
        while (!actions_.empty() && actions_.begin()->first <= now_) {
            const auto action = std::move(actions_.begin()->second);
            actions_.erase(actions_.begin());
            action();
        }
    }

    void changeVersions()
    {
        if (listed_.empty() || now_ >= changeAt_) {
            const SoftwareVersion version = "v" + std::to_string(draw(3));
            if (listed_.size() > 1 || (listed_.contains(version) && listed_.size() > 1)) {
                listed_.erase(listed_.begin());
            } else {
                listed_.insert(version);
            }
            // Some versions come and go soon, and some releases are far apart.
            changeAt_ = now_ + (chance(0.5) ? draw(5000) : 20'000 + draw(120'000));
        }
    }

    void applyFaults()
    {
        Node &node = nodes_[static_cast<std::size_t>(draw(static_cast<int>(nodes_.size())))];
        if (faults_.cuts && chance(0.002)) {
            node.cutUntil = now_ + draw(150'000);
        }
        if (faults_.restarts && chance(0.002)) {
            node.served = ServedVersions();
            node.served.setServices({ Service });
            node.list.clear();
            node.calling = false;
            ++generation_[&node];
        }
        if (faults_.restores && chance(0.0005)) {
            ++era_;
            settledAt_ = now_ + SettleMs;
            content_ = copy_;
            revision_ = copyRevision_;
        }
        if (chance(0.02)) {
            copy_ = content_;
            copyRevision_ = revision_;
        }
    }

    void stepNode(std::size_t index)
    {
        Node &node = nodes_[index];
        if (now_ >= node.cutUntil && chance(0.07)) {
            readList(node);
        }
        if (node.era != era_ && now_ >= node.cutUntil) {
            node.era = era_;
            node.served.noteRestored();
        }
        startCall(node);
        const VersionTable admitted = node.served.admitted(at(now_));
        const auto row = admitted.find(Service);
        if (row == admitted.end()) {
            return;
        }
        for (const SoftwareVersion &version : node.list) {
            if (row->second.contains(version) && chance(0.2)) {
                streams_.push_back({ .version = version, .beganMs = now_ });
                ++streams;
            }
        }
    }

    /// The list arrives some time after the moment that it shows.
    void readList(Node &node)
    {
        const int moment = now_;
        later(draw(15) * StepMs,
              [this, &node, moment, list = listed_, generation = generation_[&node]] {
                  if (generation != generation_[&node]) {
                      return;
                  }
                  if (node.list != list) {
                      node.list = list;
                      node.served.setListed({ { Service, list } }, at(now_));
                  }
                  node.served.confirmList(at(std::max(moment, lastMoment_[&node])));
                  lastMoment_[&node] = std::max(moment, lastMoment_[&node]);
              });
    }

    void startCall(Node &node)
    {
        if (node.calling) {
            return;
        }
        const auto call = node.served.nextCall(at(now_));
        if (!call.has_value()) {
            return;
        }
        node.calling = true;
        const int startedAt = now_;
        const bool cut = now_ < node.cutUntil;
        const bool lost = cut || chance(0.1);
        const int generation = generation_[&node];
        const int era = era_;
        if (!cut && !(lost && chance(0.5))) {
            // A call without an answer may be executed seconds later.
            later(lost ? draw(8000) : draw(3) * StepMs, [=, this, &node, call = *call] {
                if (era != era_) {
                    return;
                }
                execute(call);
                if (!lost) {
                    answer(node, generation, startedAt);
                }
            });
        }
        if (lost) {
            later(600, [=, this, &node] {
                if (generation == generation_[&node]) {
                    node.calling = false;
                    node.served.noteFailed(at(now_));
                }
            });
        }
    }

    void execute(const VersionTableCall &call)
    {
        const auto *write = std::get_if<WriteVersionTable>(&call);
        if (write != nullptr && write->revision == revision_) {
            revision_ = ++counter_;
            content_ = write->content;
        }
    }

    /// Answers with the object as it is now; a conflict has the same answer.
    void answer(Node &node, int generation, int startedAt)
    {
        later(draw(3) * StepMs,
              [=, this, &node, content = content_, revision = revision_, era = era_] {
                  if (generation != generation_[&node]) {
                      return;
                  }
                  node.calling = false;
                  if (era != era_) {
                      node.served.noteFailed(at(now_));
                  } else if (revision.has_value()) {
                      node.served.noteRead(content, *revision, at(startedAt), at(now_));
                  } else {
                      node.served.noteMissing(at(startedAt), at(now_));
                  }
              });
    }

    /// A caller takes a stream up at any node, which reads the table.
    void resume()
    {
        while (!streams_.empty() && now_ - streams_.front().beganMs > StreamMs) {
            streams_.pop_front();
        }
        if (streams_.empty() || !chance(0.5)) {
            return;
        }
        const Stream stream
            = streams_[static_cast<std::size_t>(draw(static_cast<int>(streams_.size())))];
        Node &node = nodes_[static_cast<std::size_t>(draw(static_cast<int>(nodes_.size())))];
        const bool reaches = now_ >= node.cutUntil && now_ >= settledAt_;
        ResumeEvidence evidence { .recorded = {}, .tableRead = reaches, .versions = {} };
        const auto row = content_.versions.find(Service);
        if (row != content_.versions.end()) {
            evidence.versions = node.served.known(Service, at(now_));
            evidence.versions.insert(row->second.begin(), row->second.end());
        }
        const ResumeDecision decision = decideResume(evidence);
        const auto *found = std::get_if<ResumeAt>(&decision);
        if (found == nullptr) {
            ++unknown;
        } else if (found->version == stream.version) {
            ++resumed;
        } else {
            ++wrong;
        }
    }

    std::mt19937 random_;
    Faults faults_;
    std::vector<Node> nodes_;
    std::map<const Node *, int> generation_;
    std::map<const Node *, int> lastMoment_;
    std::multimap<int, std::function<void()>> actions_;
    int now_ = 0;
    VersionSet listed_;
    int changeAt_ = 0;
    KeptVersions content_;
    std::optional<std::uint64_t> revision_;
    std::uint64_t counter_ = 10;
    KeptVersions copy_;
    std::optional<std::uint64_t> copyRevision_;
    int era_ = 0;
    int settledAt_ = 0;
    std::deque<Stream> streams_;
};

void playDays(const Faults &faults)
{
    int resumed = 0;
    int unknown = 0;
    int streams = 0;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        Day day(seed, faults);
        day.play();
        BOOST_TEST(day.wrong == 0,
                   "seed " << seed << ": " << day.wrong << " streams went on at "
                           << "another version");
        BOOST_TEST(day.resumed > 0);
        resumed += day.resumed;
        unknown += day.unknown;
        streams += day.streams;
    }
    BOOST_TEST_MESSAGE(streams << " streams; without a record " << resumed << " went on and "
                               << unknown << " were refused");
}

} // namespace

BOOST_AUTO_TEST_SUITE(VersionProofTest)

BOOST_AUTO_TEST_CASE(streamNeverGoesOnAtAnotherVersionWhenAnswersAndWritesAreLostOrLate)
{
    playDays({});
}

BOOST_AUTO_TEST_CASE(streamNeverGoesOnAtAnotherVersionWhenNodesRestartWithoutMemory)
{
    playDays({ .restarts = true });
}

BOOST_AUTO_TEST_CASE(streamNeverGoesOnAtAnotherVersionWhenNodesAreCutOffForMinutes)
{
    playDays({ .cuts = true, .restarts = true });
}

BOOST_AUTO_TEST_CASE(streamNeverGoesOnAtAnotherVersionWhenTheStoreIsRestored)
{
    playDays({ .restores = true });
}

BOOST_AUTO_TEST_CASE(recordedStreamsGoOnAfterAllNodesHaveEnded)
{
    std::mt19937 random(5);
    std::map<StreamId, SoftwareVersion> sent;
    std::vector<std::vector<OriginBatch>> stored(Nodes);
    std::vector<OriginLog> logs(Nodes);
    constexpr std::int64_t WallMs = 1'700'000'000'000;
    int now = 0;
    for (StreamId stream = 1; stream <= 400; ++stream) {
        now += 10;
        const std::size_t node = random() % Nodes;
        const SoftwareVersion version = random() % 2 == 0 ? "v1" : "v2";
        const std::vector<StreamOrigin> origins {
            { .stream = stream, .service = Service, .version = version }
        };
        logs[node].record(origins, at(now));
        sent[stream] = version;
        for (std::size_t index = 0; index < Nodes; ++index) {
            const auto due = logs[index].writeDueAt();
            if (!due.has_value() || *due > at(now)) {
                continue;
            }
            auto content = logs[index].beginWrite(at(now), WallMs + now);
            if (random() % 5 == 0) {
                logs[index].noteWriteUnanswered();
            } else {
                stored[index] = std::move(content);
                logs[index].noteWritten();
            }
        }
    }
    // The nodes end, start again and keep what the earlier processes have written.
    int recorded = 0;
    for (std::size_t index = 0; index < Nodes; ++index) {
        OriginLog log;
        log.merge(stored[index], at(now + 2000), WallMs + now + 2000);
        for (const OriginBatch &batch : log.beginWrite(at(now + 2000), WallMs + now + 2000)) {
            for (const StreamId stream : batch.streams) {
                BOOST_TEST(batch.version == sent.at(stream));
                ++recorded;
            }
        }
    }
    BOOST_TEST_MESSAGE(recorded << " of " << sent.size() << " streams were recorded");
    BOOST_TEST(recorded > 360);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
