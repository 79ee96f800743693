#pragma once

#include <map>
#include <string>
#include <vector>

#include <json/value.h>

#include "Burn/BurnTracker.h"

namespace jacinthroad {

/// Event counts of one team on one model, summed over nodes.
struct BurnReportLine
{
    BurnTracker::Line counts {};
    /// Required share of events that meet the objective, from 0 to 1.
    double objectiveShare = 0.95;
};

/// Error budget burn over several nodes.
struct BurnReport
{
    /// By team and model.
    std::map<BurnTracker::Key, BurnReportLine> lines;
    std::vector<std::string> nodes;
    /// Nodes that did not respond; their counts are not included.
    std::vector<std::string> unreachable;
};

/// Serializes the lines of one node to JSON, for addBurnLines().
[[nodiscard]] Json::Value burnLinesJson(const std::map<BurnTracker::Key, BurnTracker::Line> &lines,
                                        const std::map<ModelId, double> &objectiveShares);

/// Adds the lines of one node to a report. Members with a format other than that of
/// burnLinesJson() are treated as missing.
void addBurnLines(BurnReport &report, const std::string &node, const Json::Value &lines);

/// The report as JSON, with burn rates.
[[nodiscard]] Json::Value burnReportJson(const BurnReport &report);

/// The report as a plain-text table.
[[nodiscard]] std::string burnReportText(const BurnReport &report);

/// The report as one self-contained HTML page, suitable for printing.
[[nodiscard]] std::string burnReportHtml(const BurnReport &report);

} // namespace jacinthroad
