#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>

namespace review {

// Stand-in for the platform's store: logs, keyed topics and fences, as far as the entry hosts use them.
class Store {
public:
    explicit Store(const Endpoint& at)
        : m_server(at, [this](Connection& connection, Message& request) { return serve(connection, request); })
    {
    }
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;
    ~Store()
    {
        m_stopped = true;
        m_changed.notify_all();
    }

    // Writes a record of a keyed topic, as the operator and the servers do; no value deletes the key.
    bool write(const std::string& topic, const std::string& key, const std::optional<std::string>& value)
    {
        const std::lock_guard lock(m_mutex);
        if (m_away)
            return false;
        append(topic, { .key = key, .value = value });
        return true;
    }

    // The store goes away and drops its connections. While it is away, nothing can be written or read.
    void leave()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_away = true;
        }
        m_changed.notify_all();
        m_server.setDown(true);
    }
    // The store is back, from a copy of this age.
    void returnFromCopy(Milliseconds age, Clock::time_point leftAt)
    {
        {
            const std::lock_guard lock(m_mutex);
            for (auto& [name, records] : m_topics) {
                while (!records.empty() && records.back().writtenAt > leftAt - age)
                    records.pop_back();
            }
            ++m_era;
            m_away = false;
        }
        m_server.setDown(false);
    }
    void returnUnchanged()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_away = false;
        }
        m_server.setDown(false);
    }
    std::size_t endOffset(const std::string& topic)
    {
        const std::lock_guard lock(m_mutex);
        return m_topics[topic].size();
    }

private:
    struct Record {
        std::string key;
        std::optional<std::string> value;
        Clock::time_point writtenAt = Clock::now();
    };
    struct Fence {
        std::uint64_t epoch = 0;
        std::optional<std::uint64_t> sequence;
    };

    void append(const std::string& topic, Record record)
    {
        m_topics[topic].push_back(std::move(record));
        m_changed.notify_all();
    }

    bool serve(Connection& connection, Message& request)
    {
        std::this_thread::sleep_for(ANSWER_TIME);
        const std::string path = request.path();
        if (path == "/fireflyhaven/log-read")
            return read(connection, request);
        if (path == "/fireflyhaven/log-newest")
            return newest(connection, request);
        if (path == "/fireflyhaven/log-append")
            return appendCall(connection, request);
        return answer(connection, 404, "{}");
    }

    bool answer(Connection& connection, int status, const std::string& body)
    {
        std::string headers;
        {
            const std::lock_guard lock(m_mutex);
            if (m_away)
                return false;
            headers = "Store-Era: " + std::to_string(m_era) + "\r\n";
        }
        return connection.write(plainAnswer(status, headers, body));
    }

    static std::string bigEndian(std::uint64_t n, int bytes)
    {
        std::string out;
        for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
            out += static_cast<char>((n >> shift) & 0xff);
        return out;
    }

    bool read(Connection& connection, const Message& request)
    {
        const std::string topic = request.query("topic");
        const std::size_t from = std::stoul("0" + request.query("from"));
        const auto until = Clock::now() + Milliseconds(std::stoul("0" + request.query("wait_ms")));
        std::string body;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait_until(lock, until, [&] { return m_away || m_stopped || m_topics[topic].size() != from; });
            if (m_away || m_stopped)
                return false;
            const std::vector<Record>& records = m_topics[topic];
            if (from > records.size()) {
                lock.unlock();
                return answer(connection, 410, R"({"first_offset":0})");
            }
            body = bigEndian(records.size(), 8) + bigEndian(0, 8);
            for (std::size_t n = from; n < records.size(); ++n) {
                const Record& it = records[n];
                const std::string content = bigEndian(it.key.size(), 1) + it.key + it.value.value_or("");
                body += bigEndian(content.size(), 4) + content;
            }
        }
        return answer(connection, 200, body);
    }

    bool newest(Connection& connection, const Message& request)
    {
        nlohmann::json out { { "entries", nlohmann::json::array() }, { "has_more", false } };
        {
            const std::lock_guard lock(m_mutex);
            const std::vector<Record>& records = m_topics[request.query("topic")];
            std::map<std::string, std::size_t> last;
            for (std::size_t n = 0; n < records.size(); ++n)
                last[records[n].key] = n;
            for (const auto& [key, n] : last) {
                if (records[n].value)
                    out["entries"].push_back(
                        { { "key", key }, { "value", base64(*records[n].value) }, { "offset", n } });
            }
            out["end_offset"] = records.size();
        }
        return answer(connection, 200, out.dump());
    }

    bool appendCall(Connection& connection, const Message& request)
    {
        const std::string topic = request.query("topic");
        if (topic == "keyed.op" || topic == "keyed.servers")
            return answer(connection, 403, "{}");
        std::unique_lock lock(m_mutex);
        if (m_away)
            return false;
        if (!request.query("producer").empty() && !acceptFence(request)) {
            lock.unlock();
            return answer(connection, 409, R"({"reason":"fenced"})");
        }
        const std::size_t offset = m_topics[topic].size();
        std::string_view left = request.body;
        while (left.size() >= 4) {
            std::size_t n = 0;
            for (const char c : left.substr(0, 4))
                n = n * 256 + static_cast<unsigned char>(c);
            const std::string_view content = left.substr(4, n);
            const auto keySize = static_cast<unsigned char>(content[0]);
            const std::string_view value = content.substr(1 + keySize);
            append(topic,
                { .key = std::string(content.substr(1, keySize)),
                    .value = value.empty() ? std::nullopt : std::optional(std::string(value)) });
            left.remove_prefix(4 + n);
        }
        const nlohmann::json out { { "offset", offset }, { "end_offset", m_topics[topic].size() } };
        lock.unlock();
        return answer(connection, 200, out.dump());
    }

    bool acceptFence(const Message& request)
    {
        Fence& it = m_fences[request.query("topic") + " " + request.query("producer")];
        const std::uint64_t epoch = std::stoull("0" + request.query("epoch"));
        const std::uint64_t sequence = std::stoull("0" + request.query("sequence"));
        if (epoch < it.epoch)
            return false;
        if (epoch > it.epoch)
            it = { .epoch = epoch, .sequence = std::nullopt };
        if (request.body.empty())
            return true;
        if (it.sequence && sequence != *it.sequence + 1)
            return false;
        it.sequence = sequence;
        return true;
    }

    static std::string base64(const std::string& text)
    {
        constexpr char DIGITS[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t n = 0; n < text.size(); n += 3) {
            unsigned bits = 0;
            for (std::size_t k = 0; k < 3; ++k)
                bits = bits * 256 + (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0);
            for (std::size_t k = 0; k < 4; ++k)
                out += n + k > text.size() ? '=' : DIGITS[(bits >> (18 - 6 * k)) & 63];
        }
        return out;
    }

    static constexpr Milliseconds ANSWER_TIME { 4 };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Record>> m_topics;
    std::map<std::string, Fence> m_fences;
    int m_era = 1;
    bool m_away = false;
    std::atomic<bool> m_stopped = false;
    // Last, so that it ends before what its threads use.
    Server m_server;
};

}
