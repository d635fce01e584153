#include "hostfixture.h"

#include <cmath>

#include <criterion/criterion.h>

// A part of prompts that crashes each upstream that begins to answer a request with it.
using namespace fireflyhaven;
using namespace fireflyhaven::test;

namespace {

constexpr std::size_t HOST_COUNT = 6;
constexpr std::size_t UPSTREAM_COUNT = 8;
// From the users' rule: later than this after that crash, no more than so many requests with the part reach upstreams,
// and sound requests with the same first part begin at least half as often as before.
constexpr Duration CONTACT { 3000 };
constexpr std::size_t LAST_FREE_CRASH = 5;
constexpr std::ptrdiff_t MAX_LATE_ARRIVALS = 3;
constexpr double MIN_SOUND_SHARE = 0.5;
const std::string DEADLY_PART = "dead";

struct OpenCall {
    std::unique_ptr<RawPeer> peer;
    TimePoint sentAt {};
    bool isSound = true;
};

// Sends sound requests at a steady rate to all hosts in turn, and requests with the deadly part between them.
class MixedLoad {
public:
    explicit MixedLoad(Deployment& deployment)
        : m_deployment(deployment)
    {
    }

    void run(Duration time, int soundPerDeadly)
    {
        constexpr Duration INTERVAL { 25 };
        EventLoop& loop = m_deployment.loop;
        const TimePoint end = loop.clock().now() + time;
        for (TimePoint next = loop.clock().now(); next < end; next += INTERVAL) {
            const bool deadly = soundPerDeadly > 0 && m_sent % static_cast<std::size_t>(soundPerDeadly + 1) == 0;
            send(!deadly);
            while (loop.clock().now() < next + INTERVAL) {
                loop.io().restart();
                loop.io().run_one_for(std::chrono::milliseconds(2));
                m_deployment.stepUpstreams();
            }
            collect();
        }
    }
    // Share of the sound requests sent since `from` that were served, of those that have ended.
    double soundShare(TimePoint from) const
    {
        int served = 0;
        int ended = 0;
        for (const auto& [at, wasServed] : m_sound) {
            if (at < from)
                continue;
            ++ended;
            served += wasServed ? 1 : 0;
        }
        return ended == 0 ? 0 : static_cast<double>(served) / ended;
    }

private:
    void send(bool sound)
    {
        const std::size_t host = m_sent % HOST_COUNT;
        const std::string shared = "f1:100,d" + std::to_string(m_sent % 4) + ":50,";
        const std::string own = "aa" + std::to_string(m_sent) + ":10";
        auto peer = std::make_unique<RawPeer>(m_deployment.loop, m_deployment.hosts[host].settings.frontend);
        peer->send("GET /open/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: load-" + std::to_string(m_sent++)
            + "\r\nX-Prefix-Hash: " + shared + (sound ? "" : DEADLY_PART + ":30,") + own
            + "\r\nConnection: close\r\n\r\n");
        m_open.push_back({ .peer = std::move(peer), .sentAt = m_deployment.loop.clock().now(), .isSound = sound });
    }
    void collect()
    {
        std::erase_if(m_open, [this](const OpenCall& it) {
            if (!it.peer->isClosed())
                return false;
            if (it.isSound)
                m_sound.emplace_back(it.sentAt, hasStatus(it.peer->received(), STATUS_OK));
            return true;
        });
    }

    Deployment& m_deployment;
    std::size_t m_sent = 0;
    std::vector<OpenCall> m_open;
    // When each sound request was sent, and whether it was served.
    std::vector<std::pair<TimePoint, bool>> m_sound;
};

}

// Guards against upstreams that crash one after the other under requests of one kind, which no host refuses.
Test(crashing_part, hostsTogetherStopSendingIt, .timeout = 60)
{
    Deployment it(HOST_COUNT, UPSTREAM_COUNT);
    it.answerTime = Duration(60);
    it.configure(3);
    for (std::size_t n = 0; n < HOST_COUNT; ++n)
        it.await([&] { return it.addresses(n).size() == HOST_COUNT; }, "all hosts have discovered each other");
    MixedLoad load(it);
    load.run(Duration(2000), 0);
    const double shareBefore = load.soundShare({});
    it.deadlyPart = DEADLY_PART;
    constexpr int SOUND_PER_DEADLY = 10;
    load.run(Duration(10'000), SOUND_PER_DEADLY);

    cr_assert_geq(it.crashes.size(), 1, "the part crashes upstreams");
    const TimePoint lastFree = it.crashes[std::min(it.crashes.size(), LAST_FREE_CRASH) - 1];
    const auto late = std::count_if(it.deadlyArrivals.begin(), it.deadlyArrivals.end(),
        [&](TimePoint arrival) { return arrival > lastFree + CONTACT; });
    const double shareAfter = load.soundShare(lastFree + 2 * CONTACT);
    cr_log_info("%zu crashes, %td late arrivals, sound requests served: %.2f before, %.2f after", it.crashes.size(),
        late, shareBefore, shareAfter);
    cr_assert_leq(late, MAX_LATE_ARRIVALS, "%td requests with the part reached upstreams, %td are tolerated", late,
        MAX_LATE_ARRIVALS);
    cr_assert_geq(
        shareAfter, MIN_SOUND_SHARE * shareBefore, "sound requests: %.2f, before %.2f", shareAfter, shareBefore);
}

// Guards against refusing sound requests whose connections are closed by upstreams that go on running.
Test(crashing_part, connectionsClosedByRunningUpstreamsRefuseNoPart, .timeout = 60)
{
    Deployment it(HOST_COUNT, UPSTREAM_COUNT);
    it.answerTime = Duration(60);
    it.deadlyPart = DEADLY_PART;
    it.closeInsteadOfCrash = true;
    it.configure(3);
    for (std::size_t n = 0; n < HOST_COUNT; ++n)
        it.await([&] { return it.addresses(n).size() == HOST_COUNT; }, "all hosts have discovered each other");
    MixedLoad load(it);
    // So many that three upstreams close connections before any of them answers a later request.
    constexpr int SOUND_PER_DEADLY = 1;
    load.run(Duration(3000), SOUND_PER_DEADLY);
    const std::size_t before = it.deadlyArrivals.size();
    load.run(Duration(2000), SOUND_PER_DEADLY);
    cr_assert_gt(it.deadlyArrivals.size(), before, "such requests are still sent");
    for (const Host& host : it.hosts)
        cr_assert(it.call(*host.settings.metrics, "/state").find("\"refused_parts\": []") != std::string::npos);
}
