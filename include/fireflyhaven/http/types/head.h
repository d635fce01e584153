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

// Whether two header names or tokens are equal without regard to case.
bool equalsIgnoringCase(std::string_view a, std::string_view b);

// Header fields in the order and spelling in which they were received.
class HeaderList {
public:
    void add(std::string name, std::string value);
    // Replaces all fields of this name by one.
    void set(std::string name, std::string value);
    void remove(std::string_view name);
    // Value of the first field of this name; null where there is none.
    const std::string* find(std::string_view name) const;
    const std::vector<HeaderField>& fields() const { return m_fields; }
    // Removes the fields that concern one connection only, those named by `Connection` included.
    void removeHopByHop();

private:
    std::vector<HeaderField> m_fields;
};

struct RequestHead {
    std::string method;
    // Request target as received: path and query, not decoded.
    std::string target;
    HeaderList headers;
};

struct ResponseHead {
    int status = 200;
    std::string reason;
    HeaderList headers;
};

// Path of a request target, without the query.
std::string_view pathOf(std::string_view target);
// Decoded value of a query parameter of the target; no value where it is absent.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);
// Encodes text for use as a value in a query.
std::string encodeQueryValue(std::string_view text);
// Usual reason phrase of a status code.
std::string_view reasonPhrase(int status);

// Serializes a request with its length; a body-less GET or HEAD carries none.
std::string serializeHead(const RequestHead& head, std::string_view host, std::size_t bodyBytes);

}
