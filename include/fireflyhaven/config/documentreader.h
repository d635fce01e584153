#pragma once

#include "fireflyhaven/config/types/change.h"

#include <set>

namespace fireflyhaven::config {

// Reads the fields of one JSON object, collecting every fault instead of stopping at the first.
class DocumentReader {
public:
    DocumentReader(const nlohmann::json& node, std::string path, std::vector<Fault>& faults);

    std::string text(const std::string& name, std::size_t longest);
    std::string optionalText(const std::string& name, std::size_t longest);
    std::int64_t integer(const std::string& name, std::int64_t least, std::int64_t most);
    std::int64_t optionalInteger(
        const std::string& name, std::int64_t least, std::int64_t most, std::int64_t absentValue);
    double number(const std::string& name, double least, double most);
    double optionalNumber(const std::string& name, double least, double most, double absentValue);
    bool optionalFlag(const std::string& name, bool absentValue);
    // Returns the position of the text among `choices`; 0 after a fault.
    std::size_t choice(const std::string& name, const std::vector<std::string>& choices);
    std::vector<std::string> optionalTexts(const std::string& name, std::size_t longest);
    // Returns an empty array after a fault.
    const nlohmann::json& array(const std::string& name);
    // Reports each field that was not asked for.
    void finish();

    void fault(const std::string& name, std::string expected);
    const std::string& path() const { return m_path; }

private:
    const nlohmann::json* find(const std::string& name);

    const nlohmann::json& m_node;
    std::string m_path;
    std::vector<Fault>& m_faults;
    std::set<std::string> m_asked;
};

}
