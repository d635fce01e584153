#include "fireflyhaven/settings/optionparser.h"

#include <arpa/inet.h>
#include <getopt.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace fireflyhaven::settings {

namespace {

constexpr int FIRST_OPTION_CODE = 1000;

std::string environmentVariable(const std::string& name)
{
    std::string variable = "FIREFLYHAVEN_";
    for (const char c : name)
        variable += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return variable;
}

void printHelp(const Usage& usage, const std::vector<Option>& options)
{
    std::cout << "Usage: " << usage.program << " " << usage.synopsis << "\n\n" << usage.description << "\n\nOptions:\n";
    for (const Option& it : options) {
        if (it.environmentOnly)
            std::cout << "  (" << environmentVariable(it.name) << ")";
        else
            std::cout << "  --" << it.name << (it.value.empty() ? "" : "=" + it.value);
        std::cout << "\n      " << it.help << "\n";
    }
    std::cout << "  --help, --version\n\nEach option may also be set by its environment variable, for example "
              << environmentVariable(options.front().name) << "; command-line options take precedence.\n";
}

void readEnvironment(const std::vector<Option>& options, std::string& errors)
{
    for (const Option& it : options) {
        const char* value = std::getenv(environmentVariable(it.name).c_str());
        const std::string expected = value ? it.set(value) : std::string();
        if (!expected.empty())
            errors += environmentVariable(it.name) + ": expected " + expected + "\n";
    }
}

}

Result<ParseResult> parseOptions(int argc, char** argv, const Usage& usage, const std::vector<Option>& options)
{
    std::string errors;
    readEnvironment(options, errors);
    std::vector<option> table;
    for (std::size_t n = 0; n < options.size(); ++n) {
        const int argument = options[n].value.empty() ? no_argument : required_argument;
        if (!options[n].environmentOnly)
            table.push_back({ options[n].name.c_str(), argument, nullptr, FIRST_OPTION_CODE + static_cast<int>(n) });
    }
    table.push_back({ "help", no_argument, nullptr, 'h' });
    table.push_back({ "version", no_argument, nullptr, 'v' });
    table.push_back({ nullptr, 0, nullptr, 0 });
    opterr = 0;
    optind = 1;
    int code = 0;
    while ((code = getopt_long(argc, argv, ":", table.data(), nullptr)) != -1) {
        if (code == 'h') {
            printHelp(usage, options);
            return ParseResult { .end = ParseOutcome::HelpShown, .arguments = {} };
        }
        if (code == 'v') {
            std::cout << usage.program << " " << FIREFLYHAVEN_VERSION << "\n";
            return ParseResult { .end = ParseOutcome::VersionShown, .arguments = {} };
        }
        if (code == ':' || code == '?') {
            errors += std::string(argv[optind - 1]) + (code == ':' ? ": expected a value\n" : ": no such option\n");
            continue;
        }
        const Option& it = options[static_cast<std::size_t>(code - FIRST_OPTION_CODE)];
        const std::string expected = it.set(optarg ? optarg : "1");
        if (!expected.empty())
            errors += "--" + it.name + ": expected " + expected + "\n";
    }
    if (!errors.empty())
        return failure(ErrorCode::InvalidArgument, errors);
    return ParseResult { .end = ParseOutcome::Run, .arguments = std::vector<std::string>(argv + optind, argv + argc) };
}

std::function<std::string(const std::string&)> setText(std::string& target)
{
    return [&target](const std::string& value) {
        target = value;
        return std::string();
    };
}

std::function<std::string(const std::string&)> setFlag(bool& target)
{
    return [&target](const std::string& value) -> std::string {
        if (value != "0" && value != "1")
            return "0 or 1";
        target = value == "1";
        return {};
    };
}

std::function<std::string(const std::string&)> setInteger(long& target, long minimum, long maximum)
{
    return [&target, minimum, maximum](const std::string& value) -> std::string {
        char* end = nullptr;
        errno = 0;
        const long n = std::strtol(value.c_str(), &end, 10);
        if (value.empty() || *end != '\0' || errno != 0 || n < minimum || n > maximum)
            return "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
        target = n;
        return {};
    };
}

std::function<std::string(const std::string&)> setAddress(std::string& ip, std::uint16_t& port)
{
    return [&ip, &port](const std::string& value) -> std::string {
        const auto colon = value.rfind(':');
        in_addr address {};
        long number = 0;
        if (colon == std::string::npos || inet_pton(AF_INET, value.substr(0, colon).c_str(), &address) != 1
            || !setInteger(number, 1, 65535)(value.substr(colon + 1)).empty())
            return "IPv4:PORT";
        ip = value.substr(0, colon);
        port = static_cast<std::uint16_t>(number);
        return {};
    };
}

}
