#include "hostprocess.h"

#include "fireflyhaven/http/types/status.h"

#include <absl/strings/escaping.h>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <fstream>
#include <sstream>

namespace fireflyhaven::test {

namespace {

using http::Endpoint;
using http::Exchange;
using nlohmann::json;

constexpr std::uint16_t FIRST_PEER_PORT = 20'000;
// Pause before a request is asked again, and the number of tries.
constexpr std::chrono::milliseconds RETRY_PAUSE { 100 };
constexpr int MAX_TRIES = 200;
// A host that takes nothing for this long has stopped reading.
constexpr timeval SEND_TIMEOUT { .tv_sec = 2, .tv_usec = 0 };

json configuration()
{
    const json route { { "name", "order" }, { "host", "h" }, { "path_prefix", "/order/" }, { "type", "idempotent" },
        { "timeout_ms", 10'000 }, { "max_attempts", 2 }, { "anonymous", false }, { "service", "s" } };
    return { { "version", 1 }, { "routes", json::array({ route }) },
        { "services", { { { "name", "s" }, { "max_connections", 50 } } } },
        { "limits",
            { { "max_header_bytes", MAX_HEADER_BYTES }, { "max_body_bytes", MAX_BODY_BYTES },
                { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15'000 } } },
        { "tenants", { { { "name", "w" }, { "api_keys", { "secret" } } } } } };
}

json registration(const Endpoint& upstream)
{
    return { { "service", "s" }, { "address", upstream.text() }, { "zone", "a" }, { "version", "v1" },
        { "batch_slots", 8 }, { "phase", "ready" }, { "warmup_left_ms", 0 }, { "sequence", 1 }, { "born", 1 } };
}

void answerJson(Exchange& exchange, const json& document)
{
    http::ResponseHead head { .status = STATUS_OK };
    head.headers.add("Content-Type", "application/json");
    exchange.sendResponse(head, document.dump());
}

std::unique_ptr<http::EventServer> listenOn(
    http::test::EventLoop& loop, const Endpoint& address, http::ExchangeHandler handler)
{
    std::unique_ptr<http::EventServer> server;
    handleFailure(
        [&]() -> Result<int> {
            http::EventServerOptions options { .listen = address };
            // Takes whatever the host passes on.
            options.limits.maxBodyBytes = 2 * MAX_BODY_BYTES;
            BOOST_LEAF_ASSIGN(server, http::EventServer::start(loop.io(), loop.clock(), options, std::move(handler)));
            return 0;
        },
        [](const Failure& failure) {
            cr_assert(false, "%s", failure.message.c_str());
            return 1;
        });
    return server;
}

std::size_t statusFigure(pid_t pid, const std::string& name)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name + ":"))
            return std::stoul(line.substr(name.size() + 1)) * 1024;
    }
    return 0;
}

// Bytes that have arrived at the address and that no process has read, of all connections.
std::size_t unreadBytesAt(const Endpoint& address)
{
    in_addr ip {};
    inet_pton(AF_INET, address.ip.c_str(), &ip);
    std::array<char, 16> local {};
    std::snprintf(local.data(), local.size(), "%08X:%04X", ip.s_addr, address.port);
    std::size_t unread = 0;
    std::ifstream connections("/proc/net/tcp");
    for (std::string line; std::getline(connections, line);) {
        std::istringstream fields(line);
        std::string number;
        std::string localAddress;
        std::string remoteAddress;
        std::string state;
        std::string queues;
        fields >> number >> localAddress >> remoteAddress >> state >> queues;
        if (localAddress == local.data())
            unread += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
    return unread;
}

int connectTo(const Endpoint& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &SEND_TIMEOUT, sizeof SEND_TIMEOUT);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &SEND_TIMEOUT, sizeof SEND_TIMEOUT);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0)
        return fd;
    ::close(fd);
    return -1;
}

bool sendAll(int fd, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::string receiveAll(int fd)
{
    std::string received;
    std::array<char, 4096> buf {};
    for (auto n = ::recv(fd, buf.data(), buf.size(), 0); n > 0; n = ::recv(fd, buf.data(), buf.size(), 0))
        received.append(buf.data(), static_cast<std::size_t>(n));
    return received;
}

}

std::string requestHead(const std::string& method, const std::string& target, const std::string& key)
{
    static int last = 0;
    return method + " " + target + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: attempt-" + std::to_string(++last)
        + "\r\nX-Deadline-Ms: 10000\r\nAuthorization: Token " + key + "\r\n";
}

StoreStandIn::StoreStandIn(http::test::EventLoop& loop, const Endpoint& address, const Endpoint& upstream)
    : m_loop(loop)
    , m_upstream(upstream)
    , m_server(listenOn(loop, address, [this](auto exchange) { serve(std::move(exchange)); }))
{
}

void StoreStandIn::serve(std::shared_ptr<Exchange> exchange)
{
    const std::string& target = exchange->head().target;
    const std::string_view path = http::pathOf(target);
    if (path == "/fireflyhaven/log-newest")
        return serveNewest(*exchange, http::queryParameter(target, "topic").value_or(""));
    if (path == "/fireflyhaven/log-read")
        return serveRecords(exchange);
    if (path == "/fireflyhaven/log-append")
        return answerJson(*exchange, { { "offset", 0 }, { "end_offset", 1 } });
    exchange->sendResponse({ .status = STATUS_NOT_FOUND }, {});
}

void StoreStandIn::serveNewest(Exchange& exchange, const std::string& topic)
{
    json entries = json::array();
    const auto add = [&](const std::string& key, const json& value) {
        entries.push_back({ { "key", key }, { "value", absl::Base64Escape(value.dump()) }, { "offset", 0 } });
    };
    if (topic == "keyed.op")
        add("config", configuration());
    if (topic == "keyed.servers")
        add("u-1", registration(m_upstream));
    answerJson(exchange, { { "entries", entries }, { "has_more", false }, { "end_offset", 1 } });
}

// There are no records behind the snapshot.
void StoreStandIn::serveRecords(const std::shared_ptr<Exchange>& exchange)
{
    const auto wait = std::stol(http::queryParameter(exchange->head().target, "wait_ms").value_or("0"));
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop.io());
    timer->expires_after(std::chrono::milliseconds(std::max(wait, 10L)));
    timer->async_wait([exchange, timer](boost::system::error_code) {
        std::string ends(16, '\0');
        ends[7] = 1;
        exchange->sendResponse({ .status = STATUS_OK }, ends);
    });
}

HostProcess::HostProcess()
    : m_listeners(m_loop.freeEndpoints<3>(http::test::uniqueLoopbackIp(11)))
    , m_store(m_loop.freeEndpoint(http::test::uniqueLoopbackIp(2)))
    , m_upstream(m_loop.freeEndpoint(http::test::uniqueLoopbackIp(3)))
{
    std::string folder = (std::filesystem::temp_directory_path() / "strangers-").string() + std::string(6, 'X');
    cr_assert(mkdtemp(folder.data()));
    m_folder = folder;
    startStandIns();
    startProcess();
    cr_assert(answersOrdinaryRequest(), "the host does not serve");
}

HostProcess::~HostProcess()
{
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_loop.io().stop();
    m_thread.join();
    std::filesystem::remove_all(m_folder);
}

void HostProcess::startStandIns()
{
    m_storeStandIn = std::make_unique<StoreStandIn>(m_loop, m_store, m_upstream);
    m_upstreamServer = listenOn(m_loop, m_upstream, [this](const std::shared_ptr<Exchange>& exchange) {
        if (exchange->head().target == "/order/held")
            return m_heldExchanges.push_back(exchange);
        http::ResponseHead head { .status = STATUS_OK };
        head.headers.add("X-Server-Seal", "seal");
        if (const std::string* attempt = exchange->head().headers.find("X-Attempt-Id"))
            head.headers.add("X-Attempt-Id", *attempt);
        exchange->sendResponse(head, "order taken");
    });
    m_thread = std::thread([this] { m_loop.io().run(); });
}

std::string HostProcess::settings() const
{
    const auto& [frontend, readiness, directory] = m_listeners;
    const std::string& ip = frontend.ip;
    return "node_name=edge-1\nrole=entry\nmachine_class=edge\nserves=edge,directory,control\nip=" + ip
        + "\nzone=a\nregion=r\nzones.a=r\nlisten.frontend=" + frontend.text() + "\nlisten.readiness=" + readiness.text()
        + "\nlisten.directory=" + directory.text() + "\nport_range=" + std::to_string(FIRST_PEER_PORT) + ","
        + std::to_string(FIRST_PEER_PORT + 15)
        + "\nbootstrap=true\nlimits.cpu_fraction=0.25\nlimits.cpu_cores=1\nlimits.memory_mb="
        + std::to_string(MEMORY_MB) + "\nlimits.max_fds=" + std::to_string(MAX_DESCRIPTORS)
        + "\nheartbeat_ms=1200\nbounds.contact_ms=3000\nbounds.config_apply_ms=2000\nbounds.drain_ms=2000\n"
          "bounds.evacuate_ms=5000\nbounds.strict_revocation=true\nbounds.revoke_ms=5000\nbounds.grace_s=8\n"
          "platform.address="
        + m_store.text() + "\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n";
}

void HostProcess::startProcess()
{
    const std::string file = (m_folder / "node.conf").string();
    std::ofstream(file) << settings();
    const std::string variable = "FIREFLYHAVEN_NODE_FILE=" + file;
    const std::string log = (m_folder / "host.log").string();
    m_pid = fork();
    if (m_pid != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    const std::array<const char*, 2> arguments { DAEMON, nullptr };
    const std::array<const char*, 2> environment { variable.c_str(), nullptr };
    execve(DAEMON, const_cast<char**>(arguments.data()), const_cast<char**>(environment.data()));
    _exit(127);
}

bool HostProcess::isRunning() { return waitpid(m_pid, nullptr, WNOHANG) == 0; }

std::size_t HostProcess::peakMemoryBytes() const { return statusFigure(m_pid, "VmHWM"); }

std::size_t HostProcess::openDescriptors() const
{
    std::error_code ec;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(m_pid) + "/fd", ec);
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

void HostProcess::awaitRead() const
{
    constexpr std::chrono::milliseconds INTERVAL { 50 };
    constexpr int MAX_UNCHANGED = 20;
    std::size_t last = 0;
    for (int unchanged = 0; unchanged < MAX_UNCHANGED; std::this_thread::sleep_for(INTERVAL)) {
        const std::size_t unread = unreadBytesAt(frontend()) + unreadBytesAt(directory());
        unchanged = std::exchange(last, unread) == unread ? unchanged + 1 : 0;
    }
}

bool HostProcess::answersOrdinaryRequest() const
{
    for (int n = 0; n < MAX_TRIES; ++n) {
        const int fd = connectTo(frontend());
        const bool sent = fd >= 0
            && sendAll(fd, requestHead("POST", "/order/x") + "Connection: close\r\nContent-Length: 5\r\n\r\norder");
        const std::string answer = sent ? receiveAll(fd) : "";
        if (fd >= 0)
            ::close(fd);
        if (answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("order taken"))
            return true;
        std::this_thread::sleep_for(RETRY_PAUSE);
    }
    return false;
}

Stranger::Stranger(const Endpoint& address)
    : m_socket(connectTo(address))
{
}

Stranger::~Stranger()
{
    if (m_socket >= 0)
        ::close(m_socket);
}

bool Stranger::send(const std::string& bytes) { return m_socket >= 0 && sendAll(m_socket, bytes); }

void Stranger::sendRepeatedly(const std::string& block, std::size_t bytes)
{
    for (std::size_t sent = 0; sent < bytes && send(block);)
        sent += block.size();
}

}
