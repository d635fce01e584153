#pragma once

#include "store.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <cstdlib>
#include <fstream>

namespace review {

// Whether the case is run with its disruption; TROUBLE=0 leaves it out.
bool hasTrouble();

// Lines of record.txt, each with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);
    long now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    Clock::time_point m_startedAt = Clock::now();
};

// Lines of the settings file that the sheet of a deployment sets.
using Settings = std::map<std::string, std::string>;
// The settings of the two small deployments, which are the same but for the memory and the slack of the retries.
Settings smallSiteSettings();
// What the sheets of the grown deployments set otherwise.
Settings grownSiteSettings();

struct DeploymentOptions {
    std::size_t hosts = 2;
    // Zones, dealt to the hosts in turn.
    std::vector<std::string> zones { "zone-a", "zone-b" };
    Settings settings;
    bool keepLogs = std::getenv("KEEP_LOGS") != nullptr;
};

// Hosts of the system, each a process of its own at its own loopback address, and the platform's store.
class Deployment {
public:
    Deployment(const DeploymentOptions& options, Record& record);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    Store& store() { return *m_store; }
    std::size_t hosts() const { return m_options.hosts; }
    Address frontend(std::size_t host) const { return { .ip = m_ips[host], .port = m_port }; }
    Address readiness(std::size_t host) const { return { .ip = m_ips[host], .port = m_port + 1 }; }
    Address directory(std::size_t host) const { return { .ip = m_ips[host], .port = m_port + 2 }; }
    // A loopback address for a runner.
    Address runnerAddress(std::size_t n) const;

    void start();
    // Whether all hosts say within the time that they are ready.
    bool awaitReady(Ms timeout);
    bool isReady(std::size_t host) const;
    void signal(std::size_t host, int number);
    bool isRunning(std::size_t host);
    // Resident memory in KB; 0 if the process has ended.
    long residentKb(std::size_t host) const;

private:
    void startHost(std::size_t host);
    std::string settingsOf(std::size_t host) const;

    DeploymentOptions m_options;
    Record& m_record;
    std::string m_folder;
    std::vector<std::string> m_ips;
    std::vector<Address> m_storeAddresses;
    int m_port = 0;
    std::vector<pid_t> m_pids;
    std::unique_ptr<Store> m_store;
};

struct RunnerOptions {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    Address address;
    int slots = 8;
};

// A runner that registers itself in the store. It answers 421 where another one is expected.
class Runner {
public:
    // Serves one request; the head of the answer needs the fields of `answerHeaders`.
    using Work = Server::Handler;

    Runner(Store& store, RunnerOptions options, Work work);
    ~Runner();
    Runner(const Runner&) = delete;
    Runner& operator=(const Runner&) = delete;

    const std::string& id() const { return m_options.id; }
    std::string answerHeaders(const Message& request) const;
    // Says in the store that it leaves, and goes on serving.
    void drain();
    // Takes its entry out of the store without a word, and goes on serving. Returns when the store has accepted it.
    void unregister();
    void stop();
    // Ends without a word: closes its socket and all connections, and writes nothing any more. Not to be called by a
    // handler, which returns when its connection is closed.
    void crash();
    // Starts again under its id after a crash; nothing is known of before.
    void restart();

private:
    void beat();
    void writeEntry();
    bool serve(Message& request, Connection& connection);

    Store& m_store;
    RunnerOptions m_options;
    Work m_work;
    std::mutex m_mutex;
    bool m_registered = true;
    long m_born = 0;
    std::string m_phase = "ready";
    int m_sequence = 0;
    std::atomic<bool> m_stopped = false;
    std::unique_ptr<Server> m_server;
    std::thread m_beat;
};

// A configuration of the operator with the given parts.
nlohmann::json configuration(
    int version, const nlohmann::json& routes, const nlohmann::json& services, const nlohmann::json& tenants);

std::string attemptId(int n);

}
