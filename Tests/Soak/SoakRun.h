#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "BuildJudge.h"
#include "Core/Time.h"
#include "Disturbance.h"
#include "LinkJudge.h"
#include "SoakJudge.h"
#include "SoakTraffic.h"
#include "StreamVersionJudge.h"

namespace jacinthroad {

/// Options of one soak run.
struct SoakOptions
{
    /// Path of the `jacinthroad` program.
    std::string program;
    /// Path of an earlier build of it, which nodes begin with; empty runs one build.
    std::string earlierProgram;
    /// Settings that the earlier build refuses, as "group.name".
    std::vector<std::string> withoutSettings;
    /// Folder for settings files and logs; it is created.
    std::string folder;
    std::uint64_t seed = 1;
    unsigned nodes = 4;
    unsigned clients = 60;
    /// Time during which faults are injected.
    Duration faultTime = std::chrono::seconds(15);
    Disturbances disturbances = usualDisturbances();
    /// Grace period of every stop; the usual ones if unset.
    std::optional<Duration> stopGrace;
    /// Number of nodes in each zone; empty has one zone.
    std::vector<unsigned> zones;
    /// Memory of each node; 0 sets no limit.
    double memoryMb = 0;
    /// Descriptors of each node; 0 leaves the limit as it is.
    std::uint64_t descriptors = 0;
    /// Part of a core that each node has in each tenth of a second; 1 limits nothing.
    double processorShare = 1;
    /// Time between callers and nodes, in each direction.
    Duration callerDelay {};
    /// Requests a second of all sound callers by route; the usual traffic if unset.
    std::optional<SoakRates> rates;
    /// Prompts and responses of streams are long; needs rates.
    bool longBodies = false;
};

/// Responses of servers that stated something, by what they stated.
struct StatementFigures
{
    unsigned leaving = 0;
    unsigned pauses = 0;
    unsigned limits = 0;
};

/// The result of one soak run.
struct SoakReport
{
    unsigned requests = 0;
    unsigned served = 0;
    /// Requests whose connection closed although no server had begun to run them.
    unsigned closedNotRun = 0;
    /// Those of them that were sent on a connection idle for longer than the configuration allows.
    unsigned closedPastIdleLimit = 0;
    /// Runs whose server broke off.
    unsigned brokenOff = 0;
    unsigned serverCrashes = 0;
    unsigned stops = 0;
    unsigned kills = 0;
    unsigned pauses = 0;
    unsigned reloads = 0;
    unsigned earlySignals = 0;
    unsigned commonRestarts = 0;
    unsigned configurations = 0;
    unsigned storeRestores = 0;
    DeadlyPartFigures deadlyPart;
    DeadlyPartFigures deadlyKey;
    unsigned releases = 0;
    unsigned oddEntries = 0;
    unsigned replacements = 0;
    unsigned logLimits = 0;
    /// Calls of all nodes to the store while faults were injected.
    unsigned logStandstills = 0;
    int storeCalls = 0;
    /// The largest sum of a node's resident size and unread bytes; 0 if it was not watched.
    double largestMb = 0;
    /// The longest time for which a node was kept from running to give it a share of a core.
    Duration longestStop {};
    /// What the nodes of each build did; empty with one build.
    std::map<NodeBuild, BuildFigures> builds;
    unsigned pausesBesideRejections = 0;
    unsigned silences = 0;
    unsigned cacheReads = 0;
    unsigned cacheFetches = 0;
    unsigned cacheSaves = 0;
    unsigned linkCuts = 0;
    unsigned endlessResponses = 0;
    /// Forms with a status that they had.
    unsigned endlessForms = 0;
    unsigned endlessRequests = 0;
    LinkCutFigures withoutLinks;
    StreamVersionFigures streamVersions;
    StatementFigures statements;
    std::vector<Violation> violations;
};

/// Runs nodes as processes before stand-ins of the store and of backend servers, injects faults at
/// nodes, servers and callers that overlap, and judges what callers and servers saw. Equal seeds
/// yield equal faults; their timing relative to requests varies with the scheduler.
[[nodiscard]] SoakReport runSoak(const SoakOptions &options);

} // namespace jacinthroad
