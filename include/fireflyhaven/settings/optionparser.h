#pragma once

#include "fireflyhaven/common/result.h"

#include <functional>
#include <string>
#include <vector>

namespace fireflyhaven::settings {

// One flag of a program. Its environment variable is FIREFLYHAVEN_ and the name in upper case with "_" for "-".
struct Option {
    std::string name;
    // Shown in the help, for example "IP:PORT"; empty for a flag without a value.
    std::string value;
    std::string help;
    // Takes the value; returns what was expected where the value is wrong, else an empty text.
    std::function<std::string(const std::string&)> set;
    // May come from the environment only, so that secrets do not show in the list of processes.
    bool environmentOnly = false;
};

struct Usage {
    std::string program;
    // Line after "Usage: PROGRAM".
    std::string synopsis;
    std::string description;
};

enum class ParseEnd { Run, HelpShown, VersionShown };

struct Parsed {
    ParseEnd end = ParseEnd::Run;
    std::vector<std::string> arguments;
};

// Reads the environment, then the command line with getopt_long. Fails with every wrong setting named.
Result<Parsed> parseOptions(int argc, char** argv, const Usage& usage, const std::vector<Option>& options);

// Setters for common kinds of values.
std::function<std::string(const std::string&)> setText(std::string& target);
std::function<std::string(const std::string&)> setFlag(bool& target);
std::function<std::string(const std::string&)> setInteger(long& target, long least, long most);
std::function<std::string(const std::string&)> setAddress(std::string& ip, std::uint16_t& port);

}
