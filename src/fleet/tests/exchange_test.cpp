#include "fireflyhaven/fleet/exchange.h"
#include "fireflyhaven/fleet/peerload.h"

#include <deque>
#include <random>

#include <criterion/criterion.h>

// Many hosts on a virtual clock and a lossy network: the load that one host sees must not grow with their number, and
// what it believes must be true soon after any of them fails.
using namespace fireflyhaven;
using namespace fireflyhaven::fleet;

namespace {

constexpr TimePoint START { Duration(1'000'000) };
constexpr Duration INTERVAL { 200 };
constexpr ShortHash UPSTREAM = 42;

// What a host has under way, and what it hears of the others.
class FakePart final : public IReportPart {
public:
    void fillReport(HostReport& report, bool full, TimePoint) override
    {
        report.takesCallers = true;
        report.reachesStore = true;
        if (full || inFlight != told)
            report.upstreams.items.push_back({ .upstream = UPSTREAM, .inFlight = inFlight, .good = good });
        told = inFlight;
    }
    void onReport(const HostReport&, const HostReport& report, bool newLife, TimePoint) override
    {
        for (const AnswerCounts& it : load.onReport(report, newLife))
            goodHeard += it.good;
    }
    void onHostSilent(const HostId& host) override { load.onSilent(host); }

    std::uint16_t inFlight = 0;
    std::uint32_t good = 0;
    std::uint16_t told = 0;
    PeerLoad load;
    std::uint64_t goodHeard = 0;
};

struct Node {
    HostId id;
    DataCentreId dataCentre;
    http::Endpoint address;
    std::uint64_t life = 1;
    FakePart part;
    std::unique_ptr<Exchange> exchange;
    bool up = true;
    // Nothing that it sends arrives.
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
        for (Node& it : nodes)
            start(it);
    }

    void add(int dataCentre, int n)
    {
        Node& it = nodes.emplace_back();
        const std::string place = std::to_string(dataCentre);
        it.id = HostId("host-" + place + "-" + std::to_string(n));
        it.dataCentre = DataCentreId("dc" + place);
        it.address = { .ip = "10." + place + ".0." + std::to_string(n + 1), .port = 7000 };
    }
    void start(Node& it)
    {
        std::vector<http::Endpoint> seeds;
        for (std::size_t n = 0; n < std::min<std::size_t>(3, nodes.size()); ++n)
            seeds.push_back(nodes[n].address);
        ExchangeOptions options { .self = it.id,
            .dataCentre = it.dataCentre,
            .frontend = { .ip = it.address.ip, .port = 80 },
            .peerAddress = it.address,
            .capacity = 250,
            .life = it.life++,
            .seeds = seeds,
            .alwaysFlat = m_flat };
        it.part = FakePart();
        it.exchange = std::make_unique<Exchange>(options, it.part);
        it.up = true;
    }

    void run(Duration time)
    {
        const TimePoint end = now + time;
        for (; now < end; now += INTERVAL) {
            for (Node& it : nodes) {
                if (it.up)
                    deliver(it, it.exchange->tick(now));
            }
        }
    }

    // Each host has one request in flight at the upstream.
    void useEachHost()
    {
        for (Node& it : nodes)
            it.part.inFlight = 1;
    }

    Node* at(const http::Endpoint& address)
    {
        for (Node& it : nodes) {
            if (it.address == address)
                return &it;
        }
        return nullptr;
    }
    std::vector<Node*> aggregators()
    {
        std::vector<Node*> found;
        for (Node& it : nodes) {
            if (it.up && it.exchange->isAggregator())
                found.push_back(&it);
        }
        return found;
    }
    // In flight on all hosts but one.
    std::uint32_t others(const Node& node) const
    {
        std::uint32_t sum = 0;
        for (const Node& it : nodes)
            sum += it.up && &it != &node ? it.part.inFlight : 0;
        return sum;
    }
    // Busy hosts that do not know what the others have under way.
    int wrong() const
    {
        int n = 0;
        for (const Node& it : nodes)
            n += it.up && it.part.inFlight > 0 && it.part.load.at(UPSTREAM).inFlight != others(it) ? 1 : 0;
        return n;
    }

    std::deque<Node> nodes;
    TimePoint now = START;

private:
    void deliver(Node& from, const std::vector<Datagram>& datagrams)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        for (const Datagram& it : datagrams) {
            ++from.sent;
            from.bytes += it.bytes.size();
            cr_assert(it.bytes.size() < 60'000, "%zu bytes do not fit into a datagram", it.bytes.size());
            Node* to = at(it.to);
            if (!to || !to->up || from.muted || chance(m_random) < m_loss)
                continue;
            // Some arrive twice.
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

Test(exchange, manyHostsOfWhichSomeAreBusyLearnWhatTheOthersHaveUnderWay)
{
    Fleet fleet(5, 60, 0.02);
    fleet.run(Duration(4'000));
    for (std::size_t n = 0; n < fleet.nodes.size(); n += 4)
        fleet.nodes[n].part.inFlight = static_cast<std::uint16_t>(1 + n % 3);
    fleet.run(Duration(5'000));
    cr_assert_eq(fleet.aggregators().size(), 10, "%zu instead of two in each data centre", fleet.aggregators().size());
    cr_assert_leq(fleet.wrong(), 2, "%d busy hosts are wrong", fleet.wrong());
}

Test(exchange, theBytesOfAHostDoNotGrowWithTheFleet)
{
    // Control traffic that a host may cause on average, from the users' target.
    constexpr double MOST_BYTES_PER_SECOND = 18'000;
    Fleet fleet(5, 60, 0);
    for (std::size_t n = 0; n < fleet.nodes.size(); n += 4)
        fleet.nodes[n].part.inFlight = 1;
    fleet.run(Duration(4'000));
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    for (const Node& it : fleet.nodes)
        before += it.bytes;
    fleet.run(Duration(10'000));
    for (const Node& it : fleet.nodes)
        after += it.bytes;
    const double perHost = static_cast<double>(after - before) / 10 / static_cast<double>(fleet.nodes.size());
    cr_assert(perHost < MOST_BYTES_PER_SECOND, "%.0f bytes a second", perHost);
}

Test(exchange, allAggregatorsOfADataCentreKilledAtOnceAreReplacedWithinTwoSeconds)
{
    Fleet fleet(3, 40, 0);
    fleet.useEachHost();
    fleet.run(Duration(6'000));
    for (Node* it : fleet.aggregators()) {
        if (it->dataCentre == DataCentreId("dc0"))
            it->up = false;
    }
    fleet.run(Duration(2'000));
    int acting = 0;
    for (const Node* it : fleet.aggregators())
        acting += it->dataCentre == DataCentreId("dc0") ? 1 : 0;
    cr_assert_geq(acting, 1, "nobody aggregates");
    fleet.run(Duration(2'000));
    cr_assert_eq(fleet.wrong(), 0, "%d hosts are wrong", fleet.wrong());
}

Test(exchange, aDeadHostIsNamedToNoCallersSoon)
{
    // Kept by all hosts of its data centre and told to the others, within the bound of the smallest deployments.
    constexpr Duration BOUND { 6'000 };
    Fleet fleet(3, 30, 0.02);
    fleet.run(Duration(4'000));
    Node& dead = fleet.nodes[17];
    dead.up = false;
    fleet.run(BOUND);
    for (const Node& it : fleet.nodes) {
        if (!it.up)
            continue;
        const auto known = it.exchange->hosts().hosts().find(dead.id);
        if (known != it.exchange->hosts().hosts().end())
            cr_assert_not(it.exchange->hosts().isLive(known->second, fleet.now), "at %s", it.id.value().c_str());
    }
}

Test(exchange, aHostThatStartsAnewIsKnownAgainAndKnowsTheOthers)
{
    Fleet fleet(3, 30, 0.02);
    fleet.useEachHost();
    fleet.run(Duration(4'000));
    Node& restarted = fleet.nodes[40];
    fleet.start(restarted);
    restarted.part.inFlight = 2;
    fleet.run(Duration(4'000));
    cr_assert_eq(restarted.part.load.at(UPSTREAM).inFlight, fleet.others(restarted), "%u, aggregator %d",
        restarted.part.load.at(UPSTREAM).inFlight, restarted.exchange->isAggregator());
    cr_assert_eq(fleet.wrong(), 0, "%d hosts are wrong, host 0 knows %u of %u", fleet.wrong(),
        fleet.nodes[0].part.load.at(UPSTREAM).inFlight, fleet.others(fleet.nodes[0]));
}

Test(exchange, allHostsStartedAnewAtOnceFindEachOther)
{
    Fleet fleet(5, 20, 0.05);
    fleet.run(Duration(4'000));
    for (Node& it : fleet.nodes)
        fleet.start(it);
    fleet.useEachHost();
    fleet.run(Duration(5'000));
    cr_assert_leq(fleet.wrong(), 3, "%d hosts are wrong", fleet.wrong());
}

Test(exchange, aDataCentreThatIsCutOffCountsNoLongerAndReturns)
{
    Fleet fleet(3, 20, 0);
    fleet.useEachHost();
    fleet.run(Duration(5'000));
    for (Node& it : fleet.nodes)
        it.up = it.dataCentre != DataCentreId("dc2");
    fleet.run(Duration(6'000));
    cr_assert_eq(fleet.wrong(), 0, "%d hosts are wrong while it is away", fleet.wrong());
    for (Node& it : fleet.nodes)
        it.up = true;
    fleet.run(Duration(6'000));
    cr_assert_eq(fleet.wrong(), 0, "%d hosts are wrong after its return", fleet.wrong());
}

Test(exchange, anAggregatorThatCanNotBeHeardIsReplaced)
{
    Fleet fleet(2, 30, 0);
    fleet.useEachHost();
    fleet.run(Duration(5'000));
    for (Node* it : fleet.aggregators())
        it->muted = true;
    fleet.run(Duration(7'000));
    int wrong = 0;
    for (const Node& it : fleet.nodes) {
        std::uint32_t audible = 0;
        for (const Node& other : fleet.nodes)
            audible += !other.muted && &other != &it ? 1 : 0;
        wrong += !it.muted && it.part.load.at(UPSTREAM).inFlight != audible ? 1 : 0;
    }
    cr_assert_eq(wrong, 0, "%d hosts are wrong", wrong);
}

// A change of the aggregator must not show answers that were counted before as new ones: they would make sound
// upstreams look bad.
Test(exchange, answersAreNotCountedAgainWhereAnotherAggregatorTakesOver)
{
    Fleet fleet(2, 30, 0);
    for (Node& it : fleet.nodes) {
        it.part.inFlight = 1;
        it.part.good = 1'000;
    }
    fleet.run(Duration(5'000));
    std::vector<std::uint64_t> before;
    for (const Node& it : fleet.nodes)
        before.push_back(it.part.goodHeard);
    for (Node* it : fleet.aggregators())
        it->up = false;
    fleet.run(Duration(6'000));
    for (std::size_t n = 0; n < fleet.nodes.size(); ++n)
        cr_assert_eq(fleet.nodes[n].part.goodHeard, before[n], "%s", fleet.nodes[n].id.value().c_str());
}

Test(exchange, fewHostsReportToEachOtherDirectly)
{
    Fleet fleet(3, 3, 0);
    fleet.useEachHost();
    fleet.run(Duration(1'000));
    cr_assert(fleet.aggregators().empty());
    cr_assert_eq(fleet.wrong(), 0);
}

// Pattern: all hosts of a large fleet start within the same moment, and each is named many others at once.
Test(exchange, theStartOfAllHostsDoesNotSendFromEachToEach)
{
    constexpr int HOSTS = 300;
    // Datagrams of one host in its first second, on average; all to all would be a multiple of the number of hosts.
    constexpr std::uint64_t MOST_EACH = 100;
    Fleet fleet(5, HOSTS / 5, 0);
    fleet.run(Duration(1'000));
    std::uint64_t sent = 0;
    for (const Node& it : fleet.nodes)
        sent += it.sent;
    cr_assert_leq(sent / HOSTS, MOST_EACH, "%zu datagrams a host", static_cast<std::size_t>(sent / HOSTS));
}
