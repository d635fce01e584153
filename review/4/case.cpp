#include "../standins/scenario.h"

// Most machines of a zone are cut off from all runners and hand their requests to the one that is left there, which
// freezes meanwhile.
using namespace review;

namespace {

constexpr std::size_t HOSTS = 8;
constexpr std::size_t ZONES = 3;
// Machines of the first zone: two are cut off, one freezes.
constexpr std::size_t CUT_OFF[] { 0, 6 };
constexpr std::size_t FROZEN = 3;
constexpr int TIMEOUT_MS = 800;
constexpr Milliseconds DEADLINE { 1500 };
constexpr Milliseconds SLACK { 500 };
constexpr Milliseconds INTERVAL { 150 };
constexpr Milliseconds FREEZE_AT { 1000 };
constexpr Milliseconds CUT_AT { 1200 };
constexpr Milliseconds CUT_UNTIL { 3000 };
constexpr Milliseconds FREEZE_TIME { 3500 };
constexpr Milliseconds END { 6000 };
const std::string CUT_PREFIX = "cut";

struct Sent {
    std::string attempt;
    std::size_t host = 0;
    Answer answer;
};

// Sends requests one after the other to a host until the end, and records them.
class Caller {
public:
    Caller(Scenario& scenario, std::size_t host, std::string service, std::string method, Clock::time_point end)
        : m_scenario(scenario)
        , m_host(host)
        , m_service(std::move(service))
        , m_method(std::move(method))
        , m_prefix(
              (std::find(std::begin(CUT_OFF), std::end(CUT_OFF), host) != std::end(CUT_OFF) ? CUT_PREFIX : "ok") + "-")
        , m_thread([this, end] { run(end); })
    {
    }
    ~Caller() { m_thread.join(); }

    static std::vector<Sent> takeAll()
    {
        const std::lock_guard lock(s_mutex);
        return s_sent;
    }

private:
    void run(Clock::time_point end)
    {
        std::vector<std::thread> open;
        for (auto next = Clock::now(); next < end; next += INTERVAL) {
            std::this_thread::sleep_until(next);
            // Orders don't wait for each other; lookups do, so that they need one connection.
            if (m_method == "POST")
                open.emplace_back([this] { sendOne(); });
            else
                sendOne();
        }
        for (std::thread& it : open)
            it.join();
    }

    void sendOne()
    {
        const std::string attempt = m_scenario.nextAttempt(m_prefix);
        const Host& host = m_scenario.host(m_host);
        m_scenario.record.line("sent     %s to %s", attempt.c_str(), host.name().c_str());
        const Answer answer = send(host.frontend(),
            { .method = m_method,
                .target = "/" + m_service + "/x",
                .host = HOST_NAME,
                .attempt = attempt,
                .deadline = DEADLINE,
                .body = m_method == "POST" ? "order" : "" });
        m_scenario.record.line("answered %s %d %s by %s after %ld ms", attempt.c_str(), answer.status,
            answer.complete       ? "complete"
                : answer.timedOut ? "client's deadline"
                                  : "connection closed",
            host.name().c_str(), static_cast<long>(elapsed(answer.sentAt, answer.endedAt).count()));
        const std::lock_guard lock(s_mutex);
        s_sent.push_back({ attempt, m_host, answer });
    }

    Scenario& m_scenario;
    const std::size_t m_host;
    const std::string m_service;
    const std::string m_method;
    const std::string m_prefix;
    std::thread m_thread;
    static inline std::mutex s_mutex;
    static inline std::vector<Sent> s_sent;
};

}

int main(int argc, char** argv)
{
    return runCase(argc, argv, [](Scenario& it) {
        it.addRoute({ .service = "orders",
            .type = "non_idempotent",
            .timeoutMs = TIMEOUT_MS,
            .maxAttempts = 1,
            .anonymous = true });
        it.addRoute({ .service = "lookups", .timeoutMs = TIMEOUT_MS, .anonymous = true });
        it.runnerKeepAlive = 60;
        it.startRunners("orders", 3, Work {}, 12);
        it.startRunners("lookups", 3, Work {}, 12);
        it.configure(10, { "key" });
        it.startHosts(HOSTS);
        it.waitUntilReady(Milliseconds(20000));
        it.pause(Milliseconds(4000));

        const auto begin = Clock::now();
        {
            std::list<Caller> callers;
            for (const std::size_t host : CUT_OFF)
                callers.emplace_back(it, host, "orders", "POST", begin + END);
            for (std::size_t host = 0; host < HOSTS; ++host) {
                if (host % ZONES != FROZEN % ZONES)
                    callers.emplace_back(it, host, "lookups", "GET", begin + END);
            }
            std::this_thread::sleep_until(begin + FREEZE_AT);
            if (it.trouble) {
                it.record.line("freeze   %s", it.host(FROZEN).name().c_str());
                it.host(FROZEN).signal(SIGSTOP);
            }
            std::this_thread::sleep_until(begin + CUT_AT);
            if (it.trouble) {
                it.record.line("cut      %s and %s from all runners", it.host(CUT_OFF[0]).name().c_str(),
                    it.host(CUT_OFF[1]).name().c_str());
                it.cutOff(CUT_PREFIX);
            }
            std::this_thread::sleep_until(begin + CUT_UNTIL);
            if (it.trouble) {
                it.record.line("cut      is over");
                it.endCut();
            }
            std::this_thread::sleep_until(begin + FREEZE_AT + FREEZE_TIME);
            if (it.trouble) {
                it.host(FROZEN).signal(SIGCONT);
                it.record.line("freeze   is over");
            }
        }
        int late = 0;
        int unanswered = 0;
        int served = 0;
        int ranAfterwards = 0;
        for (const Sent& s : Caller::takeAll()) {
            const auto open = elapsed(s.answer.sentAt, s.answer.endedAt);
            served += s.answer.complete && s.answer.status == 200 ? 1 : 0;
            if (open <= Milliseconds(TIMEOUT_MS))
                continue;
            ++late;
            if (s.answer.complete && open <= Milliseconds(TIMEOUT_MS) + SLACK)
                continue;
            ++unanswered;
            it.record.line("open     %s had no answer %d ms after it was sent to %s", s.attempt.c_str(),
                TIMEOUT_MS + static_cast<int>(SLACK.count()), it.host(s.host).name().c_str());
            for (const Run& run : it.runs.of(s.attempt)) {
                const auto left = elapsed(s.answer.endedAt, run.begunAt);
                ranAfterwards += left > Milliseconds(500) ? 1 : 0;
                it.record.line("open     %s ran at %s, %ld ms after its client had left", s.attempt.c_str(),
                    run.runner.c_str(), static_cast<long>(left.count()));
            }
        }
        constexpr int MOST_UNANSWERED = 7;
        it.record.line(
            "result   %d requests lasted longer than %d ms; %d of them had no answer 0.5 s later, %d of these "
            "ran over 0.5 s after their clients had left; %d were served",
            late, TIMEOUT_MS, unanswered, ranAfterwards, served);
        if (served < 50)
            return Verdict::NotRun;
        return unanswered > MOST_UNANSWERED && 4 * unanswered > late ? Verdict::Broken : Verdict::Held;
    });
}
