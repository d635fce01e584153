#pragma once

#include "client.h"

#include <nlohmann/json.hpp>

#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>

namespace review {

// Addresses of a case: loopback addresses that nothing else uses, and ports that are free on them.
class Addresses {
public:
    Addresses()
    {
        std::random_device random;
        m_net = "127." + std::to_string(16 + random() % 200) + "." + std::to_string(random() % 250) + ".";
        do {
            m_firstPort = 20000 + static_cast<int>(random() % 10000);
        } while (!arePortsFree());
    }
    std::string ip(int n) const { return m_net + std::to_string(n); }
    int port(int n) const { return m_firstPort + n; }

private:
    // Whether nothing uses any of the ports here, or on all addresses of this machine.
    bool arePortsFree() const
    {
        constexpr int PORTS = 60;
        for (int n = 0; n < PORTS; ++n) {
            const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
            const sockaddr_in address = Endpoint { .ip = ip(1), .port = port(n) }.address();
            const bool isFree = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
            ::close(fd);
            if (!isFree)
                return false;
        }
        return true;
    }

    std::string m_net;
    int m_firstPort = 0;
};

// Settings of a deployment that all its hosts share, as the pages show them for a small site.
struct Deployment {
    Addresses addresses;
    std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };
    std::string folder;
    Endpoint store;
    // Where the output of the processes goes.
    std::string logFolder;
    // Loopback address of each host.
    std::vector<std::string> ips;
};

constexpr int FRONTEND_PORT = 0;
constexpr int READINESS_PORT = 1;
constexpr int CONTROL_PORT = 2;
constexpr int DIRECTORY_PORT = 3;
constexpr int FIRST_PEER_PORT = 10;
constexpr int LAST_PEER_PORT = 25;

// One entry host: a process of the program that the deploy file names.
class Host {
public:
    Host(const Deployment& deployment, std::size_t number)
        : m_deployment(deployment)
        , m_number(number)
        , m_settings(deployment.folder + "/" + name() + ".conf")
    {
    }
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;
    ~Host() { end(); }

    std::string name() const { return "edge-" + zone() + "-" + std::to_string(m_number + 1); }
    std::string zone() const { return m_deployment.zones[m_number % m_deployment.zones.size()]; }
    Endpoint frontend() const { return at(FRONTEND_PORT); }
    Endpoint directory() const { return at(DIRECTORY_PORT); }

    void start(bool bootstrap)
    {
        writeSettings(bootstrap);
        m_pid = ::fork();
        if (m_pid == 0)
            exec();
    }
    void signal(int number) const { ::kill(m_pid, number); }
    // Waits for the end of the process; returns its status as `waitpid` does, or none if it still runs.
    std::optional<int> waitForEnd(Milliseconds timeout)
    {
        const auto until = Clock::now() + timeout;
        do {
            int status = 0;
            if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
                m_pid = 0;
                return status;
            }
            std::this_thread::sleep_for(Milliseconds(20));
        } while (Clock::now() < until);
        return std::nullopt;
    }
    void end()
    {
        if (m_pid <= 0)
            return;
        signal(SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
    bool isReady() const
    {
        return send(at(READINESS_PORT),
                   { .target = "/fireflyhaven/readyz", .host = "x", .attempt = "ready", .deadline = Milliseconds(900) })
                   .status
            == 200;
    }
    // Addresses that the host names to clients.
    std::vector<std::string> resolve(const std::string& hostName) const
    {
        const Answer it = send(directory(),
            { .target = "/fireflyhaven/resolve?name=" + hostName + "&region=region-1&zone=" + zone(),
                .host = "x",
                .attempt = "resolve",
                .deadline = Milliseconds(1000) });
        const auto document = nlohmann::json::parse(it.message.body, nullptr, false);
        return document.is_object() ? document.value("addresses", std::vector<std::string>())
                                    : std::vector<std::string>();
    }

private:
    Endpoint at(int port) const
    {
        return { .ip = m_deployment.ips[m_number], .port = m_deployment.addresses.port(port) };
    }

    void writeSettings(bool bootstrap) const
    {
        std::ofstream out(m_settings);
        out << "node_name=" << name() << "\nrole=entry\nmachine_class=edge\nserves=edge,directory,control\n"
            << "ip=" << m_deployment.ips[m_number] << "\nzone=" << zone() << "\nregion=region-1\n";
        for (const std::string& it : m_deployment.zones)
            out << "zones." << it << "=region-1\n";
        out << "listen.frontend=" << at(FRONTEND_PORT).text() << "\nlisten.readiness=" << at(READINESS_PORT).text()
            << "\nlisten.control_plane=" << at(CONTROL_PORT).text()
            << "\nlisten.directory=" << at(DIRECTORY_PORT).text()
            << "\nport_range=" << m_deployment.addresses.port(FIRST_PEER_PORT) << ","
            << m_deployment.addresses.port(LAST_PEER_PORT) << "\nseeds=";
        for (std::size_t n = 0; n < std::min<std::size_t>(3, m_deployment.ips.size()); ++n)
            out << (n ? "," : "") << m_deployment.ips[n] << ":" << m_deployment.addresses.port(CONTROL_PORT);
        out << "\nbootstrap=" << (bootstrap ? "true" : "false") << "\nfault_counted=false\n"
            << "limits.cpu_fraction=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n"
            << "limits.bandwidth_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=directory\n"
            << "heartbeat_ms=1200\n"
            << "invariants=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,rollout\n"
            << "fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n"
            << "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n"
            << "bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n"
            << "bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\n"
            << "bounds.strict_revocation=true\nbounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.9\n"
            << "bounds.retry_window_s=10\nbounds.retry_slack=56\nbounds.exposure_ratio=0.15\n"
            << "bounds.exposure_slack=30\nbounds.rollback_ms=5000\nbounds.warmup_overshoot=1.5\n"
            << "bounds.warmup_slack=5\nbounds.evacuate_ms=5000\nbounds.recovery_s=12\nbounds.iteration_ms=120\n"
            << "bounds.reuse_window_s=10\nbounds.session_s=5\nbounds.ttl_max_s=5\n"
            << "platform.address=" << m_deployment.store.text() << "\nplatform.form=log\nplatform.writes_per_s=400\n"
            << "platform.reads_per_s=2000\nplatform.parts=12\nplatform.append_ms=2.0\n"
            << "platform.part_mb_per_s=20.0\nplatform.read_mb_per_s=80.0\nplatform.record_bytes=262144\n"
            << "platform.call_bytes=2097152\nplatform.keep_s=20\nplatform.part_mb=200\nplatform.ttl_min_ms=1000\n";
    }

    // Runs the command of the role in deploy/system.toml with the variables that the platform sets.
    [[noreturn]] void exec() const
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const std::string log = m_deployment.logFolder + "/" + name() + ".log";
        if (!std::freopen(log.c_str(), "a", stdout) || !std::freopen(log.c_str(), "a", stderr))
            std::_Exit(127);
        for (int fd = 3; fd < 1024; ++fd)
            ::close(fd);
        const char* path = std::getenv("PATH");
        const char* home = std::getenv("HOME");
        std::vector<std::string> variables { std::string("PATH=") + (path ? path : "/usr/bin:/bin"),
            std::string("HOME=") + (home ? home : "/"), "LANG=C.UTF-8", "FIREFLYHAVEN_METRICS_PORT=9464",
            "FIREFLYHAVEN_NODE_FILE=" + m_settings };
        std::vector<char*> environment;
        for (std::string& it : variables)
            environment.push_back(it.data());
        environment.push_back(nullptr);
        std::string program = "target/apps/fireflyhavend";
        char* arguments[] = { program.data(), nullptr };
        ::execve(program.c_str(), arguments, environment.data());
        std::_Exit(127);
    }

    const Deployment& m_deployment;
    const std::size_t m_number;
    const std::string m_settings;
    pid_t m_pid = 0;
};

}
