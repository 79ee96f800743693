#include "OddEntries.h"

#include <string>
#include <thread>
#include <vector>

#include "SoakTraffic.h"

namespace jacinthroad {

namespace {

constexpr int ShortestPauseMs = 200;
constexpr int LongestPauseMs = 1200;
constexpr std::size_t NestingDepth = 80;

std::string nested()
{
    return std::string(NestingDepth, '[') + std::string(NestingDepth, ']');
}

/// A server's entry in which `field` has the JSON text `value`.
std::string entryWith(const std::string &field, const std::string &value)
{
    std::string text = "{";
    for (const auto &[name, usual] : std::vector<std::pair<std::string, std::string>> {
             { "service", R"("engines")" },
             { "address", R"("127.0.0.1:1")" },
             { "zone", R"("z")" },
             { "version", R"("v1.1")" },
             { "slotCount", "8" },
             { "state", R"("ready")" },
             { "coldLeftMs", "0" },
             { "born", "1" },
             { "seq", "1" },
             { "models", R"([{"name":"m","version":1}])" } }) {
        text += "\"" + name + "\":" + (name == field ? value : usual) + ",";
    }
    text.back() = '}';
    return text;
}

/// JSON texts of odd entries; the last two are not JSON.
std::vector<std::string> oddTexts()
{
    return { entryWith("zone", nested()),
             entryWith("models", nested()),
             entryWith("version", nested()),
             entryWith("slotCount", "1e999"),
             entryWith("seq", "-1e999"),
             entryWith("born", "1e300"),
             entryWith("born", R"("1")"),
             entryWith("address", R"("127.0.0.1:99999")"),
             entryWith("address", R"("127.0.0.1:-1")"),
             entryWith("address", "{}"),
             entryWith("service", R"("unknown")"),
             entryWith("service", "7"),
             entryWith("state", R"("sleeping")"),
             entryWith("state", "[1]"),
             entryWith("coldLeftMs", R"("soon")"),
             entryWith("models", R"([1,{"name":2,"version":"x"}])"),
             nested(),
             "null",
             "\"text\"",
             "{}",
             entryWith("zone", "\"\xff\xfe\x80\""),
             "{service: ready}" };
}

} // namespace

void writeOddEntries(StoreStandIn &store, SoakServers &servers, std::uint64_t seed, Instant until,
                     std::atomic<unsigned> &written)
{
    std::mt19937_64 random(seed);
    const std::vector<std::string> texts = oddTexts();
    for (;;) {
        std::this_thread::sleep_for(milliseconds(between(random, ShortestPauseMs, LongestPauseMs)));
        if (std::chrono::steady_clock::now() >= until) {
            servers.registerAgain();
            return;
        }
        const std::string &text = texts[random() % texts.size()];
        const std::string name = "odd-" + std::to_string(between(random, 1, 5));
        switch (between(random, 0, 4)) {
        case 0:
            store.putText("servers", servers.entryName(random()), text);
            break;
        case 1:
            store.putText("versions", name, text);
            break;
        case 2:
            servers.registerAgain();
            continue;
        default:
            store.putText("servers", name, text);
            break;
        }
        ++written;
    }
}

} // namespace jacinthroad
