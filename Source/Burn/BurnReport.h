#pragma once

#include <map>
#include <string>
#include <vector>

#include <json/value.h>

#include "Burn/BurnTracker.h"

namespace jacinthroad {

/// Burn of one team on one model, summed over nodes.
struct BurnReportLine
{
    BurnTracker::Line counts {};
    /// Share of events that has to meet the objective.
    double objectiveShare = 0.95;
};

/// Burn over several nodes.
struct BurnReport
{
    /// By team and model.
    std::map<BurnTracker::Key, BurnReportLine> lines;
    std::vector<std::string> nodes;
    /// Nodes that did not answer; what they counted is missing here.
    std::vector<std::string> unreachable;
};

/// One node's lines as JSON, for readBurnLines().
[[nodiscard]] Json::Value burnLinesJson(const std::map<BurnTracker::Key, BurnTracker::Line> &lines,
                                        const std::map<ModelId, double> &objectiveShares);

/// Adds one node's lines to a report; members that are not as written by burnLinesJson() count as
/// absent.
void addBurnLines(BurnReport &report, const std::string &node, const Json::Value &lines);

/// The report as JSON, with burn rates.
[[nodiscard]] Json::Value burnReportJson(const BurnReport &report);

/// The report as a table for people.
[[nodiscard]] std::string burnReportText(const BurnReport &report);

/// The report as one self-contained page, readable in print.
[[nodiscard]] std::string burnReportHtml(const BurnReport &report);

} // namespace jacinthroad
