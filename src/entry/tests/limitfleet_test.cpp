#include "../internal/limitlink.h"

#include "flowfixture.h"

#include <cstdlib>
#include <deque>
#include <random>

#include <criterion/criterion.h>

// Simulates many hosts on a virtual clock and a lossy network, with an upstream that names a request limit for a while.
// All hosts together must stay within the limit, and use it, whatever their number and wherever the requests arrive.
using namespace fireflyhaven;
using namespace fireflyhaven::entry;
using namespace fireflyhaven::entry::test;

namespace {

constexpr Duration STEP { 5 };
constexpr Duration REPORT_INTERVAL { 200 };
constexpr Duration ANSWER_TIME { 30 };
const UpstreamId LIMITED("p0");

// The users' rule: in any window of this length an upstream gets at most this multiple of its limit, and some more,
// from the hosts that have passed on an answer with the limit this long before.
constexpr Duration WINDOW { 4000 };
constexpr double TOLERATED_FACTOR = 1.5;
constexpr double TOLERATED_EXTRA = 5;
constexpr Duration TOLD_GRACE { 500 };

class SettableClock final : public IClock {
public:
    explicit SettableClock(const TimePoint& now)
        : m_now(now)
    {
    }
    TimePoint now() const override { return m_now; }
    WallTime wallNow() const override { return WallTime(m_now.time_since_epoch()); }

private:
    const TimePoint& m_now;
};

class NoReports final : public fleet::IReportDelegate {
public:
    void fillReport(fleet::HostReport& report, bool, TimePoint) override
    {
        report.acceptsRequests = true;
        report.reachesStore = true;
    }
    void onReport(const fleet::HostReport&, const fleet::HostReport&, bool, TimePoint) override { }
    void onHostSilent(const HostId&) override { }
};

struct SimulatedRequest {
    std::unique_ptr<FlowUnderTest> flow;
    std::size_t answeredAttempts = 0;
    TimePoint answerAt {};
};

struct SimulatedHost {
    HostId id;
    DataCentreId dataCentre;
    http::Endpoint address;
    std::uint64_t incarnation = 1;
    bool up = true;
    // Processes nothing until then.
    TimePoint pausedUntil {};
    // When it received the first answer that names the limit, since its start.
    std::optional<TimePoint> toldAt;
    std::unique_ptr<Deployment> deployment;
    std::unique_ptr<fleet::Exchange> exchange;
    std::unique_ptr<fleet::LimitExchange> limitExchange;
    std::unique_ptr<telemetry::Metrics> metrics;
    std::unique_ptr<LimitLink> link;
    NoReports reports;
    std::vector<SimulatedRequest> requests;
    std::deque<std::pair<admission::TicketId, ratelimit::PermitDecision>> decisions;
};

struct Arrival {
    TimePoint at {};
    bool fromToldHost = false;
};

struct FleetOptions {
    int dataCentres = 3;
    int hostsInEach = 3;
    // Part of the datagrams that are lost.
    double loss = 0.01;
    std::uint64_t seed = 7;
    // Requests per second of the whole fleet.
    double demand = 60;
    // All requests arrive at the first host.
    bool atOneHost = false;
    double limit = 1.8;
    // All upstreams of the service name the limit.
    bool allLimited = false;
};

class SimulatedFleet {
public:
    explicit SimulatedFleet(const FleetOptions& options)
        : m_options(options)
        , m_random(options.seed)
        , m_clock(now)
        , hosts(static_cast<std::size_t>(options.dataCentres * options.hostsInEach))
    {
        for (std::size_t n = 0; n < hosts.size(); ++n)
            place(n);
        for (SimulatedHost& it : hosts)
            start(it);
    }

    void start(SimulatedHost& it)
    {
        it.up = true;
        it.toldAt.reset();
        it.requests.clear();
        it.decisions.clear();
        it.deployment = std::make_unique<Deployment>();
        it.metrics = std::make_unique<telemetry::Metrics>();
        fleet::ExchangeOptions options { .self = it.id,
            .dataCentre = it.dataCentre,
            .frontend = { .ip = it.address.ip, .port = 80 },
            .peerAddress = it.address,
            .capacity = 250,
            .incarnation = it.incarnation++ };
        for (std::size_t n = 0; n < std::min<std::size_t>(3, hosts.size()); ++n)
            options.seeds.push_back(hosts[n].address);
        it.exchange = std::make_unique<fleet::Exchange>(options, it.reports);
        it.link = std::make_unique<LimitLink>(LimitLink::Context { .clock = m_clock,
            .catalog = it.deployment->catalog,
            .limits = it.deployment->limits,
            .exchange = [&it]() -> const fleet::LimitExchange& { return *it.limitExchange; },
            .metrics = *it.metrics,
            .send = [this, &it](const std::vector<fleet::Datagram>& all) { transmit(it, all); },
            .deliver
            = [&it](admission::TicketId request,
                  const ratelimit::PermitDecision& decision) { it.decisions.emplace_back(request, decision); } });
        it.limitExchange = std::make_unique<fleet::LimitExchange>(*it.exchange, *it.link);
        it.deployment->limitLink.forwardTo = it.link.get();
        it.deployment->host.hosts = static_cast<int>(hosts.size());
    }

    // The host that issues the permits of the limited upstream, as the first host knows it.
    SimulatedHost& issuer()
    {
        const HostId id
            = fleet::LimitExchange::issuerOf(fleet::shortHashOf(LIMITED), hosts.front().limitExchange->issuers(now));
        return *std::find_if(hosts.begin(), hosts.end(), [&](const SimulatedHost& it) { return it.id == id; });
    }

    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += STEP) {
            deliverDatagrams();
            for (SimulatedHost& it : hosts) {
                if (it.up && now >= it.pausedUntil)
                    runHost(it);
            }
            admitRequests();
        }
    }

    std::size_t mostInWindow(bool toldHostsOnly, TimePoint from) const
    {
        std::vector<TimePoint> times;
        for (const Arrival& it : arrivals) {
            if (it.at >= from && (it.fromToldHost || !toldHostsOnly))
                times.push_back(it.at);
        }
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= WINDOW)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }
    std::size_t tolerated() const
    {
        const double seconds = std::chrono::duration<double>(WINDOW).count();
        return static_cast<std::size_t>(TOLERATED_FACTOR * m_options.limit * seconds + TOLERATED_EXTRA);
    }
    // Part of the limit that was used since `from`.
    double usedShare(TimePoint from) const
    {
        const auto n
            = std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& it) { return it.at >= from; });
        return static_cast<double>(n) / (m_options.limit * std::chrono::duration<double>(now - from).count());
    }
    std::size_t hostsThatKnowTheLimit() const
    {
        return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [](const SimulatedHost& it) {
            return it.deployment->limits.limitOf(ratelimit::incarnationOf(LIMITED, 0)).has_value();
        }));
    }

    TimePoint now = START;

private:
    struct InTransit {
        TimePoint at {};
        http::Endpoint from;
        fleet::Datagram datagram;
    };

    void place(std::size_t n)
    {
        const auto dataCentre = n % static_cast<std::size_t>(m_options.dataCentres);
        const auto index = n / static_cast<std::size_t>(m_options.dataCentres);
        hosts[n].id = HostId("host-" + std::to_string(dataCentre) + "-" + std::to_string(index));
        hosts[n].dataCentre = DataCentreId("dc" + std::to_string(dataCentre));
        hosts[n].address
            = { .ip = "10." + std::to_string(dataCentre) + ".0." + std::to_string(index + 1), .port = 7000 };
        m_byAddress[hosts[n].address.text()] = n;
    }

    void transmit(const SimulatedHost& from, const std::vector<fleet::Datagram>& all)
    {
        for (const fleet::Datagram& it : all) {
            if (std::uniform_real_distribution<>(0, 1)(m_random) < m_options.loss)
                continue;
            m_inTransit.push_back({ .at = now + STEP, .from = from.address, .datagram = it });
        }
    }

    void deliverDatagrams()
    {
        while (!m_inTransit.empty() && m_inTransit.front().at <= now) {
            const InTransit it = std::move(m_inTransit.front());
            m_inTransit.pop_front();
            const auto target = m_byAddress.find(it.datagram.to.text());
            if (target == m_byAddress.end() || !hosts[target->second].up)
                continue;
            SimulatedHost& host = hosts[target->second];
            bool isOther = false;
            transmit(host, host.exchange->onDatagram(it.datagram.bytes, it.from, now, isOther));
            const auto replies
                = isOther ? host.limitExchange->onDatagram(it.datagram.bytes, it.from, now) : std::nullopt;
            if (replies)
                transmit(host, *replies);
        }
    }

    void runHost(SimulatedHost& it)
    {
        if ((now - START).count() % REPORT_INTERVAL.count() == 0) {
            transmit(it, it.exchange->tick(now));
            transmit(it, it.limitExchange->tick(now));
            it.link->tick(now);
        }
        for (auto& [request, decision] : std::exchange(it.decisions, {})) {
            for (SimulatedRequest& pending : it.requests) {
                if (pending.flow->flow.waitingTicket() == request)
                    pending.flow->flow.onPermitDecision(decision, now);
            }
        }
        for (SimulatedRequest& pending : it.requests)
            advance(it, pending);
        std::erase_if(it.requests, [this](const SimulatedRequest& pending) {
            if (!pending.flow->flow.isDone())
                return false;
            ++(pending.flow->actions.headStatus == 200 ? served : refused);
            return true;
        });
    }

    void advance(SimulatedHost& host, SimulatedRequest& pending)
    {
        FakeActions& actions = pending.flow->actions;
        if (actions.timerAt != TimePoint {} && now >= actions.timerAt && !pending.flow->flow.isDone())
            pending.flow->flow.onTimer(now);
        if (actions.attempts.size() > pending.answeredAttempts && pending.answerAt == TimePoint {}) {
            pending.answerAt = now + ANSWER_TIME;
            const bool told = host.toldAt && now - *host.toldAt >= TOLD_GRACE;
            if (actions.attempts.back().directives.upstream == LIMITED)
                arrivals.push_back({ .at = now, .fromToldHost = told });
        }
        if (pending.answerAt != TimePoint {} && now >= pending.answerAt && !pending.flow->flow.isDone()) {
            pending.answerAt = {};
            ++pending.answeredAttempts;
            answer(host, *pending.flow);
        }
    }

    void answer(SimulatedHost& host, FlowUnderTest& flow)
    {
        ResponseInfo info = successResponse();
        const bool isLimited = m_options.allLimited || flow.actions.attempts.back().directives.upstream == LIMITED;
        if (limitNamed && isLimited) {
            info.requestLimit = RequestRate(m_options.limit);
            if (!host.toldAt)
                host.toldAt = now;
        }
        flow.receiveResponse(info, "body", now);
    }

    void admitRequests()
    {
        const double perStep = m_options.demand * std::chrono::duration<double>(STEP).count();
        const int n = std::poisson_distribution<>(perStep)(m_random);
        for (int k = 0; k < n; ++k) {
            const std::size_t index
                = m_options.atOneHost ? 0 : std::uniform_int_distribution<std::size_t>(0, hosts.size() - 1)(m_random);
            SimulatedHost& host = hosts[index];
            if (!host.up || now < host.pausedUntil)
                continue;
            host.requests.push_back({ .flow
                = std::make_unique<FlowUnderTest>(*host.deployment, Deployment::request("/idempotent/1"), now) });
        }
    }

    const FleetOptions m_options;
    std::mt19937_64 m_random;
    const SettableClock m_clock;
    std::deque<InTransit> m_inTransit;
    std::map<std::string, std::size_t> m_byAddress;

public:
    std::vector<SimulatedHost> hosts;
    std::vector<Arrival> arrivals;
    bool limitNamed = false;
    int served = 0;
    int refused = 0;
};

constexpr Duration DISCOVERY_TIME { 6000 };
// Time after the first answer with the limit in which all hosts learn it.
constexpr Duration LEARNING_TIME { 2000 };
constexpr Duration LIMITED_TIME { 20'000 };
// Part of the limit that is used at least, while requests abound.
constexpr double MIN_USED_SHARE = 0.5;

void checkLimit(const FleetOptions& options)
{
    SimulatedFleet fleet(options);
    fleet.run(DISCOVERY_TIME);
    const TimePoint namedAt = fleet.now;
    fleet.limitNamed = true;
    fleet.run(LEARNING_TIME);
    cr_assert_eq(fleet.hostsThatKnowTheLimit(), fleet.hosts.size(), "hosts that were not told learn the limit");
    fleet.run(LIMITED_TIME);
    const std::size_t most = fleet.mostInWindow(true, namedAt);
    cr_assert_leq(most, fleet.tolerated(), "%zu requests in a window, %zu are tolerated", most, fleet.tolerated());
    const std::size_t mostOfAll = fleet.mostInWindow(false, namedAt + LEARNING_TIME);
    cr_assert_leq(mostOfAll, fleet.tolerated(), "%zu from all hosts, %zu are tolerated", mostOfAll, fleet.tolerated());
    const double share = fleet.usedShare(namedAt + LEARNING_TIME);
    cr_log_info("%zu hosts, limit %.1f/s: at most %zu in a window of %zu tolerated, %.2f of the limit used",
        fleet.hosts.size(), options.limit, mostOfAll, fleet.tolerated(), share);
    cr_assert_geq(share, MIN_USED_SHARE, "%.2f of the limit is used", share);
}

}

// Guards against upstreams that get many times the request limit that they named, because each host decides alone.
Test(limitfleet, fewHostsStayWithinTheLimitAndUseIt)
{
    checkLimit({ .dataCentres = 4, .hostsInEach = 2 });
    checkLimit({ .dataCentres = 4, .hostsInEach = 2, .limit = 12 });
}

// The equal share of a host is one request in 164 s.
Test(limitfleet, hundredsOfHostsStayWithinTheLimitAndUseIt, .timeout = 120)
{
    checkLimit({ .dataCentres = 5, .hostsInEach = 59, .demand = 150 });
}

// Guards against a limit that is divided between hosts of which only one has requests.
Test(limitfleet, oneBusyHostUsesTheWholeLimit, .timeout = 120)
{
    checkLimit({ .dataCentres = 4, .hostsInEach = 2, .atOneHost = true });
    checkLimit({ .dataCentres = 5, .hostsInEach = 59, .atOneHost = true });
}

Test(limitfleet, limitEndsOnAllHostsWhenAnswersNoLongerNameIt)
{
    SimulatedFleet fleet({ .dataCentres = 3, .hostsInEach = 13 });
    fleet.run(DISCOVERY_TIME);
    fleet.limitNamed = true;
    fleet.run(LEARNING_TIME);
    fleet.limitNamed = false;
    fleet.run(LEARNING_TIME);
    cr_assert_eq(fleet.hostsThatKnowTheLimit(), 0);
    const std::size_t before = fleet.arrivals.size();
    fleet.run(WINDOW);
    cr_assert_gt(fleet.arrivals.size() - before, 2 * fleet.tolerated(), "it gets its full part again");
}

// Guards against permits that are issued twice around a change of the issuer, and against no issuer at all.
Test(limitfleet, crashAndReturnOfTheIssuerKeepTheLimit, .timeout = 120)
{
    for (const int hostsInEach : { 3, 13 }) {
        SimulatedFleet fleet({ .dataCentres = 3, .hostsInEach = hostsInEach });
        fleet.run(DISCOVERY_TIME);
        const TimePoint namedAt = fleet.now;
        fleet.limitNamed = true;
        fleet.run(LEARNING_TIME + WINDOW);
        SimulatedHost& issuer = fleet.issuer();
        issuer.up = false;
        fleet.run(Duration(8000));
        const TimePoint replacedAt = fleet.now;
        fleet.run(WINDOW);
        cr_assert_geq(fleet.usedShare(replacedAt), MIN_USED_SHARE, "another host has taken over");
        fleet.start(issuer);
        fleet.run(Duration(8000));
        cr_assert_leq(fleet.mostInWindow(false, namedAt + LEARNING_TIME), fleet.tolerated());
    }
}

// Guards against a late permit that is used for another upstream than the one that it was granted for.
Test(limitfleet, lateReplyToAnEarlierRequestIsIgnored)
{
    SimulatedFleet fleet({ .dataCentres = 3, .hostsInEach = 3 });
    fleet.run(DISCOVERY_TIME);
    const std::vector<HostId> issuers = fleet.hosts.front().limitExchange->issuers(fleet.now);
    SimulatedHost& host = *std::find_if(fleet.hosts.begin(), fleet.hosts.end(),
        [&](const SimulatedHost& it) { return std::find(issuers.begin(), issuers.end(), it.id) == issuers.end(); });
    const admission::TicketId request(1);
    const auto ask = [&](const std::string& upstream) {
        const UpstreamId id(upstream);
        host.link->requestPermit(
            request, { .upstream = id, .incarnation = ratelimit::incarnationOf(id, 0), .limit = RequestRate(1) });
    };
    // A link numbers its requests from the time of its start.
    const auto first = static_cast<std::uint32_t>(START.time_since_epoch().count()) + 1;
    ask("p0");
    ask("p1");
    host.link->onPermitReply({ .number = first, .granted = true }, fleet.now);
    cr_assert(host.decisions.empty());
    host.link->onPermitReply({ .number = first + 1, .granted = true }, fleet.now);
    cr_assert_eq(host.decisions.size(), 1);
}

// Guards against callers who wait until their deadline though it is known that no permit will be free for them.
Test(limitfleet, requestsBeyondTheLimitsOfAllUpstreamsAreRefusedAtOnce)
{
    SimulatedFleet fleet({ .dataCentres = 4, .hostsInEach = 2, .demand = 40, .limit = 4, .allLimited = true });
    fleet.run(DISCOVERY_TIME);
    fleet.limitNamed = true;
    fleet.run(LEARNING_TIME + LIMITED_TIME);
    const int servedBefore = fleet.served;
    fleet.run(LIMITED_TIME);
    const double servedPerSecond = (fleet.served - servedBefore) / std::chrono::duration<double>(LIMITED_TIME).count();
    cr_log_info("three upstreams with 4/s each serve %.1f/s", servedPerSecond);
    cr_assert_geq(servedPerSecond, MIN_USED_SHARE * 12);
    std::size_t open = 0;
    for (const SimulatedHost& it : fleet.hosts)
        open += it.requests.size();
    cr_assert_leq(open, 20, "%zu requests wait for permits", open);
    std::uint64_t asked = 0;
    for (const SimulatedHost& it : fleet.hosts)
        asked += it.metrics->dump().value("permits_requested", 0ULL);
    const auto requests = static_cast<std::uint64_t>(fleet.served + fleet.refused);
    cr_assert_leq(asked, 5 * requests, "%lu permits asked for by %lu requests", asked, requests);
}

// Random losses, crashes, pauses and restarts of hosts. More seeds: FIREFLYHAVEN_FIRST_SEED, FIREFLYHAVEN_SEEDS.
Test(limitfleet, randomFaultsKeepTheLimit, .timeout = 600)
{
    const auto setting = [](const char* name, std::uint64_t otherwise) {
        const char* text = std::getenv(name);
        return text ? std::strtoull(text, nullptr, 10) : otherwise;
    };
    const std::uint64_t first = setting("FIREFLYHAVEN_FIRST_SEED", 1);
    for (std::uint64_t seed = first; seed < first + setting("FIREFLYHAVEN_SEEDS", 8); ++seed) {
        std::mt19937_64 random(seed);
        SimulatedFleet fleet({ .dataCentres = 3,
            .hostsInEach = 2 + static_cast<int>(random() % 12),
            .loss = 0.05,
            .seed = seed,
            .atOneHost = random() % 2 == 0 });
        fleet.run(DISCOVERY_TIME);
        const TimePoint namedAt = fleet.now;
        fleet.limitNamed = true;
        fleet.run(LEARNING_TIME);
        for (int n = 0; n < 20; ++n) {
            SimulatedHost& host = random() % 3 == 0 ? fleet.issuer() : fleet.hosts[random() % fleet.hosts.size()];
            if (!host.up)
                fleet.start(host);
            else if (random() % 2 == 0)
                host.up = false;
            else
                host.pausedUntil = fleet.now + Duration(random() % 3000);
            fleet.run(Duration(static_cast<Duration::rep>(random() % 1500 / 5 * 5)));
        }
        const std::size_t most = fleet.mostInWindow(true, namedAt + LEARNING_TIME);
        cr_assert_leq(most, fleet.tolerated(), "seed %lu: %zu requests in a window, %zu are tolerated", seed, most,
            fleet.tolerated());
    }
}
