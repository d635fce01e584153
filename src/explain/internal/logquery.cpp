#include "fireflyhaven/explain/logquery.h"

#include <algorithm>
#include <string_view>

namespace fireflyhaven::explain {

namespace {

constexpr std::string_view REQUEST_EVENT_PREFIX = "request_";

std::string formatFields(const nlohmann::ordered_json& fields, std::string_view excludedField)
{
    std::string text;
    for (const auto& [name, value] : fields.items()) {
        if (name == excludedField)
            continue;
        text += "  " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

std::vector<const LogLine*> sortedByTime(std::vector<const LogLine*> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine* a, const LogLine* b) { return a->time < b->time; });
    return lines;
}

std::string formatLine(const LogLine& line, std::string_view event, std::string_view excludedField)
{
    return line.time + "  " + line.host + "  " + std::string(event) + formatFields(line.fields, excludedField) + "\n";
}

}

std::optional<std::string> requestTrace(const std::vector<LogLine>& lines, const std::string& request)
{
    std::vector<const LogLine*> steps;
    for (const LogLine& it : lines) {
        const auto requestField = it.fields.find("request");
        if (it.event.starts_with(REQUEST_EVENT_PREFIX) && requestField != it.fields.end() && *requestField == request)
            steps.push_back(&it);
    }
    if (steps.empty())
        return std::nullopt;
    std::string text;
    for (const LogLine* it : sortedByTime(std::move(steps)))
        text += formatLine(*it, it->event.substr(REQUEST_EVENT_PREFIX.size()), "request");
    return text;
}

std::optional<std::string> hostStateAt(
    const std::vector<LogLine>& lines, const std::string& host, const std::string& time)
{
    std::vector<const LogLine*> hostLines;
    for (const LogLine& it : lines) {
        if (it.host == host && it.time <= time && !it.event.starts_with(REQUEST_EVENT_PREFIX))
            hostLines.push_back(&it);
    }
    hostLines = sortedByTime(std::move(hostLines));
    const auto lastSummary
        = std::find_if(hostLines.rbegin(), hostLines.rend(), [](const LogLine* it) { return it->event == "beliefs"; });
    if (lastSummary == hostLines.rend())
        return std::nullopt;
    std::string text;
    for (auto it = lastSummary.base() - 1; it != hostLines.end(); ++it)
        text += formatLine(**it, (*it)->event, "");
    return text;
}

}
