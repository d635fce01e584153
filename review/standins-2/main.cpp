#include "cases.h"

#include <signal.h>

#include <iostream>
#include <stdexcept>

using namespace review;

// review-cases CASE ROOT FOLDER: runs one case; the exit status is that of review/N/run.sh.
int main(int argc, char** argv)
{
    constexpr int COULD_NOT_RUN = 2;
    constexpr int HOSTS = 3;
    const std::map<std::string, int (*)(Deployment&)> cases { { "additional-bytes", runAdditionalBytes },
        { "endless-trailers", runEndlessTrailers }, { "open-bodies", runOpenBodies },
        { "deadly-request", runDeadlyRequest }, { "restored-store", runRestoredStore } };
    const auto it = argc == 4 ? cases.find(argv[1]) : cases.end();
    if (it == cases.end()) {
        std::cerr << "usage: review-cases CASE ROOT FOLDER\n";
        return COULD_NOT_RUN;
    }
    signal(SIGPIPE, SIG_IGN);
    try {
        Deployment deployment(argv[2], argv[3], HOSTS);
        deployment.note(hasTrouble() ? "with the disruption" : "without the disruption");
        const int result = it->second(deployment);
        deployment.note(result == HELD ? "the rule held" : "the rule was broken");
        return result;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return COULD_NOT_RUN;
    }
}
