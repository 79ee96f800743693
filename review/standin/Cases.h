#pragma once

#include "Runners.h"

namespace review {

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

struct Context
{
    std::string folder;
    Record &record;
    bool disturbed = true;
};

struct Case
{
    std::string name;
    int (*run)(Context &);
};

const std::vector<Case> &allCases();

int lastTenantLeaves(Context &context);
int tenantBecomesIsolated(Context &context);
int revokedKeyOnOpenRoute(Context &context);
int longBodies(Context &context);
int secondModelIsNamed(Context &context);
int pipelinedAtStop(Context &context);
int copiesOfDeadlyRequest(Context &context);

} // namespace review
