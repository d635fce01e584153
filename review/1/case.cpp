#include "../standins/scenario.h"

// A machine freezes for a second and a half, and meanwhile a runner sends bytes after a whole answer.
using namespace review;

namespace {

constexpr std::size_t HOSTS = 9;
constexpr Milliseconds DEADLINE { 2500 };
constexpr int FREEZES = 6;
constexpr Milliseconds FREEZE { 1500 };
// Requests before each freeze, so that few answers are followed by further bytes.
constexpr int REQUESTS_BETWEEN = 40;
// Time after the beginning of a freeze.
constexpr Milliseconds REQUEST_AFTER { 200 };
// Time after the last answer before the freeze.
constexpr Milliseconds BYTES_AFTER { 800 };

}

int main(int argc, char** argv)
{
    return runCase(argc, argv, [](Scenario& it) {
        std::mutex mutex;
        // Requests after whose answers the runner sends further bytes.
        std::set<std::string> spoiled;
        it.addRoute({ .service = "app",
            .type = "non_idempotent",
            .timeoutMs = static_cast<int>(DEADLINE.count()),
            .maxAttempts = 2 });
        it.startRunners("app", 3, [&](const std::string&, const Message& request) {
            const std::lock_guard lock(mutex);
            Work work { .time = Milliseconds(30) };
            if (spoiled.contains(request.header("x-attempt-id")))
                work.bytesAfter = BYTES_AFTER;
            return work;
        });
        it.configure(10, { "key" });
        it.startHosts(HOSTS);
        it.waitUntilReady(Milliseconds(20000));
        it.pause(Milliseconds(3000));

        std::vector<std::string> sent;
        int served = 0;
        const auto order = [&](Connection& connection, std::size_t host, const std::string& attempt) {
            it.record.line("sent     %s to %s", attempt.c_str(), it.host(host).name().c_str());
            const Answer answer = sendOn(connection,
                { .method = "POST",
                    .target = "/app/x",
                    .host = HOST_NAME,
                    .attempt = attempt,
                    .key = "key",
                    .deadline = DEADLINE,
                    .body = "order" });
            it.record.line("answered %s %d by %s", attempt.c_str(), answer.status, it.host(host).name().c_str());
            const std::lock_guard lock(mutex);
            sent.push_back(attempt);
            served += answer.status == 200 ? 1 : 0;
            return answer.status != 0;
        };
        const auto connect
            = [&](std::size_t host) { return Connection::open(it.host(host).frontend(), Milliseconds(1000)); };

        std::atomic<bool> stop = false;
        std::vector<std::thread> clients;
        for (std::size_t host = 1; host < HOSTS; ++host) {
            clients.emplace_back([&, host] {
                auto connection = connect(host);
                while (!stop) {
                    if (!connection || !order(*connection, host, it.nextAttempt()))
                        connection = connect(host);
                    Scenario::pause(Milliseconds(70));
                }
            });
        }
        auto connection = connect(0);
        for (int n = 0; n < FREEZES && connection; ++n) {
            for (int k = 0; k < REQUESTS_BETWEEN; ++k) {
                order(*connection, 0, it.nextAttempt());
                it.pause(Milliseconds(40));
            }
            const std::string last = it.nextAttempt();
            if (it.trouble) {
                const std::lock_guard lock(mutex);
                spoiled.insert(last);
            }
            order(*connection, 0, last);
            it.pause(Milliseconds(20));
            if (it.trouble) {
                it.record.line("freeze   of %s begins", it.host(0).name().c_str());
                it.host(0).signal(SIGSTOP);
            }
            std::thread thaw([&] {
                Scenario::pause(FREEZE);
                if (it.trouble) {
                    it.host(0).signal(SIGCONT);
                    it.record.line("freeze   of %s ends", it.host(0).name().c_str());
                }
            });
            it.pause(REQUEST_AFTER);
            if (!order(*connection, 0, it.nextAttempt()))
                connection = connect(0);
            thaw.join();
            it.pause(Milliseconds(500));
        }
        stop = true;
        for (std::thread& client : clients)
            client.join();

        int twice = 0;
        for (const std::string& attempt : sent) {
            const auto runs = it.runs.of(attempt);
            if (runs.size() < 2)
                continue;
            ++twice;
            it.record.line(
                "twice    %s ran at %s and at %s", attempt.c_str(), runs[0].runner.c_str(), runs[1].runner.c_str());
        }
        it.record.line(
            "result   %d of %zu orders ran twice, %d were answered with success", twice, sent.size(), served);
        return served < 100 ? Verdict::NotRun : twice > 0 ? Verdict::Broken : Verdict::Held;
    });
}
