// Measures what a change of a large configuration costs the control thread, as a whole and by
// slice. Run build/Benchmarks/ConfigurationBenchmark.

#include <ctime>
#include <string>

#include <benchmark/benchmark.h>

#include "Core/Hashing.h"
#include "Core/Json.h"
#include "Fleet/RouteTable.h"
#include "Gateway/ConfigurationSlices.h"
#include "platform/ConfigurationDecoder.h"
#include "platform/ConfigurationSplitter.h"
#include "platform/StoreObjects.h"

using namespace jacinthroad;

namespace {

constexpr int Routes = 2800;
constexpr int Teams = 75;

std::string specText(int version)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (int route = 0; route < Routes; ++route) {
        const std::string number = std::to_string(route);
        text += (route == 0 ? "" : ",") + std::string(R"({"name":"route-)") + number
            + R"(","hostname":"host-)" + std::to_string(route % 40)
            + R"(.example","pathPrefix":"/v1/path-)" + number
            + R"(/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":500,"priority":1,)"
              R"("trafficSplit":[{"service":"chat","weight":90},{"service":"chat-next","weight":10}],)"
              R"("maxAttempts":2,"allowAnonymous":false,"sticky":true,"resumable":true,)"
              R"("targetGapMs":)"
            + std::to_string(route == 0 ? version : 250) + "}";
    }
    text += R"(],"services":[{"name":"chat"},{"name":"chat-next"}],"tenants":[)";
    for (int team = 0; team < Teams; ++team) {
        const std::string number = std::to_string(team);
        text += (team == 0 ? "" : ",") + std::string(R"({"name":"team-)") + number
            + R"(","apiKeys":["key-a-)" + number + R"(","key-b-)" + number + R"("],"priority":1})";
    }
    return text + "]}";
}

std::string page(const std::string &spec)
{
    return R"({"items":[{"metadata":{"name":"main","revision":7},"spec":)" + spec
        + R"(}],"hasMore":false,"currentRev":9})";
}

platform::StoredObject object(const std::string &spec)
{
    return platform::readPage(page(spec), platform::SpecForm::Text)->objects.front();
}

/// Processor time of this thread.
double processorMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/// Records how much processor time a slice takes on average.
class SliceTimes
{
public:
    template <typename Slice> bool run(Slice slice)
    {
        const double begin = processorMicroseconds();
        const bool done = slice();
        total_ += processorMicroseconds() - begin;
        ++count_;
        return done;
    }
    void report(benchmark::State &state) const
    {
        state.counters["slice_us"] = total_ / count_;
        state.counters["slices"] = count_ / static_cast<double>(state.iterations());
    }

private:
    double total_ = 0;
    double count_ = 0;
};

/// Without parts: the response as a tree, which is written again for its hash.
void wholeTree(benchmark::State &state)
{
    const std::string body = page(specText(1));
    for (auto _ : state) {
        const auto read = platform::readPage(body);
        const platform::StoredObject &configuration = read->objects.front();
        benchmark::DoNotOptimize(hash64(writeJson(configuration.spec)));
        const RouteTable table(*platform::readConfiguration(configuration.spec));
        benchmark::DoNotOptimize(table.version());
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(body.size() * state.iterations()));
}
BENCHMARK(wholeTree)->Unit(benchmark::kMillisecond);

void readingText(benchmark::State &state)
{
    const std::string body = page(specText(1));
    for (auto _ : state) {
        benchmark::DoNotOptimize(platform::readPage(body, platform::SpecForm::Text));
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(body.size() * state.iterations()));
}
BENCHMARK(readingText)->Unit(benchmark::kMillisecond);

void splitting(benchmark::State &state)
{
    const platform::StoredObject configuration = object(specText(1));
    SliceTimes times;
    for (auto _ : state) {
        platform::ConfigurationSplitter splitter(configuration);
        while (!times.run([&] { return splitter.splitSome(SplitSliceBytes); })) { }
        benchmark::DoNotOptimize(splitter.takeTable());
    }
    times.report(state);
}
BENCHMARK(splitting)->Unit(benchmark::kMillisecond);

void decodingAll(benchmark::State &state)
{
    const auto table = platform::splitConfiguration(object(specText(1)));
    SliceTimes times;
    for (auto _ : state) {
        platform::ConfigurationDecoder decoder;
        decoder.setTable(table);
        while (!times.run([&] { return decoder.decodeSome(DecodedSliceBytes); })) { }
    }
    times.report(state);
}
BENCHMARK(decodingAll)->Unit(benchmark::kMillisecond);

void decodingOneChangedRoute(benchmark::State &state)
{
    const auto first = platform::splitConfiguration(object(specText(1)));
    const auto second = platform::splitConfiguration(object(specText(2)));
    platform::ConfigurationDecoder decoder;
    bool odd = false;
    for (auto _ : state) {
        decoder.setTable(odd ? first : second);
        while (!decoder.decodeSome(DecodedSliceBytes)) { }
        odd = !odd;
    }
}
BENCHMARK(decodingOneChangedRoute)->Unit(benchmark::kMillisecond);

void buildingRouteTable(benchmark::State &state)
{
    platform::ConfigurationDecoder decoder;
    decoder.setTable(platform::splitConfiguration(object(specText(1))));
    while (!decoder.decodeSome(DecodedSliceBytes)) { }
    for (auto _ : state) {
        const RouteTable table(decoder.result()->configuration);
        benchmark::DoNotOptimize(table.version());
    }
}
BENCHMARK(buildingRouteTable)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
