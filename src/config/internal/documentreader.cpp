#include "fireflyhaven/config/documentreader.h"

#include <cmath>

namespace fireflyhaven::config {

namespace {
const nlohmann::json EMPTY_OBJECT = nlohmann::json::object();
const nlohmann::json EMPTY_ARRAY = nlohmann::json::array();
}

DocumentReader::DocumentReader(const nlohmann::json& node, std::string path, std::vector<Fault>& faults)
    : m_node(node.is_object() ? node : EMPTY_OBJECT)
    , m_path(std::move(path))
    , m_faults(faults)
{
    if (!node.is_object())
        m_faults.push_back({ .path = m_path, .expected = "an object" });
}

const nlohmann::json* DocumentReader::find(const std::string& name)
{
    m_asked.insert(name);
    const auto it = m_node.find(name);
    return it == m_node.end() ? nullptr : &*it;
}

void DocumentReader::fault(const std::string& name, std::string expected)
{
    m_faults.push_back({ .path = m_path + "." + name, .expected = std::move(expected) });
}

std::string DocumentReader::text(const std::string& name, std::size_t longest)
{
    const nlohmann::json* it = find(name);
    const bool fits = it && it->is_string() && !it->get_ref<const std::string&>().empty()
        && it->get_ref<const std::string&>().size() <= longest;
    if (fits)
        return it->get<std::string>();
    fault(name, "a text of 1 to " + std::to_string(longest) + " characters");
    return {};
}

std::string DocumentReader::optionalText(const std::string& name, std::size_t longest)
{
    return find(name) ? text(name, longest) : std::string();
}

std::int64_t DocumentReader::integer(const std::string& name, std::int64_t least, std::int64_t most)
{
    const nlohmann::json* it = find(name);
    const bool tooLarge = it && it->is_number_unsigned() && it->get<std::uint64_t>() > INT64_MAX;
    if (it && it->is_number_integer() && !tooLarge) {
        const auto n = it->get<std::int64_t>();
        if (n >= least && n <= most)
            return n;
    }
    fault(name, "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return least;
}

std::int64_t DocumentReader::optionalInteger(
    const std::string& name, std::int64_t least, std::int64_t most, std::int64_t absentValue)
{
    return find(name) ? integer(name, least, most) : absentValue;
}

double DocumentReader::number(const std::string& name, double least, double most)
{
    const nlohmann::json* it = find(name);
    if (it && it->is_number()) {
        const double n = it->get<double>();
        if (std::isfinite(n) && n >= least && n <= most)
            return n;
    }
    fault(name, "a number from " + std::to_string(least) + " to " + std::to_string(most));
    return least;
}

double DocumentReader::optionalNumber(const std::string& name, double least, double most, double absentValue)
{
    return find(name) ? number(name, least, most) : absentValue;
}

bool DocumentReader::optionalFlag(const std::string& name, bool absentValue)
{
    const nlohmann::json* it = find(name);
    if (!it)
        return absentValue;
    if (it->is_boolean())
        return it->get<bool>();
    fault(name, "true or false");
    return absentValue;
}

std::size_t DocumentReader::choice(const std::string& name, const std::vector<std::string>& choices)
{
    const nlohmann::json* it = find(name);
    std::string expected = "one of";
    for (std::size_t n = 0; n < choices.size(); ++n) {
        if (it && it->is_string() && it->get_ref<const std::string&>() == choices[n])
            return n;
        expected += " \"" + choices[n] + "\"";
    }
    fault(name, expected);
    return 0;
}

std::vector<std::string> DocumentReader::optionalTexts(const std::string& name, std::size_t longest)
{
    std::vector<std::string> texts;
    if (!find(name))
        return texts;
    for (const nlohmann::json& it : array(name)) {
        if (it.is_string() && !it.get_ref<const std::string&>().empty()
            && it.get_ref<const std::string&>().size() <= longest)
            texts.push_back(it.get<std::string>());
        else
            fault(name + "[" + std::to_string(texts.size()) + "]", "a text");
    }
    return texts;
}

const nlohmann::json& DocumentReader::array(const std::string& name)
{
    const nlohmann::json* it = find(name);
    if (it && it->is_array())
        return *it;
    fault(name, "an array");
    return EMPTY_ARRAY;
}

void DocumentReader::finish()
{
    for (const auto& [name, value] : m_node.items()) {
        if (!m_asked.count(name))
            fault(name, "no such field");
    }
}

}
