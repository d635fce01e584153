#pragma once

#include "net.h"

#include <condition_variable>

namespace review {

// The platform's store, as far as the system calls it: keyed topics of one partition, appends, reads and newest
// records. Linearizable, and it loses nothing. Each host has an address of its own for it, so that the stand-in can
// tell the hosts' calls apart; all lead to the same records.
class Store {
public:
    // Called for each call, with the number of the address that it came to.
    using OnCall = std::function<void(std::size_t host, const Message& call)>;

    explicit Store(const std::vector<Address>& listen);
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    // What the operator and the runners do. An empty value deletes the key. Returns when the store has accepted it.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    // Newest value of a key, empty if there is none.
    std::string newest(const std::string& topic, const std::string& key);
    void setOnCall(OnCall onCall);

private:
    struct Record {
        std::string key;
        std::string value;
    };
    struct Topic {
        std::vector<Record> records;
        std::map<std::string, std::pair<std::string, std::size_t>> newest;
        std::map<std::string, std::uint64_t> epochs;
        std::map<std::string, std::uint64_t> sequences;
    };

    bool serve(std::size_t host, Message& call, Connection& connection);
    std::string append(const Message& call);
    std::string read(const Message& call);
    std::string readNewest(const Message& call);
    void add(Topic& topic, const Record& record);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    OnCall m_onCall;
    bool m_stopping = false;
    std::vector<std::unique_ptr<Server>> m_servers;
};

}
