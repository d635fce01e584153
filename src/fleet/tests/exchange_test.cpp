#include "fireflyhaven/fleet/exchange.h"
#include "fireflyhaven/fleet/peerload.h"

#include <deque>
#include <random>

#include <criterion/criterion.h>

// Simulates many hosts on a virtual clock and a lossy network. The traffic of a host must not grow with the number of
// hosts, and its view of the fleet must converge soon after a failure.
using namespace fireflyhaven;
using namespace fireflyhaven::fleet;

namespace {

constexpr TimePoint START { Duration(1'000'000) };
constexpr Duration INTERVAL { 200 };
constexpr ShortHash UPSTREAM = 42;

// Reports a settable load for one upstream and collects the load that other hosts report.
class FakeDelegate final : public IReportDelegate {
public:
    void fillReport(HostReport& report, bool full, TimePoint) override
    {
        report.acceptsRequests = true;
        report.reachesStore = true;
        if (full || inFlight != lastReported)
            report.upstreams.items.push_back({ .upstream = UPSTREAM, .inFlight = inFlight, .good = good });
        lastReported = inFlight;
    }
    void onReport(const HostReport&, const HostReport& report, bool newIncarnation, TimePoint) override
    {
        for (const AnswerCounts& it : load.onReport(report, newIncarnation))
            goodReceived += it.good;
    }
    void onHostSilent(const HostId& host) override { load.onSilent(host); }

    std::uint16_t inFlight = 0;
    std::uint32_t good = 0;
    std::uint16_t lastReported = 0;
    PeerLoad load;
    std::uint64_t goodReceived = 0;
};

struct SimulatedHost {
    HostId id;
    DataCentreId dataCentre;
    http::Endpoint address;
    std::uint64_t incarnation = 1;
    FakeDelegate delegate;
    std::unique_ptr<Exchange> exchange;
    bool up = true;
    // All datagrams that it sends are lost.
    bool muted = false;
    std::uint64_t sent = 0;
    std::uint64_t bytes = 0;
};

class Fleet {
public:
    Fleet(int dataCentres, int hostsInEach, double loss, bool flat = false)
        : m_random(7)
        , m_loss(loss)
        , m_flat(flat)
    {
        for (int n = 0; n < dataCentres * hostsInEach; ++n)
            add(n % dataCentres, n / dataCentres);
        for (SimulatedHost& it : members)
            start(it);
    }

    void add(int dataCentre, int n)
    {
        SimulatedHost& it = members.emplace_back();
        const std::string index = std::to_string(dataCentre);
        it.id = HostId("host-" + index + "-" + std::to_string(n));
        it.dataCentre = DataCentreId("dc" + index);
        it.address = { .ip = "10." + index + ".0." + std::to_string(n + 1), .port = 7000 };
    }
    void start(SimulatedHost& it)
    {
        std::vector<http::Endpoint> seeds;
        for (std::size_t n = 0; n < std::min<std::size_t>(3, members.size()); ++n)
            seeds.push_back(members[n].address);
        ExchangeOptions options { .self = it.id,
            .dataCentre = it.dataCentre,
            .frontend = { .ip = it.address.ip, .port = 80 },
            .peerAddress = it.address,
            .capacity = 250,
            .incarnation = it.incarnation++,
            .seeds = seeds,
            .alwaysFlat = m_flat };
        it.delegate = FakeDelegate();
        it.exchange = std::make_unique<Exchange>(options, it.delegate);
        it.up = true;
    }

    void run(Duration time)
    {
        const TimePoint end = now + time;
        for (; now < end; now += INTERVAL) {
            for (SimulatedHost& it : members) {
                if (it.up)
                    deliver(it, it.exchange->tick(now));
            }
        }
    }

    // Sets one request in flight on each host.
    void loadEachHost()
    {
        for (SimulatedHost& it : members)
            it.delegate.inFlight = 1;
    }

    SimulatedHost* at(const http::Endpoint& address)
    {
        for (SimulatedHost& it : members) {
            if (it.address == address)
                return &it;
        }
        return nullptr;
    }
    std::vector<SimulatedHost*> aggregators()
    {
        std::vector<SimulatedHost*> found;
        for (SimulatedHost& it : members) {
            if (it.up && it.exchange->isAggregator())
                found.push_back(&it);
        }
        return found;
    }
    // Requests in flight on all hosts that are up, except `excluded`.
    std::uint32_t inFlightElsewhere(const SimulatedHost& excluded) const
    {
        std::uint32_t sum = 0;
        for (const SimulatedHost& it : members)
            sum += it.up && &it != &excluded ? it.delegate.inFlight : 0;
        return sum;
    }
    // Number of busy hosts whose view of the other hosts' in-flight requests is wrong.
    int countWrongLoads() const
    {
        int n = 0;
        for (const SimulatedHost& it : members)
            n += it.up && it.delegate.inFlight > 0 && it.delegate.load.at(UPSTREAM).inFlight != inFlightElsewhere(it)
                ? 1
                : 0;
        return n;
    }

    std::deque<SimulatedHost> members;
    TimePoint now = START;

private:
    void deliver(SimulatedHost& from, const std::vector<Datagram>& datagrams)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        for (const Datagram& it : datagrams) {
            ++from.sent;
            from.bytes += it.bytes.size();
            cr_assert(it.bytes.size() < 60'000, "%zu bytes do not fit into a datagram", it.bytes.size());
            SimulatedHost* to = at(it.to);
            if (!to || !to->up || from.muted || chance(m_random) < m_loss)
                continue;
            // Some datagrams are duplicated.
            const int copies = chance(m_random) < 0.05 ? 2 : 1;
            for (int n = 0; n < copies; ++n) {
                bool unreadable = false;
                const auto replies = to->exchange->onDatagram(it.bytes, from.address, now, unreadable);
                cr_assert_not(unreadable);
                deliver(*to, replies);
            }
        }
    }

    std::mt19937_64 m_random;
    const double m_loss;
    const bool m_flat;
};

}

Test(exchange, busyHostsLearnFleetLoad)
{
    Fleet fleet(5, 60, 0.02);
    fleet.run(Duration(4'000));
    for (std::size_t n = 0; n < fleet.members.size(); n += 4)
        fleet.members[n].delegate.inFlight = static_cast<std::uint16_t>(1 + n % 3);
    fleet.run(Duration(5'000));
    cr_assert_eq(
        fleet.aggregators().size(), 10, "%zu aggregators instead of two per data centre", fleet.aggregators().size());
    cr_assert_leq(fleet.countWrongLoads(), 2, "%d busy hosts see a wrong load", fleet.countWrongLoads());
}

Test(exchange, trafficPerHostBoundedInLargeFleet)
{
    // Target for the average control traffic of a host.
    constexpr double MAX_BYTES_PER_SECOND = 18'000;
    Fleet fleet(5, 60, 0);
    for (std::size_t n = 0; n < fleet.members.size(); n += 4)
        fleet.members[n].delegate.inFlight = 1;
    fleet.run(Duration(4'000));
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    for (const SimulatedHost& it : fleet.members)
        before += it.bytes;
    fleet.run(Duration(10'000));
    for (const SimulatedHost& it : fleet.members)
        after += it.bytes;
    const double perHost = static_cast<double>(after - before) / 10 / static_cast<double>(fleet.members.size());
    cr_assert(perHost < MAX_BYTES_PER_SECOND, "%.0f bytes per second", perHost);
}

Test(exchange, aggregatorFailoverAfterSimultaneousCrash)
{
    Fleet fleet(3, 40, 0);
    fleet.loadEachHost();
    fleet.run(Duration(6'000));
    for (SimulatedHost* it : fleet.aggregators()) {
        if (it->dataCentre == DataCentreId("dc0"))
            it->up = false;
    }
    fleet.run(Duration(2'000));
    int acting = 0;
    for (const SimulatedHost* it : fleet.aggregators())
        acting += it->dataCentre == DataCentreId("dc0") ? 1 : 0;
    cr_assert_geq(acting, 1, "no aggregator is active");
    fleet.run(Duration(2'000));
    cr_assert_eq(fleet.countWrongLoads(), 0, "%d hosts see a wrong load", fleet.countWrongLoads());
}

Test(exchange, crashedHostNotLiveWithinBound)
{
    // The host is in the tables of its data centre and in the rosters that are sent to the other ones. The bound is
    // that of the smallest deployments.
    constexpr Duration BOUND { 6'000 };
    Fleet fleet(3, 30, 0.02);
    fleet.run(Duration(4'000));
    SimulatedHost& dead = fleet.members[17];
    dead.up = false;
    fleet.run(BOUND);
    for (const SimulatedHost& it : fleet.members) {
        if (!it.up)
            continue;
        const auto known = it.exchange->hosts().hosts().find(dead.id);
        if (known != it.exchange->hosts().hosts().end())
            cr_assert_not(it.exchange->hosts().isLive(known->second, fleet.now), "live on %s", it.id.value().c_str());
    }
}

Test(exchange, restartedHostRejoins)
{
    Fleet fleet(3, 30, 0.02);
    fleet.loadEachHost();
    fleet.run(Duration(4'000));
    SimulatedHost& restarted = fleet.members[40];
    fleet.start(restarted);
    restarted.delegate.inFlight = 2;
    fleet.run(Duration(4'000));
    cr_assert_eq(restarted.delegate.load.at(UPSTREAM).inFlight, fleet.inFlightElsewhere(restarted),
        "in-flight sum %u, aggregator %d", restarted.delegate.load.at(UPSTREAM).inFlight,
        restarted.exchange->isAggregator());
    cr_assert_eq(fleet.countWrongLoads(), 0, "%d hosts see a wrong load, host 0 sees %u of %u", fleet.countWrongLoads(),
        fleet.members[0].delegate.load.at(UPSTREAM).inFlight, fleet.inFlightElsewhere(fleet.members[0]));
}

Test(exchange, simultaneousRestartConverges)
{
    Fleet fleet(5, 20, 0.05);
    fleet.run(Duration(4'000));
    for (SimulatedHost& it : fleet.members)
        fleet.start(it);
    fleet.loadEachHost();
    fleet.run(Duration(5'000));
    cr_assert_leq(fleet.countWrongLoads(), 3, "%d hosts see a wrong load", fleet.countWrongLoads());
}

Test(exchange, unreachableDataCentreExcludedAndRestored)
{
    Fleet fleet(3, 20, 0);
    fleet.loadEachHost();
    fleet.run(Duration(5'000));
    for (SimulatedHost& it : fleet.members)
        it.up = it.dataCentre != DataCentreId("dc2");
    fleet.run(Duration(6'000));
    cr_assert_eq(fleet.countWrongLoads(), 0, "%d hosts see a wrong load during the partition", fleet.countWrongLoads());
    for (SimulatedHost& it : fleet.members)
        it.up = true;
    fleet.run(Duration(6'000));
    cr_assert_eq(fleet.countWrongLoads(), 0, "%d hosts see a wrong load after the partition", fleet.countWrongLoads());
}

Test(exchange, aggregatorFailoverAfterSendFailure)
{
    Fleet fleet(2, 30, 0);
    fleet.loadEachHost();
    fleet.run(Duration(5'000));
    for (SimulatedHost* it : fleet.aggregators())
        it->muted = true;
    fleet.run(Duration(7'000));
    int mismatches = 0;
    for (const SimulatedHost& it : fleet.members) {
        std::uint32_t expected = 0;
        for (const SimulatedHost& other : fleet.members)
            expected += !other.muted && &other != &it ? 1 : 0;
        mismatches += !it.muted && it.delegate.load.at(UPSTREAM).inFlight != expected ? 1 : 0;
    }
    cr_assert_eq(mismatches, 0, "%d hosts see a wrong load", mismatches);
}

// After a failover, answers that the previous aggregator already counted must not be reported as new ones, because
// failures that are counted twice would make healthy upstreams look bad.
Test(exchange, aggregatorFailoverKeepsAnswerCounts)
{
    Fleet fleet(2, 30, 0);
    for (SimulatedHost& it : fleet.members) {
        it.delegate.inFlight = 1;
        it.delegate.good = 1'000;
    }
    fleet.run(Duration(5'000));
    std::vector<std::uint64_t> before;
    for (const SimulatedHost& it : fleet.members)
        before.push_back(it.delegate.goodReceived);
    for (SimulatedHost* it : fleet.aggregators())
        it->up = false;
    fleet.run(Duration(6'000));
    for (std::size_t n = 0; n < fleet.members.size(); ++n)
        cr_assert_eq(fleet.members[n].delegate.goodReceived, before[n], "answers counted again on %s",
            fleet.members[n].id.value().c_str());
}

Test(exchange, smallFleetReportsDirectly)
{
    Fleet fleet(3, 3, 0);
    fleet.loadEachHost();
    fleet.run(Duration(1'000));
    cr_assert(fleet.aggregators().empty());
    cr_assert_eq(fleet.countWrongLoads(), 0);
}

// When all hosts of a large fleet start at once, each receives the addresses of many others and must not report to all
// of them.
Test(exchange, simultaneousStartAvoidsFullMeshTraffic)
{
    constexpr int HOSTS = 300;
    // Average number of datagrams per host in the first second; a full mesh would send a multiple of the number of
    // hosts.
    constexpr std::uint64_t MAX_DATAGRAMS_PER_HOST = 100;
    Fleet fleet(5, HOSTS / 5, 0);
    fleet.run(Duration(1'000));
    std::uint64_t sent = 0;
    for (const SimulatedHost& it : fleet.members)
        sent += it.sent;
    cr_assert_leq(
        sent / HOSTS, MAX_DATAGRAMS_PER_HOST, "%zu datagrams per host", static_cast<std::size_t>(sent / HOSTS));
}
