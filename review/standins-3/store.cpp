#include "store.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace review {

namespace {

constexpr std::size_t PAGE_RECORDS = 500;
const std::string HEADERS = "Store-Era: 1\r\n";

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int n = bytes - 1; n >= 0; --n)
        out += static_cast<char>(value >> (8 * n) & 0xFF);
    return out;
}

std::uint64_t number(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        std::uint32_t group = 0;
        for (std::size_t m = 0; m < 3; ++m)
            group = group << 8 | (n + m < bytes.size() ? static_cast<unsigned char>(bytes[n + m]) : 0);
        for (std::size_t m = 0; m < 4; ++m)
            out += n + m > bytes.size() ? '=' : digits[group >> (18 - 6 * m) & 63];
    }
    return out;
}

std::string json(int status, const nlohmann::json& body)
{
    return response(status, HEADERS + "Content-Type: application/json\r\n", body.dump());
}

}

Store::Store(const std::vector<Address>& listen)
{
    for (std::size_t host = 0; host < listen.size(); ++host)
        m_servers.push_back(std::make_unique<Server>(listen[host],
            [this, host](Message& call, Connection& connection) { return serve(host, call, connection); }));
}

Store::~Store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_servers.clear();
}

void Store::setOnCall(OnCall onCall)
{
    const std::lock_guard lock(m_mutex);
    m_onCall = std::move(onCall);
}

void Store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    {
        const std::lock_guard lock(m_mutex);
        add(m_topics[topic], { .key = key, .value = value });
    }
    m_changed.notify_all();
}

std::string Store::newest(const std::string& topic, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    const auto& records = m_topics[topic].newest;
    const auto it = records.find(key);
    return it == records.end() ? std::string() : it->second.first;
}

void Store::add(Topic& topic, const Record& record)
{
    if (record.value.empty())
        topic.newest.erase(record.key);
    else
        topic.newest[record.key] = { record.value, topic.records.size() };
    topic.records.push_back(record);
}

bool Store::serve(std::size_t host, Message& call, Connection& connection)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_onCall)
            m_onCall(host, call);
    }
    const std::string path = call.path();
    if (path == "/fireflyhaven/log-append")
        return connection.write(append(call));
    if (path == "/fireflyhaven/log-read")
        return connection.write(read(call));
    if (path == "/fireflyhaven/log-newest")
        return connection.write(readNewest(call));
    return connection.write(json(404, nlohmann::json::object()));
}

std::string Store::append(const Message& call)
{
    const std::string name = call.query("topic");
    if (name == "keyed.op" || name == "keyed.servers")
        return json(403, nlohmann::json::object());
    nlohmann::json answer;
    {
        const std::lock_guard lock(m_mutex);
        Topic& topic = m_topics[name];
        const std::string producer = call.query("producer");
        if (!producer.empty()) {
            const std::uint64_t epoch = number(call.query("epoch"));
            const std::uint64_t sequence = number(call.query("sequence"));
            const bool known = topic.epochs.contains(producer);
            if (known && epoch < topic.epochs[producer])
                return json(409, { { "reason", "fenced" } });
            if (known && epoch == topic.epochs[producer] && !call.body.empty()
                && sequence != topic.sequences[producer] + 1)
                return json(409, { { "reason", "seq" }, { "expected", topic.sequences[producer] + 1 } });
            topic.epochs[producer] = epoch;
            topic.sequences[producer] = sequence;
        }
        answer["offset"] = topic.records.size();
        std::string_view rest = call.body;
        while (rest.size() > 4) {
            std::size_t n = 0;
            for (int m = 0; m < 4; ++m)
                n = n << 8 | static_cast<unsigned char>(rest[static_cast<std::size_t>(m)]);
            const std::string content(rest.substr(4, n));
            rest.remove_prefix(std::min(rest.size(), 4 + n));
            const auto keyBytes = static_cast<unsigned char>(content[0]);
            add(topic, { .key = content.substr(1, keyBytes), .value = content.substr(1 + keyBytes) });
        }
        answer["end_offset"] = topic.records.size();
    }
    m_changed.notify_all();
    return json(200, answer);
}

std::string Store::read(const Message& call)
{
    const std::uint64_t from = number(call.query("from"));
    const Ms wait(number(call.query("wait_ms")));
    std::unique_lock lock(m_mutex);
    Topic& topic = m_topics[call.query("topic")];
    m_changed.wait_for(lock, wait, [&] { return m_stopping || topic.records.size() > from; });
    if (from > topic.records.size())
        return json(410, { { "first_offset", 0 } });
    std::string body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
    for (std::size_t n = from; n < topic.records.size(); ++n) {
        const Record& it = topic.records[n];
        const std::string content = static_cast<char>(it.key.size()) + it.key + it.value;
        body += bigEndian(content.size(), 4) + content;
    }
    return response(200, HEADERS, body);
}

std::string Store::readNewest(const Message& call)
{
    const std::lock_guard lock(m_mutex);
    const Topic& topic = m_topics[call.query("topic")];
    nlohmann::json entries = nlohmann::json::array();
    bool more = false;
    for (auto it = topic.newest.upper_bound(call.query("after")); it != topic.newest.end(); ++it) {
        if (entries.size() == PAGE_RECORDS) {
            more = true;
            break;
        }
        entries.push_back(
            { { "key", it->first }, { "value", base64(it->second.first) }, { "offset", it->second.second } });
    }
    return json(200, { { "entries", entries }, { "has_more", more }, { "end_offset", topic.records.size() } });
}

}
