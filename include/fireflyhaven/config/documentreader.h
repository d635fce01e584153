#pragma once

#include "fireflyhaven/config/types/change.h"

#include <set>

namespace fireflyhaven::config {

// Reads and validates the fields of one JSON object. Appends every validation error to `errors` instead of stopping at
// the first one. Keeps references to the node and to `errors`.
class DocumentReader {
public:
    DocumentReader(const nlohmann::json& node, std::string path, std::vector<ValidationError>& errors);

    std::string text(const std::string& name, std::size_t maxLength);
    std::string optionalText(const std::string& name, std::size_t maxLength);
    std::int64_t integer(const std::string& name, std::int64_t minimum, std::int64_t maximum);
    std::int64_t optionalInteger(
        const std::string& name, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue);
    double number(const std::string& name, double minimum, double maximum);
    double optionalNumber(const std::string& name, double minimum, double maximum, double defaultValue);
    bool optionalFlag(const std::string& name, bool defaultValue);
    // Returns the index of the text in `choices`, or 0 if it is not one of them.
    std::size_t choice(const std::string& name, const std::vector<std::string>& choices);
    std::vector<std::string> optionalTexts(const std::string& name, std::size_t maxLength);
    // Returns an empty array if the field is missing or not an array.
    const nlohmann::json& array(const std::string& name);
    // Reports an error for each field that was not read.
    void rejectUnknownFields();

    void addError(const std::string& name, std::string expected);
    const std::string& path() const { return m_path; }

private:
    const nlohmann::json* find(const std::string& name);

    const nlohmann::json& m_node;
    std::string m_path;
    std::vector<ValidationError>& m_errors;
    std::set<std::string> m_requestedFields;
};

}
