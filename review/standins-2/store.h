#pragma once

#include "http.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>

namespace review {

// The platform's store, as far as the system calls it: partition 0 of topics with keys.
class Store {
public:
    explicit Store(const Address& address);

    void put(const std::string& topic, const std::string& key, const std::string& value);
    // Drops the key.
    void drop(const std::string& topic, const std::string& key) { put(topic, key, {}); }

    // What the store holds, for a drill.
    struct Copy;
    std::shared_ptr<const Copy> copy();
    // The store is away for that long, and then comes back from the copy, in a new era.
    void restore(const std::shared_ptr<const Copy>& copy, std::int64_t awayMs);

private:
    struct Record {
        std::string key;
        std::string value;
    };
    struct Producer {
        std::uint64_t epoch = 0;
        std::uint64_t nextSequence = 0;
        bool hasSequence = false;
    };
    struct Topic {
        std::vector<Record> records;
        // Offset of the newest record of each key that has a value.
        std::map<std::string, std::size_t> newest;
        std::map<std::string, Producer> producers;
    };

    void serve(int fd);
    // The answer to one call; empty if the store went away meanwhile.
    std::string answer(const Message& request);
    std::string append(const Message& request);
    std::string readRecords(const Message& request);
    std::string newest(const Message& request);
    void add(Topic& topic, const std::string& key, const std::string& value);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    std::atomic<bool> m_away = false;
    std::atomic<int> m_era = 0;
    std::unique_ptr<Server> m_server;
};

}
