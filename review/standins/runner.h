#pragma once

#include "record.h"
#include "store.h"

namespace review {

// What a runner does with one request.
struct Work {
    // Events of a stream; 0 for a plain answer.
    int events = 0;
    // Time before the answer, or before each event.
    Milliseconds time { 30 };
    // So long after a whole plain answer, the runner sends bytes that are no answer; earlier if a request comes.
    std::optional<Milliseconds> bytesAfter;
};

struct RunnerOptions {
    std::string id;
    std::string service;
    std::string zone;
    Endpoint at;
    int slots = 6;
    // Requests that wait for a slot; further ones are rejected.
    int queue = 24;
    std::string version = "1";
    Milliseconds heartbeat { 1200 };
    // Seconds after which an idle connection is closed, as the answers say; 0 to say nothing.
    int keepAlive = 0;
};

struct Run {
    std::string attempt;
    std::string runner;
    Clock::time_point begunAt;
    Clock::time_point arrivedAt;
    std::string tenant;
};

// What reached all runners of a case, and what they ran.
class Runs {
public:
    void onArrival(const std::string& attempt)
    {
        const std::lock_guard lock(m_mutex);
        m_arrived.insert(attempt);
    }
    bool hasArrived(const std::string& attempt) const
    {
        const std::lock_guard lock(m_mutex);
        return m_arrived.contains(attempt);
    }
    void add(const Run& run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(run);
    }
    std::vector<Run> of(const std::string& attempt) const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<Run> found;
        std::copy_if(m_runs.begin(), m_runs.end(), std::back_inserter(found),
            [&](const Run& it) { return it.attempt == attempt; });
        return found;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::set<std::string> m_arrived;
};

// Stand-in for a runner: registers itself in the store, and serves plain requests and streams of events.
class Runner {
public:
    using WorkOf = std::function<Work(const Message&)>;

    Runner(RunnerOptions options, Store& store, Runs& runs, Record& record, WorkOf workOf)
        : m_options(std::move(options))
        , m_store(store)
        , m_runs(runs)
        , m_record(record)
        , m_workOf(std::move(workOf))
        , m_server(
              m_options.at, [this](Connection& connection, Message& request) { return serve(connection, request); })
        , m_heartbeat([this] { beat(); })
    {
    }
    Runner(const Runner&) = delete;
    Runner& operator=(const Runner&) = delete;
    ~Runner()
    {
        m_stopped = true;
        m_changed.notify_all();
        m_heartbeat.join();
    }

    // Cuts off the callers of the requests whose ids begin with the prefix: their connections are reset, and new
    // connections are refused. The connections of other callers go on.
    void cutOff(const std::string& prefix)
    {
        m_server.setRefusing(true);
        m_server.resetConnections(prefix);
    }
    void endCut() { m_server.setRefusing(false); }

    // Writes its entry in the store at once.
    void registerNow()
    {
        const nlohmann::json entry { { "service", m_options.service }, { "address", m_options.at.text() },
            { "zone", m_options.zone }, { "version", m_options.version }, { "batch_slots", m_options.slots },
            { "phase", "ready" }, { "warmup_left_ms", 0 }, { "sequence", ++m_sequence }, { "born", m_born } };
        m_store.write("keyed.servers", m_options.id, entry.dump());
    }

private:
    void beat()
    {
        auto next = Clock::now();
        while (!m_stopped) {
            registerNow();
            next += m_options.heartbeat;
            std::unique_lock lock(m_mutex);
            m_changed.wait_until(lock, next, [this] { return m_stopped.load(); });
        }
    }

    std::string answerHeaders(const Message& request) const
    {
        return "X-Attempt-Id: " + request.header("x-attempt-id") + "\r\nX-Instance-Id: " + m_options.id
            + "\r\nX-Instance-Load: " + std::to_string(m_running) + "," + std::to_string(m_waiting) + ","
            + std::to_string(m_options.slots) + "\r\n"
            + (m_options.keepAlive > 0 ? "Keep-Alive: timeout=" + std::to_string(m_options.keepAlive) + "\r\n" : "");
    }

    bool serve(Connection& connection, const Message& request)
    {
        if (request.path() == "/healthz")
            return connection.write(plainAnswer(200, answerHeaders(request), ""));
        const std::string attempt = request.header("x-attempt-id");
        connection.setLabel(attempt.substr(0, attempt.find('-')));
        const std::string expected = request.header("x-expect-instance");
        if (!expected.empty() && expected != m_options.id)
            return connection.write(plainAnswer(421, answerHeaders(request), ""));
        if (attempt.empty())
            return connection.write(plainAnswer(400, answerHeaders(request) + "X-Not-Executed: 1\r\n", ""));
        const auto arrivedAt = Clock::now();
        m_runs.onArrival(attempt);
        m_record.line("arrives  %s at %s", attempt.c_str(), m_options.id.c_str());
        const auto deadline = Clock::now() + Milliseconds(std::stol("0" + request.header("x-deadline-ms")));
        switch (takeSlot(connection, deadline)) {
        case Slot::Full:
            return connection.write(plainAnswer(503, answerHeaders(request) + "X-Not-Executed: 1\r\n", ""));
        case Slot::CallerGone:
            return false;
        case Slot::Taken:
            break;
        }
        m_runs.add({ .attempt = attempt,
            .runner = m_options.id,
            .begunAt = Clock::now(),
            .arrivedAt = arrivedAt,
            .tenant = request.header("x-tenant") });
        m_record.line("run      %s begins at %s, tenant %s", attempt.c_str(), m_options.id.c_str(),
            request.header("x-tenant").c_str());
        const bool goesOn = run(connection, request, deadline);
        m_record.line("run      %s ends at %s%s", attempt.c_str(), m_options.id.c_str(), goesOn ? "" : ", cut off");
        {
            const std::lock_guard lock(m_mutex);
            --m_running;
        }
        m_changed.notify_all();
        return goesOn;
    }

    enum class Slot { Taken, Full, CallerGone };

    Slot takeSlot(Connection& connection, Clock::time_point deadline)
    {
        constexpr Milliseconds CHECK_INTERVAL { 50 };
        std::unique_lock lock(m_mutex);
        if (m_running >= m_options.slots && m_waiting >= m_options.queue)
            return Slot::Full;
        ++m_waiting;
        bool callerGone = false;
        while (m_running >= m_options.slots && !m_stopped && Clock::now() < deadline && !callerGone) {
            m_changed.wait_for(lock, CHECK_INTERVAL);
            callerGone = connection.isClosedByPeer();
        }
        --m_waiting;
        if (m_stopped || callerGone)
            return Slot::CallerGone;
        if (m_running >= m_options.slots)
            return Slot::Full;
        ++m_running;
        return Slot::Taken;
    }

    // Waits; returns false when the caller has gone or the case ends.
    bool work(Connection& connection, Milliseconds time)
    {
        constexpr Milliseconds CHECK_INTERVAL { 20 };
        const auto end = Clock::now() + time;
        while (Clock::now() < end) {
            if (m_stopped || connection.isClosedByPeer())
                return false;
            std::this_thread::sleep_for(std::min(CHECK_INTERVAL, elapsed(Clock::now(), end) + Milliseconds(1)));
        }
        return true;
    }

    bool run(Connection& connection, const Message& request, Clock::time_point deadline)
    {
        const Work it = m_workOf(request);
        const std::string seal = "X-Server-Seal: " + m_options.id + "." + request.header("x-attempt-id") + "\r\n";
        if (it.events == 0) {
            if (!work(connection, std::min(it.time, elapsed(Clock::now(), deadline))))
                return false;
            const int status = Clock::now() >= deadline ? 504 : 200;
            if (!connection.write(plainAnswer(status, answerHeaders(request) + seal, "done\n")))
                return false;
            if (it.bytesAfter)
                sendBytesAfter(connection, *it.bytesAfter, request.header("x-attempt-id"));
            return true;
        }
        const int first = std::atoi(request.header("last-event-id").c_str()) + 1;
        if (!connection.write("HTTP/1.1 200 OK\r\n" + answerHeaders(request) + seal
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int n = first; n <= it.events; ++n) {
            if (!work(connection, it.time) || Clock::now() >= deadline)
                return false;
            const std::string event = "id: " + std::to_string(n) + "\ndata: piece\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (!connection.write(size + event + "\r\n"))
                return false;
        }
        return connection.write("0\r\n\r\n");
    }

    void sendBytesAfter(const Connection& connection, Milliseconds time, const std::string& attempt)
    {
        pollfd it { .fd = connection.fd(), .events = POLLIN, .revents = 0 };
        ::poll(&it, 1, static_cast<int>(time.count()));
        constexpr std::string_view BYTES = "\x01\x02 no answer \x03\x04\r\n\r\n";
        ::send(connection.fd(), BYTES.data(), BYTES.size(), MSG_NOSIGNAL);
        m_record.line(
            "bytes    that are no answer follow the answer to %s at %s", attempt.c_str(), m_options.id.c_str());
    }

    const RunnerOptions m_options;
    Store& m_store;
    Runs& m_runs;
    Record& m_record;
    const WorkOf m_workOf;
    const std::int64_t m_born
        = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::atomic<int> m_sequence = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<int> m_running = 0;
    std::atomic<int> m_waiting = 0;
    std::atomic<bool> m_stopped = false;
    Server m_server;
    std::thread m_heartbeat;
};

}
