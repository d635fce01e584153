#pragma once

#include "store.h"

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <atomic>
#include <fstream>

namespace review {

// Figures of the small deployment that the cases run on; those of kit/more/system/sites/vitalkor-routing.toml.
constexpr std::int64_t CONTACT_MS = 3000;
constexpr std::int64_t GRACE_MS = 8000;
constexpr std::int64_t HEARTBEAT_MS = 1200;
constexpr int MEMORY_MB = 260;
constexpr std::size_t MAX_BODY_BYTES = 4'194'304;

// The cluster under test: the store, and hosts that run the program of the deploy file. Ends all processes that it
// started.
class Deployment {
public:
    // `root` is the repository, `folder` the case's, where record.txt is written.
    Deployment(std::string root, std::string folder, int hosts);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    Store& store() { return *m_store; }
    int hostCount() const { return m_hosts; }
    Address frontend(int host) const { return { hostIp(host), 8227 }; }
    Address directory(int host) const { return { hostIp(host), 8224 }; }
    // An address for a runner, the same for the same number.
    Address runnerAddress(int n) const { return { m_base + std::to_string(100 + n), 8080 }; }
    static std::string zone(int n) { return "zone-" + std::string(1, static_cast<char>('a' + n % 3)); }

    // Writes the operator's configuration.
    void configure(const nlohmann::json& routes, const nlohmann::json& services, int version = 7,
        const std::vector<std::string>& keys = { "key-a1", "key-a2" });
    void start();
    void startHost(int host);
    // Waits until the host answers the platform's question for its readiness with 200.
    bool awaitReady(int host, std::int64_t timeoutMs);
    bool isReady(int host) const;
    bool isRunning(int host);
    void sendSignal(int host, int signal);
    // Resident memory of the host's process in bytes; 0 if it does not run.
    std::size_t residentBytes(int host) const;

    // Adds a line to record.txt, with the time since the start.
    void note(const std::string& text);
    std::int64_t elapsedMs() const { return nowMs() - m_startedAt; }
    std::string newAttempt()
    {
        return "att" + std::to_string(++m_attempts) + "x" + std::to_string(m_startedAt % 100'000);
    }

private:
    std::string hostIp(int host) const { return m_base + std::to_string(10 + host); }
    void writeSettings(int host, bool bootstrap) const;
    void chooseAddresses();

    const std::string m_root;
    const int m_hosts;
    const std::int64_t m_startedAt = nowMs();
    // First three numbers of the loopback addresses in use, with the last dot.
    std::string m_base;
    std::string m_folder;
    std::ofstream m_record;
    std::mutex m_recordMutex;
    std::unique_ptr<Store> m_store;
    std::map<int, pid_t> m_processes;
    std::set<int> m_startedOnce;
    std::atomic<int> m_attempts = 0;
};

// A runner: registers itself in the store, and hands each request to the case.
class Runner {
public:
    struct Options {
        std::string service;
        Address address;
        std::string zone;
        int slots = 6;
    };
    // Answers one request; returns false to close the connection.
    using Handler = std::function<bool(Runner& runner, int fd, Reader& reader, const Message& request)>;

    Runner(Deployment& deployment, Options options, Handler handler);
    ~Runner();
    Runner(const Runner&) = delete;
    Runner& operator=(const Runner&) = delete;

    // Ends as a process that crashes, and starts again with a new id after `downMs`.
    void crash(std::int64_t downMs);
    std::string id();
    const Address& address() const { return m_options.address; }
    Deployment& deployment() { return m_deployment; }

private:
    void run();
    void serve(int fd);
    std::string entry();
    void dropSilent();

    Deployment& m_deployment;
    const Options m_options;
    const Handler m_handler;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_id;
    std::int64_t m_born = 0;
    int m_starts = 0;
    int m_sequence = 0;
    std::optional<std::int64_t> m_crashedForMs;
    bool m_ended = false;
    // Ids of earlier starts, and when their entries are removed.
    std::vector<std::pair<std::string, std::int64_t>> m_silent;
    std::thread m_thread;
};

// Head of a complete answer of a runner to the request, with its seal.
std::string answerHead(const Message& request, const std::string& lengthHeader, const std::string& more = {});
std::string answer(const Message& request, const std::string& body, const std::string& more = {});

// Whether the case runs with its disruption.
bool hasTrouble();

}
