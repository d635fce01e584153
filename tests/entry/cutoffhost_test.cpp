#include "hostfixture.h"

#include <criterion/criterion.h>

// Hosts that are cut off from all upstreams, while callers, the store and the other hosts still reach them.
using namespace fireflyhaven;
using namespace fireflyhaven::test;

namespace {

constexpr std::size_t HOST_COUNT = 5;
constexpr std::size_t UPSTREAM_COUNT = 4;
// The minority that still reaches upstreams.
constexpr std::size_t SOUND_HOSTS = 2;
// From the users' rule: from this time after the cut, first tries at cut-off hosts are served at least two thirds as
// often as at the others.
constexpr Duration CONTACT { 3000 };
constexpr double MIN_SERVED_SHARE = 2.0 / 3;
// A host takes up its own sending within this time after the cut has healed.
constexpr Duration MAX_RETURN_TIME { 1000 };

struct Try {
    std::unique_ptr<RawPeer> peer;
    std::size_t host = 0;
    TimePoint sentAt {};
};

// Sends requests to all hosts in turn, and counts those served by host.
class EvenLoad {
public:
    explicit EvenLoad(Deployment& deployment)
        : m_deployment(deployment)
    {
    }

    void run(Duration time)
    {
        constexpr Duration INTERVAL { 20 };
        EventLoop& loop = m_deployment.loop;
        const TimePoint end = loop.clock().now() + time;
        for (TimePoint next = loop.clock().now(); next < end; next += INTERVAL) {
            const std::size_t host = m_sent % HOST_COUNT;
            auto peer = std::make_unique<RawPeer>(loop, m_deployment.hosts[host].settings.frontend);
            peer->send("GET /keyed/x?n=" + std::to_string(m_sent) + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: load-"
                + std::to_string(m_sent) + "\r\nX-Deadline-Ms: 4000\r\n" + KEY_HEADER + "Connection: close\r\n\r\n");
            ++m_sent;
            m_open.push_back({ .peer = std::move(peer), .host = host, .sentAt = loop.clock().now() });
            while (loop.clock().now() < next + INTERVAL) {
                loop.io().restart();
                loop.io().run_one_for(std::chrono::milliseconds(2));
            }
            collect();
        }
    }
    // Share of the requests sent to these hosts since `from` that were served, of those that have ended.
    double servedShare(std::size_t firstHost, std::size_t lastHost, TimePoint from) const
    {
        int served = 0;
        int ended = 0;
        for (const auto& it : m_ended) {
            if (it.host < firstHost || it.host > lastHost || it.sentAt < from)
                continue;
            ++ended;
            served += it.served ? 1 : 0;
        }
        return ended == 0 ? 0 : static_cast<double>(served) / ended;
    }

private:
    struct Ended {
        std::size_t host = 0;
        TimePoint sentAt {};
        bool served = false;
    };

    void collect()
    {
        std::erase_if(m_open, [this](const Try& it) {
            if (!it.peer->isClosed())
                return false;
            m_ended.push_back({ .host = it.host,
                .sentAt = it.sentAt,
                .served = hasStatus(it.peer->received(), STATUS_OK)
                    && it.peer->received().find("from upstream") != std::string::npos });
            return true;
        });
    }

    Deployment& m_deployment;
    std::size_t m_sent = 0;
    std::vector<Try> m_open;
    std::vector<Ended> m_ended;
};

void cutOff(Deployment& it, Cut cut)
{
    for (std::size_t n = SOUND_HOSTS; n < HOST_COUNT; ++n)
        it.hosts[n].links->cut = cut;
}

std::string state(Deployment& it, std::size_t host) { return it.call(*it.hosts[host].settings.metrics, "/state"); }

void checkCut(Cut cut)
{
    Deployment it(HOST_COUNT, UPSTREAM_COUNT);
    it.configure(3);
    for (std::size_t n = 0; n < HOST_COUNT; ++n)
        it.await([&] { return it.addresses(n).size() == HOST_COUNT; }, "all hosts have discovered each other");
    EvenLoad load(it);
    load.run(Duration(1000));
    const TimePoint cutAt = it.loop.clock().now();
    cutOff(it, cut);
    load.run(CONTACT + Duration(2000));
    const double sound = load.servedShare(0, SOUND_HOSTS - 1, cutAt + CONTACT);
    const double cutHosts = load.servedShare(SOUND_HOSTS, HOST_COUNT - 1, cutAt + CONTACT);
    cr_log_info("served: %.2f at sound hosts, %.2f at cut-off ones", sound, cutHosts);
    cr_assert_geq(
        cutHosts, MIN_SERVED_SHARE * sound, "served: %.2f at sound hosts, %.2f at cut-off ones", sound, cutHosts);
    cr_assert_geq(sound, 0.95);
    cr_assert_eq(
        it.addresses(HOST_COUNT - 1).size(), SOUND_HOSTS, "the directory names only hosts that reach upstreams");
    cr_assert_eq(it.addresses(0).size(), SOUND_HOSTS);
    cr_assert(state(it, 0).find("\"usable\": false") == std::string::npos,
        "what cut-off hosts report makes no other host avoid an upstream");

    cutOff(it, Cut::None);
    load.run(MAX_RETURN_TIME);
    it.await([&] { return it.addresses(0).size() == HOST_COUNT; }, "all hosts are in the directory again");
    cr_assert(state(it, HOST_COUNT - 1).find("\"usable\": false") == std::string::npos);
    for (const http::RequestHead& head : it.received)
        cr_assert_str_eq(head.headers.find("X-Tenant")->c_str(), "w");
}

}

// Guards against callers of hosts that are cut off from all upstreams being refused as long as the cut lasts.
Test(cut_off_host, callersAreServedByOtherHostsWhileLinksHang, .timeout = 60) { checkCut(Cut::Silent); }

Test(cut_off_host, callersAreServedByOtherHostsWhileLinksAreRefused, .timeout = 60) { checkCut(Cut::Refusing); }

Test(cut_off_host, callersAreServedByOtherHostsWhileOldConnectionsLiveOn, .timeout = 60)
{
    checkCut(Cut::RefusingNewOnly);
}

// Guards against a request that is handed on and on while no host reaches an upstream.
Test(cut_off_host, requestIsHandedOnOnceAtMost, .timeout = 60)
{
    Deployment it(3, 2);
    it.configure(3);
    for (std::size_t n = 0; n < 3; ++n)
        it.await([&] { return it.addresses(n).size() == 3; }, "all hosts have discovered each other");
    for (Host& host : it.hosts)
        host.links->cut = Cut::Refusing;
    const TimePoint begin = it.loop.clock().now();
    for (int n = 0; n < 12; ++n) {
        const std::string answer = it.request(static_cast<std::size_t>(n % 3), "/keyed/x", KEY_HEADER);
        cr_assert(hasStatus(answer, STATUS_UNAVAILABLE), "%s", answer.c_str());
    }
    constexpr Duration MAX_TIME { 6000 };
    cr_assert_lt((it.loop.clock().now() - begin).count(), MAX_TIME.count());
}

// The other host is frozen: its kernel accepts what is handed to it, and it never answers. Guards against orders that
// get no answer at their time-out (review/4).
Test(cut_off_host, orderHandedToFrozenHostIsAnsweredAtItsTimeout, .timeout = 60)
{
    constexpr Duration MAX_DELAY { 500 };
    Deployment it(2, 2);
    it.configure(3);
    it.awaitDiscovery();
    it.cutOffUntilHandedOver(1);
    const std::string frozenIp = it.hosts[0].settings.frontend.ip;
    it.hosts[0].host.reset();
    const boost::asio::ip::tcp::acceptor frozen(
        it.loop.io(), { boost::asio::ip::make_address(frozenIp), static_cast<std::uint16_t>(FIRST_PEER_PORT + 1) });
    const TimePoint sentAt = it.loop.clock().now();
    RawPeer caller(it.loop, it.hosts[1].settings.frontend);
    caller.send("POST /brief/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: order\r\nX-Deadline-Ms: 1500\r\n"
                "Content-Length: 2\r\n\r\n{}");
    caller.await("\r\n\r\n");
    const Duration elapsed = it.loop.clock().now() - sentAt;
    cr_assert(hasStatus(caller.received(), STATUS_GATEWAY_TIMEOUT), "%s", caller.received().c_str());
    cr_assert(elapsed < BRIEF_ROUTE_TIMEOUT + MAX_DELAY, "after %ld ms", static_cast<long>(elapsed.count()));
}

// Guards against a revoked key that still works through a host that is cut off.
Test(cut_off_host, handedOverRequestIsCheckedByTheHostThatSendsIt, .timeout = 60)
{
    Deployment it(2, 2);
    it.configure(3);
    it.awaitDiscovery();
    it.cutOffUntilHandedOver(1);
    cr_assert(hasStatus(it.request(1, "/keyed/x", "Authorization: Token wrong\r\n"), STATUS_UNAUTHORIZED));
    cr_assert(hasStatus(it.request(1, "/nowhere/x", KEY_HEADER), STATUS_NOT_FOUND));
}
