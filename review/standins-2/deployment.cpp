#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

using nlohmann::json;

// The command and the environment of the role in deploy/system.toml.
constexpr const char* PROGRAM = "target/apps/fireflyhavend";
constexpr const char* METRICS_PORT = "9464";

std::int64_t wallMs()
{
    timespec it {};
    clock_gettime(CLOCK_REALTIME, &it);
    return it.tv_sec * 1000 + it.tv_nsec / 1'000'000;
}

}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

Deployment::Deployment(std::string root, std::string folder, int hosts)
    : m_root(std::move(root))
    , m_hosts(hosts)
    , m_record(folder + "/record.txt")
{
    chooseAddresses();
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(name.data()))
        throw std::runtime_error("no temporary folder");
    m_folder = name;
    m_store = std::make_unique<Store>(Address { m_base + "2", 8223 });
}

Deployment::~Deployment()
{
    for (const auto& [host, pid] : m_processes)
        kill(pid, SIGKILL);
    for (const auto& [host, pid] : m_processes)
        waitpid(pid, nullptr, 0);
    std::filesystem::remove_all(m_folder);
}

// Takes loopback addresses on which nothing listens on the ports of the deployment.
void Deployment::chooseAddresses()
{
    std::random_device random;
    for (int n = 0; n < 50; ++n) {
        m_base = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        bool free = true;
        for (const int port : { 8223, 8227, 8080, 9464, 7340 }) {
            const int fd = listenOn({ m_base + "10", static_cast<std::uint16_t>(port) });
            free = free && fd >= 0;
            if (fd >= 0)
                close(fd);
        }
        if (free)
            return;
    }
    throw std::runtime_error("no free loopback addresses");
}

void Deployment::note(const std::string& text)
{
    const std::lock_guard lock(m_recordMutex);
    m_record << elapsedMs() << " ms  " << text << std::endl;
}

void Deployment::configure(const json& routes, const json& services, int version, const std::vector<std::string>& keys)
{
    const json document { { "version", version }, { "routes", routes }, { "services", services },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", MAX_BODY_BYTES }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } },
        { "tenants", { { { "name", "tenant-a" }, { "api_keys", keys }, { "priority", 1 } } } } };
    m_store->put("keyed.op", "config", document.dump());
}

void Deployment::writeSettings(int host, bool bootstrap) const
{
    std::ofstream out(m_folder + "/host" + std::to_string(host) + ".conf");
    const std::string ip = hostIp(host);
    out << "node_name=edge-" << host << "\nrole=entry\nmachine_class=edge\nserves=edge,directory,control\nip=" << ip
        << "\nzone=" << zone(host) << "\nregion=region-a\n";
    for (int n = 0; n < 3; ++n)
        out << "zones." << zone(n) << "=region-a\n";
    out << "listen.frontend=" << ip << ":8227\nlisten.readiness=" << ip << ":8220\nlisten.control_plane=" << ip
        << ":8229\nlisten.directory=" << ip << ":8224\nport_range=7340,7355\nseeds=";
    for (int n = 0; n < std::min(3, m_hosts); ++n)
        out << (n > 0 ? "," : "") << hostIp(n) << ":8229";
    out << "\nbootstrap=" << (bootstrap ? "true" : "false") << "\nfault_counted=false\n"
        << "limits.cpu_fraction=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=" << MEMORY_MB
        << "\nlimits.max_fds=4100\nlimits.bandwidth_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n"
        << "entry=directory\nheartbeat_ms=" << HEARTBEAT_MS << "\n"
        << "fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n"
        << "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=" << CONTACT_MS << "\nbounds.ack_ms=4000\n"
        << "bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=" << GRACE_MS / 1000
        << "\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n"
        << "bounds.max_stretch_ms=5000\nbounds.strict_revocation=true\nbounds.revoke_ms=5000\n"
        << "bounds.retry_budget_ratio=0.9\nbounds.retry_window_s=10\nbounds.retry_slack=56\n"
        << "bounds.exposure_ratio=0.15\nbounds.exposure_slack=30\nbounds.rollback_ms=5000\n"
        << "bounds.warmup_overshoot=1.5\nbounds.warmup_slack=5\nbounds.evacuate_ms=5000\nbounds.recovery_s=12\n"
        << "bounds.iteration_ms=120\nbounds.reuse_window_s=10\nbounds.session_s=5\nbounds.ttl_max_s=5\n"
        << "platform.address=" << m_base << "2:8223\nplatform.form=log\nplatform.writes_per_s=400\n"
        << "platform.reads_per_s=2000\nplatform.parts=12\nplatform.append_ms=2.0\nplatform.part_mb_per_s=20.0\n"
        << "platform.read_mb_per_s=80.0\nplatform.record_bytes=262144\nplatform.call_bytes=2097152\n"
        << "platform.keep_s=300\nplatform.part_mb=200\nplatform.ttl_min_ms=1000\n";
}

void Deployment::startHost(int host)
{
    writeSettings(host, m_startedOnce.insert(host).second);
    const std::string settings = "FIREFLYHAVEN_NODE_FILE=" + m_folder + "/host" + std::to_string(host) + ".conf";
    const std::string metrics = std::string("FIREFLYHAVEN_METRICS_PORT=") + METRICS_PORT;
    const std::string log = m_folder + "/host" + std::to_string(host) + ".log";
    const std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
    const std::string program = m_root + "/" + PROGRAM;
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        if (chdir(m_root.c_str()) != 0)
            _exit(127);
        const char* arguments[] = { PROGRAM, nullptr };
        const char* environment[] = { settings.c_str(), metrics.c_str(), path.c_str(), nullptr };
        execve(program.c_str(), const_cast<char**>(arguments), const_cast<char**>(environment));
        _exit(127);
    }
    m_processes[host] = pid;
    note("host " + std::to_string(host) + " started");
}

void Deployment::start()
{
    for (int n = 0; n < m_hosts; ++n)
        startHost(n);
    for (int n = 0; n < m_hosts; ++n) {
        if (!awaitReady(n, 15'000))
            throw std::runtime_error("host " + std::to_string(n) + " did not become ready");
    }
    // The hosts find each other and read the registrations; traffic starts some seconds after the machines do.
    sleepMs(4000);
}

bool Deployment::isReady(int host) const
{
    const int fd = connectTo({ hostIp(host), 8220 }, 1000);
    if (fd < 0)
        return false;
    Reader reader(fd);
    Message response;
    const bool answered = sendAll(fd, "GET /fireflyhaven/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        && reader.read(response, true, nowMs() + 1000) == Reader::End::Complete;
    close(fd);
    return answered && response.status() == 200;
}

bool Deployment::awaitReady(int host, std::int64_t timeoutMs)
{
    for (const std::int64_t end = nowMs() + timeoutMs; nowMs() < end; sleepMs(100)) {
        if (isReady(host))
            return true;
    }
    return false;
}

bool Deployment::isRunning(int host)
{
    const auto it = m_processes.find(host);
    if (it == m_processes.end())
        return false;
    if (waitpid(it->second, nullptr, WNOHANG) == 0)
        return true;
    m_processes.erase(it);
    return false;
}

void Deployment::sendSignal(int host, int signal)
{
    const auto it = m_processes.find(host);
    if (it != m_processes.end())
        kill(it->second, signal);
}

std::size_t Deployment::residentBytes(int host) const
{
    const auto it = m_processes.find(host);
    if (it == m_processes.end())
        return 0;
    std::ifstream status("/proc/" + std::to_string(it->second) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:"))
            return std::stoul(line.substr(6)) * 1024;
    }
    return 0;
}

Runner::Runner(Deployment& deployment, Options options, Handler handler)
    : m_deployment(deployment)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_thread([this] { run(); })
{
}

Runner::~Runner()
{
    {
        const std::lock_guard lock(m_mutex);
        m_ended = true;
        m_changed.notify_all();
    }
    m_thread.join();
}

std::string Runner::id()
{
    const std::lock_guard lock(m_mutex);
    return m_id;
}

std::string Runner::entry()
{
    return json {
        { "service", m_options.service }, { "address", m_options.address.text() }, { "zone", m_options.zone },
        { "version", "v1" }, { "batch_slots", m_options.slots }, { "phase", "ready" }, { "warmup_left_ms", 0 },
        { "sequence", ++m_sequence }, { "born", m_born }
    }.dump();
}

// Lives from start to start: serves and renews its registration until it crashes, and starts again.
void Runner::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_ended) {
        const std::string& ip = m_options.address.ip;
        m_id = "i-" + ip.substr(ip.rfind('.') + 1) + "-" + std::to_string(++m_starts);
        m_born = wallMs();
        m_sequence = 0;
        auto server = std::make_unique<Server>(m_options.address, [this](int fd) { serve(fd); });
        m_deployment.note("runner " + m_id + " started at " + m_options.address.text());
        while (!m_ended && !m_crashedForMs) {
            m_deployment.store().put("keyed.servers", m_id, entry());
            dropSilent();
            m_changed.wait_for(
                lock, std::chrono::milliseconds(HEARTBEAT_MS), [this] { return m_ended || m_crashedForMs; });
        }
        lock.unlock();
        server.reset();
        lock.lock();
        if (m_ended)
            break;
        m_deployment.note("runner " + m_id + " crashed");
        m_silent.emplace_back(m_id, nowMs() + 3 * HEARTBEAT_MS);
        const std::int64_t downMs = *std::exchange(m_crashedForMs, std::nullopt);
        m_changed.wait_for(lock, std::chrono::milliseconds(downMs), [this] { return m_ended; });
    }
}

// The platform removes an entry after three heartbeat intervals of silence.
void Runner::dropSilent()
{
    std::erase_if(m_silent, [this](const auto& it) {
        const bool due = nowMs() >= it.second;
        if (due)
            m_deployment.store().drop("keyed.servers", it.first);
        return due;
    });
}

void Runner::crash(std::int64_t downMs)
{
    const std::lock_guard lock(m_mutex);
    if (!m_crashedForMs)
        m_crashedForMs = downMs;
    m_changed.notify_all();
}

void Runner::serve(int fd)
{
    constexpr std::int64_t IDLE_MS = 60'000;
    Reader reader(fd);
    Message request;
    while (reader.read(request, false, nowMs() + IDLE_MS) == Reader::End::Complete) {
        if (request.path() == "/healthz") {
            if (!sendAll(fd, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id() + "\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        if (request.header("X-Expect-Instance") != id()) {
            if (!sendAll(fd,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
                        + "\r\nX-Instance-Id: " + id() + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        if (!m_handler(*this, fd, reader, request))
            return;
    }
}

std::string answerHead(const Message& request, const std::string& lengthHeader, const std::string& more)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
        + "\r\nX-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + more + lengthHeader + "\r\n\r\n";
}

std::string answer(const Message& request, const std::string& body, const std::string& more)
{
    return answerHead(request, "Content-Length: " + std::to_string(body.size()), more) + body;
}

}
