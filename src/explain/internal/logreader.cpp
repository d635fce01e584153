#include "fireflyhaven/explain/logreader.h"

namespace fireflyhaven::explain {

namespace {

constexpr std::string_view STRUCTURED_LINE_PREFIX = "{\"time\":";

std::string stringField(const nlohmann::ordered_json& fields, const char* name)
{
    const auto it = fields.find(name);
    return it != fields.end() && it->is_string() ? it->get<std::string>() : std::string();
}

}

std::vector<LogLine> readLogLines(std::istream& in)
{
    std::vector<LogLine> lines;
    for (std::string text; std::getline(in, text);) {
        const std::size_t start = text.find(STRUCTURED_LINE_PREFIX);
        if (start == std::string::npos)
            continue;
        auto fields = nlohmann::ordered_json::parse(text.substr(start), nullptr, false);
        if (!fields.is_object())
            continue;
        LogLine line;
        line.time = stringField(fields, "time");
        line.host = stringField(fields, "host");
        line.event = stringField(fields, "event");
        line.fields = std::move(fields);
        for (const char* name : { "time", "host", "event", "level" })
            line.fields.erase(name);
        lines.push_back(std::move(line));
    }
    return lines;
}

}
