#include "../standins/scenario.h"

// The store comes back from a copy that is some seconds old. Afterwards the operator takes a key away.
using namespace review;

namespace {

constexpr int HOSTS = 9;
constexpr Milliseconds COPY_AGE { 4000 };
constexpr Milliseconds AWAY { 500 };
constexpr Milliseconds REVOKE_BOUND { 5000 };

}

int main(int argc, char** argv)
{
    return runCase(argc, argv, [](Scenario& it) {
        it.addService("app");
        it.startRunners("app", 3, { .time = Milliseconds(30) });
        const std::vector<std::string> keys { "key-kept", "key-taken" };
        it.configure(10, keys);
        it.startHosts(HOSTS);
        it.waitUntilReady(Milliseconds(20000));
        it.pause(Milliseconds(5000));

        struct Sent {
            std::string attempt;
            std::size_t host;
            std::string key;
            Answer answer;
        };
        std::mutex mutex;
        std::vector<Sent> sent;
        std::atomic<bool> stop = false;
        std::vector<std::thread> clients;
        for (std::size_t host = 0; host < HOSTS; ++host) {
            for (const std::string& key : keys) {
                clients.emplace_back([&, host, key] {
                    while (!stop) {
                        const std::string attempt = it.nextAttempt();
                        it.record.line(
                            "sent     %s to %s with %s", attempt.c_str(), it.host(host).name().c_str(), key.c_str());
                        const Answer answer = send(it.host(host).frontend(),
                            { .target = "/app/x", .host = HOST_NAME, .attempt = attempt, .key = key });
                        it.record.line(
                            "answered %s %d by %s", attempt.c_str(), answer.status, it.host(host).name().c_str());
                        {
                            const std::lock_guard lock(mutex);
                            sent.push_back({ attempt, host, key, answer });
                        }
                        Scenario::pause(Milliseconds(400));
                    }
                });
            }
        }
        it.pause(Milliseconds(2000));
        it.configure(12, keys);
        it.pause(Milliseconds(1000));
        it.configure(15, keys);
        it.pause(Milliseconds(1000));
        if (it.trouble) {
            it.record.line("store    goes away");
            const auto leftAt = Clock::now();
            it.store->leave();
            it.pause(AWAY);
            it.store->returnFromCopy(COPY_AGE, leftAt);
            it.record.line("store    is back, from a copy that is %ld ms old", static_cast<long>(COPY_AGE.count()));
            it.configure(15, keys);
            it.registerRunners();
        }
        it.pause(Milliseconds(9000));
        it.configure(18, { "key-kept" });
        const auto revokedAt = Clock::now();
        it.pause(REVOKE_BOUND + Milliseconds(8000));
        stop = true;
        for (std::thread& client : clients)
            client.join();

        int late = 0;
        int kept = 0;
        std::set<std::string> hosts;
        for (const Sent& s : sent) {
            const bool ran = !it.runs.of(s.attempt).empty();
            if (s.key == "key-kept" && s.answer.status == 200)
                ++kept;
            if (s.key == "key-taken" && ran && s.answer.sentAt > revokedAt + REVOKE_BOUND) {
                ++late;
                hosts.insert(it.host(s.host).name());
            }
        }
        it.record.line(
            "result   %d requests with the key that was taken away ran later than %ld ms after that, at %zu hosts; "
            "%d requests with the other key were served",
            late, static_cast<long>(REVOKE_BOUND.count()), hosts.size(), kept);
        return kept < 100 ? Verdict::NotRun : late > 0 ? Verdict::Broken : Verdict::Held;
    });
}
