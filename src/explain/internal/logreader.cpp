#include "fireflyhaven/explain/logreader.h"

namespace fireflyhaven::explain {

namespace {

constexpr std::string_view LINE_START = "{\"time\":";

std::string textOf(const nlohmann::ordered_json& fields, const char* name)
{
    const auto it = fields.find(name);
    return it != fields.end() && it->is_string() ? it->get<std::string>() : std::string();
}

}

std::vector<LogLine> readLogLines(std::istream& in)
{
    std::vector<LogLine> lines;
    for (std::string text; std::getline(in, text);) {
        const std::size_t start = text.find(LINE_START);
        if (start == std::string::npos)
            continue;
        auto fields = nlohmann::ordered_json::parse(text.substr(start), nullptr, false);
        if (!fields.is_object())
            continue;
        LogLine line;
        line.time = textOf(fields, "time");
        line.host = textOf(fields, "host");
        line.event = textOf(fields, "event");
        line.fields = std::move(fields);
        for (const char* name : { "time", "host", "event", "level" })
            line.fields.erase(name);
        lines.push_back(std::move(line));
    }
    return lines;
}

}
