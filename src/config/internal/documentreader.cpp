#include "fireflyhaven/config/documentreader.h"

#include <cmath>

namespace fireflyhaven::config {

namespace {
const nlohmann::json EMPTY_OBJECT = nlohmann::json::object();
const nlohmann::json EMPTY_ARRAY = nlohmann::json::array();
}

DocumentReader::DocumentReader(const nlohmann::json& node, std::string path, std::vector<ValidationError>& errors)
    : m_node(node.is_object() ? node : EMPTY_OBJECT)
    , m_path(std::move(path))
    , m_errors(errors)
{
    if (!node.is_object())
        m_errors.push_back({ .path = m_path, .expected = "an object" });
}

const nlohmann::json* DocumentReader::find(const std::string& name)
{
    m_requestedFields.insert(name);
    const auto it = m_node.find(name);
    return it == m_node.end() ? nullptr : &*it;
}

void DocumentReader::addError(const std::string& name, std::string expected)
{
    m_errors.push_back({ .path = m_path + "." + name, .expected = std::move(expected) });
}

std::string DocumentReader::text(const std::string& name, std::size_t maxLength)
{
    const nlohmann::json* it = find(name);
    const bool valid = it && it->is_string() && !it->get_ref<const std::string&>().empty()
        && it->get_ref<const std::string&>().size() <= maxLength;
    if (valid)
        return it->get<std::string>();
    addError(name, "a text of 1 to " + std::to_string(maxLength) + " characters");
    return {};
}

std::string DocumentReader::optionalText(const std::string& name, std::size_t maxLength)
{
    return find(name) ? text(name, maxLength) : std::string();
}

std::int64_t DocumentReader::integer(const std::string& name, std::int64_t minimum, std::int64_t maximum)
{
    const nlohmann::json* it = find(name);
    const bool tooLarge = it && it->is_number_unsigned() && it->get<std::uint64_t>() > INT64_MAX;
    if (it && it->is_number_integer() && !tooLarge) {
        const auto n = it->get<std::int64_t>();
        if (n >= minimum && n <= maximum)
            return n;
    }
    addError(name, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return minimum;
}

std::int64_t DocumentReader::optionalInteger(
    const std::string& name, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue)
{
    return find(name) ? integer(name, minimum, maximum) : defaultValue;
}

double DocumentReader::number(const std::string& name, double minimum, double maximum)
{
    const nlohmann::json* it = find(name);
    if (it && it->is_number()) {
        const double n = it->get<double>();
        if (std::isfinite(n) && n >= minimum && n <= maximum)
            return n;
    }
    addError(name, "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return minimum;
}

double DocumentReader::optionalNumber(const std::string& name, double minimum, double maximum, double defaultValue)
{
    return find(name) ? number(name, minimum, maximum) : defaultValue;
}

bool DocumentReader::optionalFlag(const std::string& name, bool defaultValue)
{
    const nlohmann::json* it = find(name);
    if (!it)
        return defaultValue;
    if (it->is_boolean())
        return it->get<bool>();
    addError(name, "true or false");
    return defaultValue;
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
    addError(name, expected);
    return 0;
}

std::vector<std::string> DocumentReader::optionalTexts(const std::string& name, std::size_t maxLength)
{
    std::vector<std::string> texts;
    if (!find(name))
        return texts;
    for (const nlohmann::json& it : array(name)) {
        if (it.is_string() && !it.get_ref<const std::string&>().empty()
            && it.get_ref<const std::string&>().size() <= maxLength)
            texts.push_back(it.get<std::string>());
        else
            addError(name + "[" + std::to_string(texts.size()) + "]", "a text");
    }
    return texts;
}

const nlohmann::json& DocumentReader::array(const std::string& name)
{
    const nlohmann::json* it = find(name);
    if (it && it->is_array())
        return *it;
    addError(name, "an array");
    return EMPTY_ARRAY;
}

void DocumentReader::rejectUnknownFields()
{
    for (const auto& [name, value] : m_node.items()) {
        if (!m_requestedFields.count(name))
            addError(name, "no such field");
    }
}

}
