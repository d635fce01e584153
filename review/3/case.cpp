#include "../standins/scenario.h"

// A zone is emptied, so that requests wait for a runner, and one of the machines is stopped with SIGTERM meanwhile.
using namespace review;

namespace {

constexpr std::size_t HOSTS = 3;
constexpr int SLOTS = 4;
constexpr int RUNNER_QUEUE = 4;
// A stream takes 6 s, so that three runners bear two requests a second.
constexpr Work STREAM { .events = 12, .time = Milliseconds(500) };
// Nine tenths of what three runners bear.
constexpr Milliseconds ARRIVAL_INTERVAL { 555 };
constexpr Milliseconds DEADLINE { 20000 };
constexpr Milliseconds LOSS_SLACK { 200 };
constexpr Milliseconds GRACE { 8000 };

struct Sent {
    std::string attempt;
    std::size_t host = 0;
    Answer answer;
};

}

int main(int argc, char** argv)
{
    return runCase(argc, argv, [](Scenario& it) {
        it.addRoute({ .service = "llm",
            .type = "streaming",
            .timeoutMs = static_cast<int>(DEADLINE.count()),
            .maxAttempts = 1,
            .anonymous = true });
        it.startRunners("llm", 3, STREAM, SLOTS, RUNNER_QUEUE);
        it.configure(10, { "key" });
        it.startHosts(HOSTS);
        it.waitUntilReady(Milliseconds(20000));
        it.pause(Milliseconds(3000));

        std::mutex mutex;
        std::vector<Sent> sent;
        std::vector<std::thread> clients;
        const auto begin = Clock::now();
        const auto evacuateAt = begin + Milliseconds(4000);
        const auto stopAt = begin + Milliseconds(34000);
        const auto end = stopAt + GRACE + Milliseconds(1000);
        bool evacuated = false;
        bool stopped = false;
        for (std::size_t n = 0; Clock::now() < end; ++n) {
            if (!evacuated && Clock::now() > evacuateAt) {
                evacuated = true;
                it.record.line("operator empties zone-c");
                it.store->write("keyed.op", "evacuate/zone-c", R"({"zone":"zone-c"})");
            }
            if (it.trouble && !stopped && Clock::now() > stopAt) {
                stopped = true;
                it.record.line("SIGTERM  to %s", it.host(0).name().c_str());
                it.host(0).signal(SIGTERM);
            }
            // From the SIGTERM on, the clients use the other machines only.
            const std::size_t host = stopped ? 1 + n % (HOSTS - 1) : n % HOSTS;
            clients.emplace_back([&, host, attempt = it.nextAttempt()] {
                it.record.line("sent     %s to %s", attempt.c_str(), it.host(host).name().c_str());
                const Answer answer = send(it.host(host).frontend(),
                    { .method = "POST",
                        .target = "/llm/x",
                        .host = HOST_NAME,
                        .attempt = attempt,
                        .deadline = DEADLINE,
                        .body = "prompt" });
                it.record.line("answered %s %d %s by %s after %ld ms", attempt.c_str(), answer.status,
                    answer.complete       ? "complete"
                        : answer.timedOut ? "client's deadline"
                                          : "connection closed",
                    it.host(host).name().c_str(), static_cast<long>(elapsed(answer.sentAt, answer.endedAt).count()));
                const std::lock_guard lock(mutex);
                sent.push_back({ attempt, host, answer });
            });
            it.pause(ARRIVAL_INTERVAL);
        }
        const auto exit = stopped ? it.host(0).waitForEnd(Milliseconds(3000)) : std::nullopt;
        if (stopped)
            it.record.line("process  of %s has %s", it.host(0).name().c_str(), exit ? "ended" : "not ended");
        for (std::thread& client : clients)
            client.join();

        int lost = 0;
        int complete = 0;
        int waited = 0;
        for (const Sent& s : sent) {
            complete += s.answer.complete && s.answer.status == 200 ? 1 : 0;
            const auto runs = it.runs.of(s.attempt);
            waited += !runs.empty() && runs.front().begunAt > s.answer.sentAt + Milliseconds(1000) ? 1 : 0;
            const auto open = elapsed(s.answer.sentAt, s.answer.endedAt);
            // Requests that had reached a runner aren't counted here: the rule excuses those on which it still works.
            const bool passedOn = it.runs.hasArrived(s.attempt);
            if (!s.answer.sent || s.answer.complete || s.answer.timedOut || passedOn || open < LOSS_SLACK)
                continue;
            ++lost;
            it.record.line(
                "lost     %s: it had reached no runner, its connection was closed without an answer after %ld ms",
                s.attempt.c_str(), static_cast<long>(open.count()));
        }
        it.record.line("result   %d requests lost that had reached no runner; of all %zu, %d were answered whole, %d "
                       "had waited over 1 s",
            lost, sent.size(), complete, waited);
        return complete < 20 ? Verdict::NotRun : lost > 0 ? Verdict::Broken : Verdict::Held;
    });
}
