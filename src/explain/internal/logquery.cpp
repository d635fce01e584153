#include "fireflyhaven/explain/logquery.h"

#include <algorithm>
#include <string_view>

namespace fireflyhaven::explain {

namespace {

constexpr std::string_view REQUEST_EVENT = "request_";

std::string fieldsText(const nlohmann::ordered_json& fields, std::string_view leftOut)
{
    std::string text;
    for (const auto& [name, value] : fields.items()) {
        if (name == leftOut)
            continue;
        text += "  " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

std::vector<const LogLine*> inOrder(std::vector<const LogLine*> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine* a, const LogLine* b) { return a->time < b->time; });
    return lines;
}

std::string lineText(const LogLine& line, std::string_view event, std::string_view leftOut)
{
    return line.time + "  " + line.host + "  " + std::string(event) + fieldsText(line.fields, leftOut) + "\n";
}

}

std::optional<std::string> storyOf(const std::vector<LogLine>& lines, const std::string& request)
{
    std::vector<const LogLine*> steps;
    for (const LogLine& it : lines) {
        const auto named = it.fields.find("request");
        if (it.event.starts_with(REQUEST_EVENT) && named != it.fields.end() && *named == request)
            steps.push_back(&it);
    }
    if (steps.empty())
        return std::nullopt;
    std::string text;
    for (const LogLine* it : inOrder(std::move(steps)))
        text += lineText(*it, it->event.substr(REQUEST_EVENT.size()), "request");
    return text;
}

std::optional<std::string> beliefsOf(
    const std::vector<LogLine>& lines, const std::string& host, const std::string& time)
{
    std::vector<const LogLine*> ofHost;
    for (const LogLine& it : lines) {
        if (it.host == host && it.time <= time && !it.event.starts_with(REQUEST_EVENT))
            ofHost.push_back(&it);
    }
    ofHost = inOrder(std::move(ofHost));
    const auto last
        = std::find_if(ofHost.rbegin(), ofHost.rend(), [](const LogLine* it) { return it->event == "beliefs"; });
    if (last == ofHost.rend())
        return std::nullopt;
    std::string text;
    for (auto it = last.base() - 1; it != ofHost.end(); ++it)
        text += lineText(**it, (*it)->event, "");
    return text;
}

}
