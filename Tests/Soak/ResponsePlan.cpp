#include "ResponsePlan.h"

#include <array>
#include <random>

#include "SoakTraffic.h"

namespace jacinthroad {

namespace {

bool oneIn(std::mt19937_64 &random, int count)
{
    return between(random, 1, count) == 1;
}

/// Keeps the first pieces, and a part of the next one if the response ends inside a piece.
void cutPieces(ResponsePlan &plan, bool insidePiece, std::mt19937_64 &random)
{
    const int kept = between(random, 0, static_cast<int>(plan.pieces.size()) - 1);
    const std::string next = plan.pieces[static_cast<std::size_t>(kept)];
    plan.pieces.resize(static_cast<std::size_t>(kept));
    if (insidePiece) {
        const int size = between(random, 1, static_cast<int>(next.size()) - 1);
        plan.pieces.push_back(next.substr(0, static_cast<std::size_t>(size)));
    }
}

/// Lets the response go on without end in the form and with the status of this number.
void makeEndless(ResponsePlan &plan, std::size_t number, std::mt19937_64 &random)
{
    using Place = EndlessForm::Place;
    struct Pace
    {
        std::size_t bytes;
        int longestMs;
    };
    // Slow servers keep many responses open at the same time.
    constexpr std::array<Pace, 3> Paces { { { .bytes = 65536, .longestMs = 0 },
                                            { .bytes = 16384, .longestMs = 200 },
                                            { .bytes = 7, .longestMs = 20 } } };
    const auto forms = endlessForms();
    const Pace &pace = Paces[random() % Paces.size()];
    plan.end = ResponseEnd::Endless;
    plan.endless = &forms[number % forms.size()];
    plan.endlessBytes = pace.bytes;
    plan.endlessTime = milliseconds(between(random, 0, pace.longestMs));
    plan.header = plan.endless->place != Place::Response;
    plan.status = number / forms.size() % 2 == 1 ? 500 : 200;
    plan.http10 = plan.endless->place == Place::ConnectionEnd && oneIn(random, 4);
    switch (plan.endless->place) {
    case Place::Response:
    case Place::Header:
        plan.delimiter = Delimiter::ConnectionEnd;
        plan.pieces.clear();
        break;
    case Place::Chunks:
    case Place::ChunkData:
        plan.delimiter = Delimiter::Chunks;
        break;
    case Place::Length:
        plan.delimiter = Delimiter::Length;
        break;
    case Place::ConnectionEnd:
        plan.delimiter = Delimiter::ConnectionEnd;
        break;
    }
    if (!plan.pieces.empty()) {
        // What is repeated may end an event.
        cutPieces(plan, plan.endless->place != Place::ChunkData, random);
    }
}

} // namespace

ResponsePlan planResponse(const std::vector<std::string> &pieces, bool stream,
                          const ResponseFaults &faults, std::uint64_t seed)
{
    constexpr int BreakOffOneIn = 8;
    constexpr int CrashOneIn = 6;
    constexpr int LateBytesOneIn = 12;
    constexpr int EndlessOneIn = 6;
    std::mt19937_64 random(seed);
    ResponsePlan plan { .pieces = pieces };
    plan.workTime = milliseconds(between(random, 1, 40));
    plan.pieceTime = milliseconds(between(random, 0, stream ? 30 : 5));
    constexpr std::array<Delimiter, 3> Delimiters { Delimiter::Length, Delimiter::Chunks,
                                                    Delimiter::ConnectionEnd };
    plan.delimiter = Delimiters[static_cast<std::size_t>(between(random, stream ? 1 : 0, 2))];
    plan.http10 = plan.delimiter == Delimiter::ConnectionEnd && oneIn(random, 4);
    plan.connectionClose
        = plan.delimiter == Delimiter::ConnectionEnd ? oneIn(random, 2) : oneIn(random, 20);
    if (faults.numberEndless && !pieces.empty() && oneIn(random, EndlessOneIn)) {
        makeEndless(plan, faults.numberEndless(), random);
    } else if (faults.breakOff && !pieces.empty() && oneIn(random, BreakOffOneIn)) {
        const bool insidePiece = oneIn(random, 2);
        const bool lives = plan.delimiter != Delimiter::ConnectionEnd || (stream && insidePiece);
        if (faults.crash && oneIn(random, CrashOneIn)) {
            plan.end = ResponseEnd::Crash;
        } else {
            plan.end = lives && oneIn(random, 2) ? ResponseEnd::Close : ResponseEnd::Reset;
        }
        plan.header = !oneIn(random, 6);
        cutPieces(plan, insidePiece, random);
        if (!plan.header) {
            plan.pieces.clear();
        }
    } else if (faults.secondResponse && plan.delimiter != Delimiter::ConnectionEnd
               && oneIn(random, LateBytesOneIn)) {
        plan.lateBytes = static_cast<LateBytes>(between(random, 1, 4));
        plan.lateWithNextResponse
            = plan.lateBytes != LateBytes::CutSecondResponse && oneIn(random, 2);
        plan.lateBy = milliseconds(oneIn(random, 4) ? 0 : between(random, 1, 150));
    }
    return plan;
}

} // namespace jacinthroad
