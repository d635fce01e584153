#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <stdexcept>

namespace review {

namespace {

constexpr int HEARTBEAT_MS = 1200;
// Frontend, readiness, directory, control, metrics and fifteen ports between hosts.
constexpr int PORTS = 20;
constexpr int METRICS_OFFSET = 4;

long unixMs() { return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count(); }

}

bool hasTrouble()
{
    const char* it = std::getenv("TROUBLE");
    return !it || std::string(it) != "0";
}

Record::Record(const std::string& path)
    : m_out(path)
{
}

long Record::now() const { return std::chrono::duration_cast<Ms>(Clock::now() - m_startedAt).count(); }

void Record::line(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    m_out << now() << " " << text << std::endl;
}

Settings smallSiteSettings()
{
    return { { "limits.cpu_fraction", "0.25" }, { "limits.cpu_cores", "1" }, { "limits.memory_mb", "260" },
        { "limits.max_fds", "4100" }, { "limits.bandwidth_mbps", "1000.0" }, { "limits.disk_mb", "0" },
        { "discovery", "platform" }, { "entry", "directory" }, { "heartbeat_ms", std::to_string(HEARTBEAT_MS) },
        { "fault_tolerance.machines", "2" }, { "fault_tolerance.zones", "1" }, { "fault_tolerance.regions", "0" },
        { "bounds.seed_lag_s", "3" }, { "bounds.reuse_after_s", "2" }, { "bounds.contact_ms", "3000" },
        { "bounds.ack_ms", "4000" }, { "bounds.catch_up_s", "4" }, { "bounds.drain_ms", "2000" },
        { "bounds.grace_s", "8" }, { "bounds.loss_slack_ms", "200" }, { "bounds.config_apply_ms", "2000" },
        { "bounds.rollback_slack_ms", "250" }, { "bounds.max_stretch_ms", "5000" },
        { "bounds.strict_revocation", "true" }, { "bounds.revoke_ms", "5000" }, { "bounds.retry_budget_ratio", "0.9" },
        { "bounds.retry_window_s", "10" }, { "bounds.retry_slack", "56" }, { "bounds.exposure_ratio", "0.15" },
        { "bounds.exposure_slack", "30" }, { "bounds.rollback_ms", "5000" }, { "bounds.warmup_overshoot", "1.5" },
        { "bounds.warmup_slack", "5" }, { "bounds.evacuate_ms", "5000" }, { "bounds.recovery_s", "12" },
        { "bounds.iteration_ms", "120" }, { "bounds.reuse_window_s", "10" }, { "bounds.session_s", "5" },
        { "bounds.ttl_max_s", "5" }, { "platform.form", "log" }, { "platform.writes_per_s", "400" },
        { "platform.reads_per_s", "2000" }, { "platform.parts", "12" }, { "platform.append_ms", "2.0" },
        { "platform.part_mb_per_s", "20.0" }, { "platform.read_mb_per_s", "80.0" },
        { "platform.record_bytes", "262144" }, { "platform.call_bytes", "2097152" }, { "platform.keep_s", "300" },
        { "platform.part_mb", "200" }, { "platform.ttl_min_ms", "1000" } };
}

Settings grownSiteSettings()
{
    return { { "bounds.contact_ms", "4000" }, { "bounds.ack_ms", "6000" }, { "bounds.catch_up_s", "6" },
        { "bounds.drain_ms", "3000" }, { "bounds.config_apply_ms", "3000" }, { "bounds.max_stretch_ms", "6000" },
        { "bounds.retry_slack", "158" }, { "bounds.exposure_ratio", "0.12" }, { "bounds.recovery_s", "15" },
        { "bounds.iteration_ms", "200" }, { "bounds.session_s", "6.5" }, { "platform.writes_per_s", "1200" },
        { "platform.reads_per_s", "6000" } };
}

Deployment::Deployment(const DeploymentOptions& options, Record& record)
    : m_options(options)
    , m_record(record)
    , m_pids(options.hosts, 0)
{
    std::string folder = std::filesystem::temp_directory_path() / "review-3-XXXXXX";
    if (!mkdtemp(folder.data()))
        throw std::runtime_error("cannot make a folder");
    m_folder = folder;
    std::mt19937 random(std::random_device {}());
    const std::string net = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) + ".";
    for (std::size_t n = 0; n < options.hosts; ++n)
        m_ips.push_back(net + std::to_string(10 + n));
    std::vector<std::string> all = m_ips;
    for (std::size_t n = 0; n < options.hosts; ++n)
        all.push_back(net + std::to_string(110 + n));
    for (int n = 0; n < 8; ++n)
        all.push_back(net + std::to_string(200 + n));
    m_port = freePorts(all, PORTS);
    for (std::size_t n = 0; n < options.hosts; ++n)
        m_storeAddresses.push_back({ .ip = net + std::to_string(110 + n), .port = m_port });
    m_store = std::make_unique<Store>(m_storeAddresses);
}

Deployment::~Deployment()
{
    for (const pid_t pid : m_pids) {
        if (pid > 0) {
            kill(pid, SIGKILL);
            kill(pid, SIGCONT);
            waitpid(pid, nullptr, 0);
        }
    }
    if (!m_options.keepLogs)
        std::filesystem::remove_all(m_folder);
}

Address Deployment::runnerAddress(std::size_t n) const
{
    const std::string& first = m_ips.front();
    return { .ip = first.substr(0, first.rfind('.') + 1) + std::to_string(200 + n), .port = m_port };
}

std::string Deployment::settingsOf(std::size_t host) const
{
    Settings all = m_options.settings;
    const std::string& ip = m_ips[host];
    const auto at = [&](int offset) { return ip + ":" + std::to_string(m_port + offset); };
    const std::string& zone = m_options.zones[host % m_options.zones.size()];
    all["node_name"] = "edge-" + zone + "-" + std::to_string(host + 1);
    all["role"] = "entry";
    all["machine_class"] = "edge";
    all["serves"] = "edge,directory,control";
    all["ip"] = ip;
    all["zone"] = zone;
    all["region"] = "region-1";
    for (const std::string& it : m_options.zones)
        all["zones." + it] = "region-1";
    all["listen.frontend"] = at(0);
    all["listen.readiness"] = at(1);
    all["listen.directory"] = at(2);
    all["listen.control_plane"] = at(3);
    all["port_range"] = std::to_string(m_port + METRICS_OFFSET + 1) + "," + std::to_string(m_port + PORTS - 1);
    for (std::size_t n = 0; n < std::min<std::size_t>(3, m_ips.size()); ++n)
        all["seeds"] += (n > 0 ? "," : "") + m_ips[n] + ":" + std::to_string(m_port + 3);
    all["bootstrap"] = "true";
    all["fault_counted"] = "false";
    all["platform.address"] = m_storeAddresses[host].text();
    std::string text;
    for (const auto& [name, value] : all)
        text += name + "=" + value + "\n";
    return text;
}

void Deployment::startHost(std::size_t host)
{
    const std::string settings = m_folder + "/node-" + std::to_string(host) + ".conf";
    const std::string log = m_folder + "/host-" + std::to_string(host) + ".log";
    std::ofstream(settings) << settingsOf(host);
    // The deploy file sets a fixed port, which may be taken on the machine that runs the case.
    const std::string metrics = std::to_string(m_port + METRICS_OFFSET);
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(127);
        const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        setenv("FIREFLYHAVEN_NODE_FILE", settings.c_str(), 1);
        setenv("FIREFLYHAVEN_METRICS_PORT", metrics.c_str(), 1);
        execl("target/apps/fireflyhavend", "target/apps/fireflyhavend", static_cast<char*>(nullptr));
        _exit(127);
    }
    m_pids[host] = pid;
    m_record.line("host " + std::to_string(host) + " started at " + frontend(host).text());
}

void Deployment::start()
{
    if (m_options.keepLogs)
        m_record.line("logs in " + m_folder);
    for (std::size_t host = 0; host < m_options.hosts; ++host)
        startHost(host);
}

bool Deployment::isReady(std::size_t host) const
{
    const auto connection = dial(readiness(host), { .timeout = Ms(500) });
    if (!connection)
        return false;
    connection->setReadTimeout(Ms(500));
    connection->write("GET /fireflyhaven/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const auto answer = connection->readHead();
    return answer && answer->status() == 200;
}

bool Deployment::awaitReady(Ms timeout)
{
    const auto end = Clock::now() + timeout;
    for (std::size_t host = 0; host < m_options.hosts;) {
        if (isReady(host)) {
            ++host;
            continue;
        }
        if (Clock::now() > end || !isRunning(host))
            return false;
        std::this_thread::sleep_for(Ms(50));
    }
    return true;
}

void Deployment::signal(std::size_t host, int number)
{
    m_record.line("host " + std::to_string(host) + " gets signal " + std::to_string(number));
    if (m_pids[host] > 0)
        kill(m_pids[host], number);
}

bool Deployment::isRunning(std::size_t host)
{
    if (m_pids[host] > 0 && waitpid(m_pids[host], nullptr, WNOHANG) == m_pids[host]) {
        m_record.line("host " + std::to_string(host) + " has ended");
        m_pids[host] = 0;
    }
    return m_pids[host] > 0;
}

long Deployment::residentKb(std::size_t host) const
{
    std::ifstream in("/proc/" + std::to_string(m_pids[host]) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("VmRSS:"))
            return std::atol(line.c_str() + 6);
    }
    return 0;
}

Runner::Runner(Store& store, RunnerOptions options, Work work)
    : m_store(store)
    , m_options(std::move(options))
    , m_work(std::move(work))
    , m_born(unixMs())
{
    m_server = std::make_unique<Server>(
        m_options.address, [this](Message& request, Connection& connection) { return serve(request, connection); });
    m_beat = std::thread([this] { beat(); });
}

Runner::~Runner() { stop(); }

void Runner::stop()
{
    m_server->stop();
    if (!m_stopped.exchange(true))
        m_beat.join();
}

void Runner::crash()
{
    {
        const std::lock_guard lock(m_mutex);
        m_registered = false;
    }
    m_server->stop();
}

void Runner::restart()
{
    m_server = std::make_unique<Server>(
        m_options.address, [this](Message& request, Connection& connection) { return serve(request, connection); });
    const std::lock_guard lock(m_mutex);
    m_born = unixMs();
    m_sequence = 0;
    m_registered = true;
    writeEntry();
}

void Runner::beat()
{
    for (int n = 0; !m_stopped; ++n) {
        if (n % (HEARTBEAT_MS / 50) == 0) {
            const std::lock_guard lock(m_mutex);
            if (m_registered)
                writeEntry();
        }
        std::this_thread::sleep_for(Ms(50));
    }
}

void Runner::writeEntry()
{
    const nlohmann::json entry { { "service", m_options.service }, { "address", m_options.address.text() },
        { "zone", m_options.zone }, { "version", "v1" }, { "batch_slots", m_options.slots }, { "phase", m_phase },
        { "warmup_left_ms", 0 }, { "stage", "both" }, { "sequence", ++m_sequence }, { "born", m_born } };
    m_store.put("keyed.servers", m_options.id, entry.dump());
}

void Runner::drain()
{
    const std::lock_guard lock(m_mutex);
    m_phase = "draining";
    writeEntry();
}

void Runner::unregister()
{
    const std::lock_guard lock(m_mutex);
    m_registered = false;
    m_store.put("keyed.servers", m_options.id, "");
}

std::string Runner::answerHeaders(const Message& request) const
{
    return "X-Attempt-Id: " + request.header("x-attempt-id") + "\r\nX-Server-Seal: seal-" + m_options.id + "-"
        + request.header("x-attempt-id") + "\r\nX-Instance-Id: " + m_options.id + "\r\n";
}

bool Runner::serve(Message& request, Connection& connection)
{
    if (request.path() == "/healthz")
        return connection.write(response(200, "X-Instance-Id: " + m_options.id + "\r\n", ""));
    if (request.header("x-expect-instance") != m_options.id && !request.header("x-expect-instance").empty())
        return connection.write(response(421, "X-Instance-Id: " + m_options.id + "\r\n", ""));
    return m_work(request, connection);
}

nlohmann::json configuration(
    int version, const nlohmann::json& routes, const nlohmann::json& services, const nlohmann::json& tenants)
{
    return { { "version", version }, { "routes", routes }, { "services", services },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } },
        { "tenants", tenants } };
}

std::string attemptId(int n)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "a%015x", static_cast<unsigned>(n));
    return buf;
}

}
