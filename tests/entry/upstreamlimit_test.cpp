#include "hostfixture.h"

#include <criterion/criterion.h>

// Upstreams that name a limit of the requests that they accept from all hosts together.
using namespace fireflyhaven;
using namespace fireflyhaven::test;

namespace {

constexpr std::size_t HOST_COUNT = 8;
constexpr std::size_t UPSTREAM_COUNT = 3;
constexpr double LIMIT_PER_SECOND = 1.8;
// From the users' rule: in any window of this length an upstream may get this multiple of its limit, and some more.
constexpr Duration WINDOW { 4000 };
constexpr double TOLERATED_FACTOR = 1.5;
constexpr double TOLERATED_EXTRA = 5;
// Time after which the limit binds all hosts.
constexpr Duration GRACE { 500 };
// Part of the limit that is used at least, while requests abound.
constexpr double MIN_USED_SHARE = 0.5;

std::size_t arrivalsBetween(const FakeUpstream& upstream, TimePoint from, TimePoint until)
{
    return static_cast<std::size_t>(std::count_if(
        upstream.arrivals.begin(), upstream.arrivals.end(), [&](TimePoint it) { return it >= from && it < until; }));
}

// Largest number of arrivals in any window that begins at `from` or later.
std::size_t maxArrivalsInWindow(const FakeUpstream& upstream, TimePoint from)
{
    std::size_t most = 0;
    for (const TimePoint it : upstream.arrivals) {
        if (it >= from)
            most = std::max(most, arrivalsBetween(upstream, it, it + WINDOW));
    }
    return most;
}

// Sends requests at a steady rate, most of them to the first host, and collects the answers.
class LoadGenerator {
public:
    explicit LoadGenerator(Deployment& deployment)
        : m_deployment(deployment)
    {
    }

    void run(Duration time)
    {
        constexpr Duration INTERVAL { 25 };
        EventLoop& loop = m_deployment.loop;
        const TimePoint end = loop.clock().now() + time;
        for (TimePoint next = loop.clock().now(); next < end; next += INTERVAL) {
            sendOne();
            while (loop.clock().now() < next + INTERVAL) {
                loop.io().restart();
                loop.io().run_one_for(std::chrono::milliseconds(2));
            }
            collectAnswers();
        }
    }

    int served = 0;
    int unserved = 0;

private:
    void sendOne()
    {
        // Three of four requests go to the first host.
        const std::size_t host = m_sent % 4 == 0 ? 1 + m_sent / 4 % (m_deployment.hosts.size() - 1) : 0;
        auto caller = std::make_unique<RawPeer>(m_deployment.loop, m_deployment.hosts[host].settings.frontend);
        caller->send("GET /open/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: load-" + std::to_string(m_sent++)
            + "\r\nConnection: close\r\n\r\n");
        m_callers.push_back(std::move(caller));
    }
    void collectAnswers()
    {
        std::erase_if(m_callers, [this](const std::unique_ptr<RawPeer>& it) {
            if (!it->isClosed())
                return false;
            ++(hasStatus(it->received(), STATUS_OK) ? served : unserved);
            return true;
        });
    }

    Deployment& m_deployment;
    std::size_t m_sent = 0;
    std::vector<std::unique_ptr<RawPeer>> m_callers;
};

}

// Guards against upstreams that get many times the request limit that they named, because each host decides alone.
Test(upstream_limit, hostsTogetherStayWithinNamedLimitAndUseIt, .timeout = 60)
{
    Deployment it(HOST_COUNT, UPSTREAM_COUNT);
    it.configure(3);
    for (std::size_t n = 0; n < HOST_COUNT; ++n)
        it.await([&] { return it.addresses(n).size() == HOST_COUNT; }, "all hosts have discovered each other");
    LoadGenerator load(it);
    load.run(Duration(1000));
    FakeUpstream& limited = it.upstreams.front();
    cr_assert_gt(limited.arrivals.size(), 5, "the upstream gets its part before it names a limit");
    limited.limit = std::to_string(LIMIT_PER_SECOND);
    const TimePoint namedAt = it.loop.clock().now();
    load.run(Duration(9000));
    const TimePoint endedAt = it.loop.clock().now();

    const double windowSeconds = std::chrono::duration<double>(WINDOW).count();
    const auto tolerated
        = static_cast<std::size_t>(TOLERATED_FACTOR * LIMIT_PER_SECOND * windowSeconds + TOLERATED_EXTRA);
    const std::size_t most = maxArrivalsInWindow(limited, namedAt + GRACE);
    cr_assert_leq(most, tolerated, "%zu requests in 4 s, %zu are tolerated", most, tolerated);

    const double limitedSeconds = std::chrono::duration<double>(endedAt - namedAt - GRACE).count();
    const double share
        = static_cast<double>(arrivalsBetween(limited, namedAt + GRACE, endedAt)) / (LIMIT_PER_SECOND * limitedSeconds);
    cr_log_info("share of the limit that was used: %.2f", share);
    cr_assert_geq(share, MIN_USED_SHARE, "%.2f of the limit is used", share);
    cr_assert_eq(load.unserved, 0, "%d requests were not served though other upstreams are free", load.unserved);

    limited.limit.clear();
    load.run(Duration(3000));
    cr_assert_gt(arrivalsBetween(limited, it.loop.clock().now() - Duration(1500), it.loop.clock().now()),
        static_cast<std::size_t>(3 * LIMIT_PER_SECOND), "the limit ends when answers no longer name it");
}
