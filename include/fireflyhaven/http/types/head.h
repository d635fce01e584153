#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyhaven::http {

struct HeaderField {
    std::string name;
    std::string value;
};

// Case-insensitive comparison of header names or tokens.
bool equalsIgnoringCase(std::string_view a, std::string_view b);

// Header fields in insertion order, with the spelling of their names preserved.
class HeaderList {
public:
    void add(std::string name, std::string value);
    // Replaces all fields of this name by one at the end of the list.
    void set(std::string name, std::string value);
    void remove(std::string_view name);
    // Value of the first field of this name, or null.
    const std::string* find(std::string_view name) const;
    const std::vector<HeaderField>& fields() const { return m_fields; }
    // Removes the hop-by-hop header fields, including those listed in `Connection`.
    void removeHopByHop();

private:
    std::vector<HeaderField> m_fields;
};

struct RequestHead {
    std::string method;
    // Path and query as received, without percent-decoding.
    std::string target;
    HeaderList headers;
};

struct ResponseHead {
    int status = 200;
    std::string reason;
    HeaderList headers;
};

// Returns the request target without the query.
std::string_view pathOf(std::string_view target);
// Percent-decoded value of the first query parameter of this name; no value where there is none.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);
// Percent-encodes text for use as a query parameter value.
std::string encodeQueryValue(std::string_view text);
// Standard reason phrase of a status code.
std::string_view reasonPhrase(int status);

// Serializes the request line and headers. Adds Host where it is missing, and Content-Length except for a GET or HEAD
// without a body.
std::string serializeHead(const RequestHead& head, std::string_view host, std::size_t bodyBytes);

}
