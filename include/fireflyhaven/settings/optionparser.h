#pragma once

#include "fireflyhaven/common/result.h"

#include <functional>
#include <string>
#include <vector>

namespace fireflyhaven::settings {

// Command-line option. Its environment variable is FIREFLYHAVEN_ followed by the name in upper case, with "_" for "-".
struct Option {
    std::string name;
    // Placeholder of the value in the help, for example "IP:PORT"; empty for an option without a value.
    std::string value;
    std::string help;
    // Stores the value. Returns an empty text, or a description of the valid values if the value is invalid.
    std::function<std::string(const std::string&)> set;
    // Accepted from the environment only, so that secrets do not appear in the process list.
    bool environmentOnly = false;
};

struct Usage {
    std::string program;
    // Arguments shown after "Usage: PROGRAM".
    std::string synopsis;
    std::string description;
};

enum class ParseOutcome { Run, HelpShown, VersionShown };

struct ParseResult {
    ParseOutcome end = ParseOutcome::Run;
    // Arguments that are not options.
    std::vector<std::string> arguments;
};

// Reads the environment variables, then the command line, which takes precedence. If any setting is invalid, fails with
// a message that lists all invalid settings.
Result<ParseResult> parseOptions(int argc, char** argv, const Usage& usage, const std::vector<Option>& options);

// Return an `Option::set` function that stores into the target, which must outlive it.
std::function<std::string(const std::string&)> setText(std::string& target);
std::function<std::string(const std::string&)> setFlag(bool& target);
std::function<std::string(const std::string&)> setInteger(long& target, long minimum, long maximum);
std::function<std::string(const std::string&)> setAddress(std::string& ip, std::uint16_t& port);

}
