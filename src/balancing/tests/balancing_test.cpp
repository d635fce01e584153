#include "fireflyhaven/balancing/balancer.h"

#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::balancing;

namespace {

constexpr TimePoint START { Duration(100'000) };
const ServiceName SERVICE("s");
const catalog::ModelName MODEL("m");
constexpr int HOSTS = 8;

// A catalog with upstreams u0, u1, ... in one data centre.
catalog::Catalog catalogOf(int upstreams, int slots = 64, Duration coldFor = {}, double warmupPerSecond = 14)
{
    catalog::Catalog it;
    it.onConfiguration({ .version = catalog::ConfigurationVersion(1),
        .services = { { .name = SERVICE, .maxConnections = 370, .warmupRequestsPerSecond = warmupPerSecond } } });
    for (int n = 0; n < upstreams; ++n) {
        it.onUpstream({ .id = UpstreamId("u" + std::to_string(n)),
                          .service = SERVICE,
                          .dataCentre = DataCentreId("dc0"),
                          .slots = slots,
                          .coldFor = coldFor },
            START);
    }
    return it;
}

Demand prompt(std::uint64_t subject, std::uint32_t shared, std::uint32_t own)
{
    return { .service = SERVICE,
        .model = MODEL,
        .promptTokens = shared + own,
        .promptParts
        = { { .id = PromptPartId(subject), .tokens = shared }, { .id = PromptPartId(~subject), .tokens = own } } };
}

struct Fixture {
    explicit Fixture(catalog::Catalog all)
        : catalog(std::move(all))
        , balancer(catalog, peers, { .ownDataCentre = DataCentreId("dc0"), .seed = 1 })
    {
    }

    UpstreamId sendTo(const Demand& demand, TimePoint now = START)
    {
        const auto ticket = balancer.send(demand, HOSTS, now);
        return ticket ? ticket->upstream : UpstreamId();
    }
    // Sends and ends with the outcome after the time given.
    UpstreamId call(const Demand& demand, SendOutcome outcome, TimePoint now, Duration firstToken = Duration(30))
    {
        auto ticket = balancer.send(demand, HOSTS, now);
        cr_assert(ticket.has_value());
        if (outcome == SendOutcome::Good)
            balancer.onFirstToken(*ticket, now + firstToken);
        balancer.onEnded(*ticket, outcome, now + firstToken);
        return ticket->upstream;
    }

    catalog::Catalog catalog;
    fleet::PeerLoad peers;
    Balancer balancer;
};

}

Test(latencymodel, findsTheLineThatSamplesFollow)
{
    LatencyModel model(30, 0.03);
    std::mt19937_64 random(3);
    for (int n = 0; n < 400; ++n) {
        const auto size = static_cast<double>(random() % 12'000);
        model.add(size, 12 + 0.05 * size + static_cast<double>(random() % 10));
    }
    cr_assert_float_eq(model.predict(10'000), 517, 10);
    cr_assert_float_eq(model.predict(100), 22, 10);
}

Test(latencymodel, holdsForEqualSizesToo)
{
    LatencyModel model(30, 0);
    for (int n = 0; n < 300; ++n)
        model.add(0, 80);
    cr_assert_float_eq(model.predict(0), 80, 1);
}

// Pattern: many requests about a few subjects (hot key).
Test(balancer, promptsOfOneSubjectStayTogetherUntilTheirUpstreamIsBusy)
{
    Fixture it(catalogOf(9));
    const UpstreamId home = it.call(prompt(7, 5000, 500), SendOutcome::Good, START);
    for (int n = 1; n < 10; ++n)
        cr_assert(it.call(prompt(7, 5000, 500), SendOutcome::Good, START + Duration(n * 500)) == home);
    std::map<UpstreamId, int> spread;
    for (int n = 0; n < 60; ++n)
        ++spread[it.sendTo(prompt(7, 5000, 500), START + Duration(6000))];
    cr_assert_gt(spread.size(), 4, "a burst about one subject spreads");
    cr_assert_lt(spread[home], 30);
}

// Pattern: several hosts choose at the same moment from equal knowledge (herding).
Test(balancer, hostsChooseTheSameHomeForASubjectWithoutTalking)
{
    const catalog::Catalog catalog = catalogOf(9);
    const fleet::PeerLoad none;
    std::map<std::uint64_t, UpstreamId> homes;
    for (std::uint64_t host = 0; host < 4; ++host) {
        Balancer balancer(catalog, none, { .ownDataCentre = DataCentreId("dc1"), .seed = host });
        for (std::uint64_t subject = 0; subject < 50; ++subject) {
            auto ticket = balancer.send(prompt(subject, 5000, 500), HOSTS, START);
            balancer.onEnded(*ticket, SendOutcome::Good, START);
            if (host == 0)
                homes[subject] = ticket->upstream;
            cr_assert(homes[subject] == ticket->upstream);
        }
    }
}

Test(balancer, workOfOtherHostsCountsAsSoonAsTheyReportIt)
{
    Fixture it(catalogOf(3));
    const Demand demand = prompt(7, 0, 800);
    const UpstreamId first = it.call(demand, SendOutcome::Good, START);
    fleet::HostReport report { .host = HostId("other"), .life = 1, .sequence = 1 };
    report.upstreams.items = { { .upstream = fleet::shortHashOf(first), .inFlight = 6, .pendingPrefillMs = 2000 } };
    it.peers.onReport(report, false);
    cr_assert(it.sendTo(demand) != first);
}

// Pattern: long prompts beside short ones.
Test(balancer, shortPromptsAvoidTheUpstreamThatReadsALongOne)
{
    Fixture it(catalogOf(3));
    const UpstreamId busy = it.sendTo(prompt(1, 0, 50'000));
    for (std::uint64_t n = 10; n < 30; ++n)
        cr_assert(it.call(prompt(n, 0, 100), SendOutcome::Good, START + Duration(10)) != busy);
}

// Pattern: upstream that fails part of its requests while its health check is good (grey).
Test(balancer, anUpstreamThatFailsIsLeftAndTriedAgainBySingleRequests)
{
    Fixture it(catalogOf(3));
    const Demand demand { .service = SERVICE };
    const UpstreamId grey("u1");
    int sentToGrey = 0;
    std::mt19937_64 random(5);
    TimePoint now = START;
    for (int n = 0; n < 400; ++n) {
        now += Duration(20);
        auto ticket = it.balancer.send(demand, HOSTS, now);
        const bool fails = ticket->upstream == grey && random() % 10 < 6;
        sentToGrey += ticket->upstream == grey ? 1 : 0;
        if (!fails)
            it.balancer.onFirstToken(*ticket, now + Duration(15));
        it.balancer.onEnded(*ticket, fails ? SendOutcome::Failed : SendOutcome::Good, now + Duration(15));
    }
    cr_assert_lt(sentToGrey, 40, "%d of 400, an even share is 133", sentToGrey);
    cr_assert_gt(sentToGrey, 2, "it is tried again");
}

Test(balancer, anUnreachableUpstreamIsLeftAtOnceAndComesBack)
{
    Fixture it(catalogOf(2));
    const Demand demand { .service = SERVICE };
    const UpstreamId dark = it.call(demand, SendOutcome::Unreachable, START);
    for (int n = 0; n < 20; ++n)
        cr_assert(it.call(demand, SendOutcome::Good, START + Duration(40 * n + 40)) != dark);
    bool back = false;
    for (int n = 0; n < 50; ++n)
        back = it.call(demand, SendOutcome::Good, START + Duration(2000 + 50 * n)) == dark || back;
    cr_assert(back);
}

Test(balancer, wherePartOfTheAnswersFailsEverywhereNobodyIsLeft)
{
    Fixture it(catalogOf(3));
    const Demand demand { .service = SERVICE };
    std::map<UpstreamId, int> spread;
    TimePoint now = START;
    for (int n = 0; n < 300; ++n) {
        now += Duration(20);
        ++spread[it.call(demand, n % 3 == 0 ? SendOutcome::Failed : SendOutcome::Good, now)];
    }
    for (const auto& [id, n] : spread)
        cr_assert_gt(n, 30, "%s got %d", id.value().c_str(), n);
    cr_assert_eq(spread.size(), 3);
}

// Pattern: an upstream that hangs: it takes requests and answers none.
Test(balancer, anUpstreamWithAnOverdueRequestIsAvoided)
{
    Fixture it(catalogOf(3));
    const Demand demand { .service = SERVICE };
    const UpstreamId hanging = it.sendTo(demand, START);
    const TimePoint later = START + Duration(1000);
    for (int n = 0; n < 20; ++n)
        cr_assert(it.call(demand, SendOutcome::Good, later + Duration(n * 40)) != hanging);
}

Test(balancer, aSlowUpstreamGetsLessAndRecovers)
{
    Fixture it(catalogOf(3));
    const Demand demand { .service = SERVICE };
    const UpstreamId slow("u2");
    const auto shareOfSlow = [&](TimePoint from, Duration timeOfSlow) {
        int n = 0;
        for (int k = 0; k < 100; ++k) {
            const TimePoint now = from + Duration(k * 40);
            auto ticket = it.balancer.send(demand, HOSTS, now);
            const Duration time = ticket->upstream == slow ? timeOfSlow : Duration(30);
            n += ticket->upstream == slow ? 1 : 0;
            it.balancer.onFirstToken(*ticket, now + time);
            it.balancer.onEnded(*ticket, SendOutcome::Good, now + time);
        }
        return n;
    };
    shareOfSlow(START, Duration(30));
    cr_assert_lt(shareOfSlow(START + Duration(5000), Duration(240)), 15);
    shareOfSlow(START + Duration(40'000), Duration(30));
    cr_assert_gt(shareOfSlow(START + Duration(60'000), Duration(30)), 15);
}

// Pattern: upstreams return cold, all hosts want to use them at once (cold return).
Test(balancer, allHostsTogetherStayUnderWhatAColdUpstreamBears)
{
    constexpr double BEARS = 14;
    constexpr int MANY_HOSTS = 66;
    const catalog::Catalog catalog = catalogOf(1, 64, Duration(20'000), BEARS);
    const fleet::PeerLoad none;
    std::vector<std::unique_ptr<Balancer>> hosts;
    for (std::uint64_t n = 0; n < MANY_HOSTS; ++n) {
        hosts.push_back(std::make_unique<Balancer>(
            catalog, none, BalancerOptions { .ownDataCentre = DataCentreId("dc0"), .seed = n * 77 }));
    }
    std::vector<TimePoint> sends;
    for (TimePoint now = START; now < START + Duration(15'000); now += Duration(5)) {
        for (const auto& host : hosts) {
            if (const auto ticket = host->send(prompt(1, 0, 100), MANY_HOSTS, now)) {
                host->onEnded(*ticket, SendOutcome::Good, now);
                sends.push_back(now);
            }
        }
    }
    std::size_t most = 0;
    for (const TimePoint from : sends) {
        const auto n = static_cast<std::size_t>(std::count_if(
            sends.begin(), sends.end(), [&](TimePoint t) { return t >= from && t < from + Duration(1000); }));
        most = std::max(most, n);
    }
    cr_assert_leq(most, static_cast<std::size_t>(BEARS * 1.5 + 5), "%zu in one second", most);
    cr_assert_gt(sends.size(), 80, "the upstream is used all the same");
}

Test(balancer, fullAndEvacuatedAndLeavingUpstreamsAreNotPicked)
{
    Fixture it(catalogOf(2, 4));
    const Demand demand { .service = SERVICE };
    for (int n = 0; n < 10; ++n)
        cr_assert(it.balancer.send(demand, HOSTS, START).has_value());
    cr_assert_not(it.balancer.send(demand, HOSTS, START).has_value(), "slots and queue of both are taken");
    cr_assert(it.balancer.isServable(demand, START, START));
    it.catalog.onEvacuation(DataCentreId("dc0"));
    cr_assert_not(it.balancer.isServable(demand, START, START));
}

Test(balancer, staysOnTheVersionAskedFor)
{
    Fixture it(catalogOf(3));
    it.catalog.onUpstream(
        { .id = UpstreamId("new"), .service = SERVICE, .version = catalog::SoftwareVersion("v2") }, START);
    Demand demand { .service = SERVICE };
    demand.onlyVersion = catalog::SoftwareVersion("v2");
    cr_assert(it.sendTo(demand) == UpstreamId("new"));
    demand.onlyVersion.reset();
    demand.notVersions = { catalog::SoftwareVersion("v2") };
    for (int n = 0; n < 10; ++n)
        cr_assert(it.sendTo(demand) != UpstreamId("new"));
}
