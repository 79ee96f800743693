#include "Burn/BurnReport.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace jacinthroad {

namespace {

constexpr std::array<std::string_view, BurnWindowCount> WindowNames { "5 min", "1 h", "6 h" };

double numberMember(const Json::Value &object, const char *name)
{
    const Json::Value &member = object.isObject() ? object[name] : object;
    return member.isNumeric() ? member.asDouble() : 0;
}

std::string formatFixed(double number, int decimals)
{
    std::array<char, 64> text {};
    const int length = std::snprintf(text.data(), text.size(), "%.*f", decimals, number);
    return { text.data(), static_cast<std::size_t>(length) };
}

std::string padRight(std::string text, std::size_t width)
{
    text.resize(std::max(width, text.size()), ' ');
    return text;
}

std::string escapeHtml(const std::string &text)
{
    std::string result;
    for (const char character : text) {
        switch (character) {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

/// Hours until a full 30-day error budget is exhausted at this burn rate; negative if it lasts.
double hoursUntilExhausted(double rate)
{
    constexpr double BudgetHours = 30 * 24;
    return rate > 1 ? BudgetHours / rate : -1;
}

std::string nodeListText(const BurnReport &report)
{
    std::string text = "nodes:";
    for (const std::string &node : report.nodes) {
        text += " " + node;
    }
    for (const std::string &node : report.unreachable) {
        text += "; not reached, not counted: " + node;
    }
    return text;
}

/// Draws one bar per window; the vertical line marks a burn rate of 1.
std::string burnRateBarsSvg(const BurnReportLine &line, const BurnCounts &counts)
{
    constexpr int Width = 220;
    constexpr int BarHeight = 12;
    constexpr double PixelsPerRate = 20;
    std::string svg = "<svg width=\"" + std::to_string(Width) + "\" height=\""
        + std::to_string(BarHeight * static_cast<int>(BurnWindowCount)) + "\">";
    for (std::size_t window = 0; window < BurnWindowCount; ++window) {
        const double rate = burnRate(counts[window], line.objectiveShare);
        const double length = std::min<double>(Width - 50, rate * PixelsPerRate);
        const std::string y = std::to_string(BarHeight * static_cast<int>(window));
        svg += "<rect x=\"0\" y=\"" + y + "\" height=\"9\" width=\"" + formatFixed(length, 1)
            + "\" fill=\"" + (rate > 1 ? "#b33" : "#484") + "\"/>";
        svg += "<text x=\"" + formatFixed(length + 4, 1) + "\" y=\""
            + std::to_string(BarHeight * static_cast<int>(window) + 9) + "\" font-size=\"10\">"
            + formatFixed(rate, 2) + "</text>";
    }
    return svg + "<line x1=\"20\" x2=\"20\" y1=\"0\" y2=\"36\" stroke=\"#000\"/></svg>";
}

} // namespace

Json::Value burnLinesJson(const std::map<BurnTracker::Key, BurnTracker::Line> &lines,
                          const std::map<ModelId, double> &objectiveShares)
{
    Json::Value result(Json::arrayValue);
    for (const auto &[key, line] : lines) {
        Json::Value entry;
        entry["team"] = key.first.text();
        entry["model"] = key.second.text();
        const auto share = objectiveShares.find(key.second);
        entry["objective"] = share == objectiveShares.end() ? 0.95 : share->second;
        for (std::size_t objective = 0; objective < ObjectiveCount; ++objective) {
            const std::string name(objectiveName(static_cast<Objective>(objective)));
            for (const BurnCount &count : line[objective]) {
                Json::Value window;
                window["events"] = count.events;
                window["missed"] = count.missed;
                entry["counts"][name].append(window);
            }
        }
        result.append(entry);
    }
    return result;
}

void addBurnLines(BurnReport &report, const std::string &node, const Json::Value &lines)
{
    report.nodes.push_back(node);
    if (!lines.isArray()) {
        return;
    }
    for (const Json::Value &entry : lines) {
        if (!entry.isObject() || !entry["team"].isString() || !entry["model"].isString()) {
            continue;
        }
        BurnReportLine &line
            = report
                  .lines[{ TeamId(entry["team"].asString()), ModelId(entry["model"].asString()) }];
        line.objectiveShare = numberMember(entry, "objective");
        const Json::Value &counts = entry["counts"];
        for (std::size_t objective = 0; counts.isObject() && objective < ObjectiveCount;
             ++objective) {
            const Json::Value &windows
                = counts[std::string(objectiveName(static_cast<Objective>(objective)))];
            for (Json::ArrayIndex window = 0; windows.isArray()
                 && window < std::min<Json::ArrayIndex>(windows.size(), BurnWindowCount);
                 ++window) {
                line.counts[objective][window]
                    += { .events = numberMember(windows[window], "events"),
                         .missed = numberMember(windows[window], "missed") };
            }
        }
    }
}

Json::Value burnReportJson(const BurnReport &report)
{
    Json::Value body;
    body["nodes"] = Json::Value(Json::arrayValue);
    for (const std::string &node : report.nodes) {
        body["nodes"].append(node);
    }
    body["unreachable"] = Json::Value(Json::arrayValue);
    for (const std::string &node : report.unreachable) {
        body["unreachable"].append(node);
    }
    body["lines"] = Json::Value(Json::arrayValue);
    for (const auto &[key, line] : report.lines) {
        Json::Value entry;
        entry["team"] = key.first.text();
        entry["model"] = key.second.text();
        entry["objective"] = line.objectiveShare;
        for (std::size_t objective = 0; objective < ObjectiveCount; ++objective) {
            const std::string name(objectiveName(static_cast<Objective>(objective)));
            for (std::size_t window = 0; window < BurnWindowCount; ++window) {
                const BurnCount &count = line.counts[objective][window];
                Json::Value value;
                value["window"] = std::string(WindowNames[window]);
                value["events"] = count.events;
                value["missed"] = count.missed;
                value["burn_rate"] = burnRate(count, line.objectiveShare);
                entry["objectives"][name].append(value);
            }
        }
        body["lines"].append(entry);
    }
    return body;
}

std::string burnReportText(const BurnReport &report)
{
    std::string text = nodeListText(report)
        + "\nburn rate: 1 uses the error budget exactly; a full 30-day budget at the 1 h rate "
          "lasts\n"
        + padRight("team", 20) + padRight("model", 16) + padRight("objective", 14);
    for (const std::string_view window : WindowNames) {
        text += padRight(std::string(window), 9);
    }
    text += "budget lasts\n";
    for (const auto &[key, line] : report.lines) {
        for (std::size_t objective = 0; objective < ObjectiveCount; ++objective) {
            text += padRight(key.first.text(), 20) + padRight(key.second.text(), 16)
                + padRight(std::string(objectiveName(static_cast<Objective>(objective))), 14);
            for (const BurnCount &count : line.counts[objective]) {
                text += padRight(formatFixed(burnRate(count, line.objectiveShare), 2), 9);
            }
            const double hours
                = hoursUntilExhausted(burnRate(line.counts[objective][1], line.objectiveShare));
            text += hours < 0 ? "its period\n" : formatFixed(hours, 1) + " h\n";
        }
    }
    return text;
}

std::string burnReportHtml(const BurnReport &report)
{
    std::string page = "<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\">"
                       "<title>Service-level burn</title><style>body{font-family:sans-serif}"
                       "td,th{padding:4px 8px;text-align:left;border-bottom:1px solid #ccc}"
                       "</style><h1>Service-level burn</h1><p>"
        + escapeHtml(nodeListText(report))
        + "</p><p>Bars show burn rates over 5 minutes, 1 hour and 6 hours; the line marks 1, the "
          "rate that uses the error budget exactly.</p><table><tr><th>team</th><th>model</th>";
    for (std::size_t objective = 0; objective < ObjectiveCount; ++objective) {
        page += "<th>" + std::string(objectiveName(static_cast<Objective>(objective))) + "</th>";
    }
    page += "</tr>";
    for (const auto &[key, line] : report.lines) {
        page += "<tr><td>" + escapeHtml(key.first.text()) + "</td><td>"
            + escapeHtml(key.second.text()) + "</td>";
        for (const BurnCounts &counts : line.counts) {
            page += "<td>" + burnRateBarsSvg(line, counts) + "</td>";
        }
        page += "</tr>";
    }
    return page + "</table></html>\n";
}

} // namespace jacinthroad
