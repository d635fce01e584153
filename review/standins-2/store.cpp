#include "store.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace review {

namespace {

using nlohmann::json;

// Time that the store takes for an answer.
constexpr std::int64_t ANSWER_MS = 4;
constexpr std::size_t PAGE_ENTRIES = 500;

// The answer but for the era, which stands in its place.
const std::string ERA_MARK = "%ERA%";

std::string response(int status, const std::string& body, const std::string& type = "application/json")
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Type: " + type + "\r\nStore-Era: " + ERA_MARK
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string bigEndian(std::uint64_t n, int bytes)
{
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out += static_cast<char>((n >> shift) & 0xff);
    return out;
}

std::string base64(const std::string& text)
{
    constexpr std::string_view DIGITS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < text.size(); n += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += n + k <= text.size() ? DIGITS[bits >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

std::uint64_t numberOf(const std::string& text) { return text.empty() ? 0 : std::stoull(text); }

}

struct Store::Copy {
    std::map<std::string, Topic> topics;
};

Store::Store(const Address& address)
    : m_server(std::make_unique<Server>(address, [this](int fd) { serve(fd); }))
{
}

void Store::add(Topic& topic, const std::string& key, const std::string& value)
{
    topic.records.push_back({ .key = key, .value = value });
    if (value.empty())
        topic.newest.erase(key);
    else
        topic.newest[key] = topic.records.size() - 1;
}

void Store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    add(m_topics[topic], key, value);
    m_changed.notify_all();
}

void Store::serve(int fd)
{
    constexpr std::int64_t LONG_MS = 3'600'000;
    Reader reader(fd);
    Message request;
    while (reader.read(request, false, nowMs() + LONG_MS) == Reader::End::Complete) {
        if (m_away)
            return;
        const int era = m_era;
        sleepMs(ANSWER_MS);
        std::string bytes = answer(request);
        if (m_away || era != m_era)
            return;
        bytes.replace(bytes.find(ERA_MARK), ERA_MARK.size(), std::to_string(era));
        if (!sendAll(fd, bytes))
            return;
    }
}

std::shared_ptr<const Store::Copy> Store::copy()
{
    const std::lock_guard lock(m_mutex);
    return std::make_shared<const Copy>(Copy { m_topics });
}

void Store::restore(const std::shared_ptr<const Copy>& copy, std::int64_t awayMs)
{
    m_away = true;
    {
        const std::lock_guard lock(m_mutex);
        m_changed.notify_all();
    }
    sleepMs(awayMs);
    const std::lock_guard lock(m_mutex);
    m_topics = copy->topics;
    ++m_era;
    m_away = false;
}

std::string Store::answer(const Message& request)
{
    if (request.path() == "/fireflyhaven/log-append")
        return append(request);
    if (request.path() == "/fireflyhaven/log-read")
        return readRecords(request);
    if (request.path() == "/fireflyhaven/log-newest")
        return newest(request);
    return response(404, "{}");
}

std::string Store::append(const Message& request)
{
    const std::lock_guard lock(m_mutex);
    const std::string name = request.parameter("topic");
    if (name == "keyed.op" || name == "keyed.servers")
        return response(403, "{}");
    Topic& topic = m_topics[name];
    const std::string producerName = request.parameter("producer");
    if (!producerName.empty()) {
        Producer& producer = topic.producers[producerName];
        const std::uint64_t epoch = numberOf(request.parameter("epoch"));
        const std::uint64_t sequence = numberOf(request.parameter("sequence"));
        if (epoch < producer.epoch)
            return response(409, R"({"reason":"fenced"})");
        const bool isNewEpoch = epoch > producer.epoch;
        if (!isNewEpoch && producer.hasSequence && sequence != producer.nextSequence)
            return response(409, json { { "reason", "seq" }, { "sequence", producer.nextSequence } }.dump());
        producer.epoch = epoch;
        producer.hasSequence = !request.body.empty();
        producer.nextSequence = sequence + 1;
    }
    const std::size_t offset = topic.records.size();
    for (std::size_t at = 0; at + 4 < request.body.size();) {
        std::size_t n = 0;
        for (int k = 0; k < 4; ++k)
            n = n << 8 | static_cast<unsigned char>(request.body[at++]);
        const std::size_t keyBytes = static_cast<unsigned char>(request.body[at]);
        add(topic, request.body.substr(at + 1, keyBytes), request.body.substr(at + 1 + keyBytes, n - 1 - keyBytes));
        at += n;
    }
    m_changed.notify_all();
    return response(200, json { { "offset", offset }, { "end_offset", topic.records.size() } }.dump());
}

std::string Store::readRecords(const Message& request)
{
    std::unique_lock lock(m_mutex);
    Topic& topic = m_topics[request.parameter("topic")];
    const std::size_t from = numberOf(request.parameter("from"));
    if (from > topic.records.size())
        return response(410, R"({"first_offset":0})");
    const auto wait = std::chrono::milliseconds(numberOf(request.parameter("wait_ms")));
    m_changed.wait_for(lock, wait, [&] { return topic.records.size() > from || m_away; });
    if (m_away || from > topic.records.size())
        return response(503, {});
    std::string body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
    for (std::size_t n = from; n < topic.records.size(); ++n) {
        const Record& it = topic.records[n];
        const std::string content = static_cast<char>(it.key.size()) + it.key + it.value;
        body += bigEndian(content.size(), 4) + content;
    }
    return response(200, body, "application/octet-stream");
}

std::string Store::newest(const Message& request)
{
    const std::lock_guard lock(m_mutex);
    const Topic& topic = m_topics[request.parameter("topic")];
    json entries = json::array();
    bool hasMore = false;
    for (auto it = topic.newest.upper_bound(request.parameter("after")); it != topic.newest.end(); ++it) {
        if (entries.size() == PAGE_ENTRIES) {
            hasMore = true;
            break;
        }
        entries.push_back(
            { { "key", it->first }, { "value", base64(topic.records[it->second].value) }, { "offset", it->second } });
    }
    return response(
        200, json { { "entries", entries }, { "has_more", hasMore }, { "end_offset", topic.records.size() } }.dump());
}

}
