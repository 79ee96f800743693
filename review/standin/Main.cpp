#include <csignal>
#include <cstdlib>
#include <iostream>

#include "Cases.h"

int main(int count, char **arguments)
{
    using namespace review;
    std::signal(SIGPIPE, SIG_IGN);
    if (count != 4) {
        std::cerr << "usage: cases NAME FOLDER RECORD\n";
        return CouldNotRun;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool disturbed = trouble == nullptr || std::string(trouble) != "0";
    Record record(arguments[3]);
    Context context { .folder = arguments[2], .record = record, .disturbed = disturbed };
    record.line(std::string(arguments[1]) + (disturbed ? "" : ", without the disruption"));
    for (const Case &one : allCases()) {
        if (one.name == arguments[1]) {
            const int result = one.run(context);
            record.line(result == RuleBroken     ? "RULE BROKEN"
                            : result == RuleHeld ? "rule held"
                                                 : "the case could not run");
            std::cout << arguments[1] << (disturbed ? "" : " TROUBLE=0") << ": exit " << result
                      << std::endl;
            // Threads of the stand-ins may still wait on connections.
            std::_Exit(result);
        }
    }
    std::cerr << "no case of this name\n";
    return CouldNotRun;
}
