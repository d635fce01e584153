#include "fireflyhaven/balancing/balancer.h"

#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::balancing;

namespace {

constexpr TimePoint START { Duration(100'000) };
const ServiceName SERVICE("s");
const catalog::ModelName MODEL("m");
constexpr int HOST_COUNT = 8;

// Catalog of one service with upstreams u0, u1, ... in one data centre.
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

// A prompt with two parts, of which the first is shared by all prompts of the topic.
UpstreamRequirements promptRequirements(std::uint64_t topic, std::uint32_t sharedTokens, std::uint32_t ownTokens)
{
    return { .service = SERVICE,
        .model = MODEL,
        .promptTokens = sharedTokens + ownTokens,
        .promptParts = { { .id = PromptPartId(topic), .tokens = sharedTokens },
            { .id = PromptPartId(~topic), .tokens = ownTokens } } };
}

struct Fixture {
    explicit Fixture(catalog::Catalog all)
        : catalog(std::move(all))
        , balancer(catalog, peers, limits, { .ownDataCentre = DataCentreId("dc0"), .seed = 1 })
    {
    }

    UpstreamId pickFor(const UpstreamRequirements& requirements, TimePoint now = START)
    {
        const auto ticket = balancer.pickUpstream(requirements, HOST_COUNT, now);
        return ticket ? ticket->upstream : UpstreamId();
    }
    // Picks an upstream and completes the request there with the given outcome after `firstToken`.
    UpstreamId sendAndComplete(const UpstreamRequirements& requirements, SendOutcome outcome, TimePoint now,
        Duration firstToken = Duration(30))
    {
        auto ticket = balancer.pickUpstream(requirements, HOST_COUNT, now);
        cr_assert(ticket.has_value());
        if (outcome == SendOutcome::Succeeded)
            balancer.onFirstToken(*ticket, now + firstToken);
        balancer.onEnded(*ticket, outcome, now + firstToken);
        return ticket->upstream;
    }

    catalog::Catalog catalog;
    fleet::PeerLoad peers;
    ratelimit::LimitTable limits;
    Balancer balancer;
};

}

Test(latencymodel, fitsLinearSamples)
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

Test(latencymodel, fitsSamplesOfEqualSize)
{
    LatencyModel model(30, 0);
    for (int n = 0; n < 300; ++n)
        model.add(0, 80);
    cr_assert_float_eq(model.predict(0), 80, 1);
}

// Many requests have the same prompt prefix (hot key). Guards against spreading them at a low rate, which loses the
// benefit of the cached prefix, and against overloading one upstream in a burst.
Test(balancer, sharedPrefixStaysOnOneUpstreamUntilItIsBusy)
{
    Fixture it(catalogOf(9));
    const UpstreamId home = it.sendAndComplete(promptRequirements(7, 5000, 500), SendOutcome::Succeeded, START);
    for (int n = 1; n < 10; ++n)
        cr_assert(
            it.sendAndComplete(promptRequirements(7, 5000, 500), SendOutcome::Succeeded, START + Duration(n * 500))
            == home);
    std::map<UpstreamId, int> spread;
    for (int n = 0; n < 60; ++n)
        ++spread[it.pickFor(promptRequirements(7, 5000, 500), START + Duration(6000))];
    cr_assert_gt(spread.size(), 4, "a burst of requests with one prefix spreads over upstreams");
    cr_assert_lt(spread[home], 30);
}

// Several hosts choose at the same moment from the same load information (herding). Guards against them sending the
// same prompt prefix to different upstreams.
Test(balancer, hostsAgreeOnHomeUpstreamWithoutCommunication)
{
    const catalog::Catalog catalog = catalogOf(9);
    const fleet::PeerLoad noPeers;
    const ratelimit::LimitTable noLimits;
    std::map<std::uint64_t, UpstreamId> homes;
    for (std::uint64_t host = 0; host < 4; ++host) {
        Balancer balancer(catalog, noPeers, noLimits, { .ownDataCentre = DataCentreId("dc1"), .seed = host });
        for (std::uint64_t topic = 0; topic < 50; ++topic) {
            auto ticket = balancer.pickUpstream(promptRequirements(topic, 5000, 500), HOST_COUNT, START);
            balancer.onEnded(*ticket, SendOutcome::Succeeded, START);
            if (host == 0)
                homes[topic] = ticket->upstream;
            cr_assert(homes[topic] == ticket->upstream);
        }
    }
}

Test(balancer, peerLoadCountsOnceReported)
{
    Fixture it(catalogOf(3));
    const UpstreamRequirements requirements = promptRequirements(7, 0, 800);
    const UpstreamId first = it.sendAndComplete(requirements, SendOutcome::Succeeded, START);
    fleet::HostReport report { .host = HostId("other"), .incarnation = 1, .sequence = 1 };
    report.upstreams.items = { { .upstream = fleet::shortHashOf(first), .inFlight = 6, .pendingPrefillMs = 2000 } };
    it.peers.onReport(report, false);
    cr_assert(it.pickFor(requirements) != first);
}

// Guards against short prompts queueing behind the prefill of a long one.
Test(balancer, shortPromptsAvoidUpstreamPrefillingLongPrompt)
{
    Fixture it(catalogOf(3));
    const UpstreamId busy = it.pickFor(promptRequirements(1, 0, 50'000));
    for (std::uint64_t n = 10; n < 30; ++n)
        cr_assert(
            it.sendAndComplete(promptRequirements(n, 0, 100), SendOutcome::Succeeded, START + Duration(10)) != busy);
}

// Guards against a grey failure: an upstream fails part of its requests while its health check passes.
Test(balancer, partlyFailingUpstreamIsEjectedAndProbed)
{
    Fixture it(catalogOf(3));
    const UpstreamRequirements requirements { .service = SERVICE };
    const UpstreamId failing("u1");
    int sentToFailing = 0;
    std::mt19937_64 random(5);
    TimePoint now = START;
    for (int n = 0; n < 400; ++n) {
        now += Duration(20);
        auto ticket = it.balancer.pickUpstream(requirements, HOST_COUNT, now);
        const bool fails = ticket->upstream == failing && random() % 10 < 6;
        sentToFailing += ticket->upstream == failing ? 1 : 0;
        if (!fails)
            it.balancer.onFirstToken(*ticket, now + Duration(15));
        it.balancer.onEnded(*ticket, fails ? SendOutcome::Failed : SendOutcome::Succeeded, now + Duration(15));
    }
    cr_assert_lt(sentToFailing, 40, "failing upstream got %d of 400 requests; an even share is 133", sentToFailing);
    cr_assert_gt(sentToFailing, 2, "the ejected upstream is probed");
}

Test(balancer, unreachableUpstreamIsEjectedAtOnceAndReinstated)
{
    Fixture it(catalogOf(2));
    const UpstreamRequirements requirements { .service = SERVICE };
    const UpstreamId unreachable = it.sendAndComplete(requirements, SendOutcome::Unreachable, START);
    for (int n = 0; n < 20; ++n)
        cr_assert(
            it.sendAndComplete(requirements, SendOutcome::Succeeded, START + Duration(40 * n + 40)) != unreachable);
    bool back = false;
    for (int n = 0; n < 50; ++n)
        back = it.sendAndComplete(requirements, SendOutcome::Succeeded, START + Duration(2000 + 50 * n)) == unreachable
            || back;
    cr_assert(back);
}

// Guards against other hosts avoiding sound upstreams because of what a host that is cut off reports.
Test(balancer, unansweredAttemptsOfACutOffHostAreNotReported)
{
    const auto reportedFailures = [](Fixture& it, TimePoint now) {
        std::uint32_t failures = 0;
        it.balancer.expire(now);
        for (const fleet::UpstreamCounters& counters : it.balancer.counters(now))
            failures += counters.failed;
        return failures;
    };
    for (const SendOutcome outcome : { SendOutcome::Unanswered, SendOutcome::Unreachable }) {
        Fixture cutOff(catalogOf(2));
        cutOff.sendAndComplete({ .service = SERVICE }, outcome, START);
        cr_assert_eq(reportedFailures(cutOff, START + Duration(1000)), 0);
        cutOff.balancer.onCutOff();
        cr_assert_eq(reportedFailures(cutOff, START + Duration(5000)), 0);
        Fixture connected(catalogOf(2));
        connected.sendAndComplete({ .service = SERVICE }, outcome, START);
        cr_assert_eq(reportedFailures(connected, START + Duration(2000)), 1, "failures of upstreams are still told");
    }
    Fixture answered(catalogOf(2));
    answered.sendAndComplete({ .service = SERVICE }, SendOutcome::Failed, START);
    cr_assert_eq(reportedFailures(answered, START + Duration(50)), 1, "an error is an answer");
}

Test(balancer, evenFailureRatioEjectsNoUpstream)
{
    Fixture it(catalogOf(3));
    const UpstreamRequirements requirements { .service = SERVICE };
    std::map<UpstreamId, int> spread;
    TimePoint now = START;
    for (int n = 0; n < 300; ++n) {
        now += Duration(20);
        ++spread[it.sendAndComplete(requirements, n % 3 == 0 ? SendOutcome::Failed : SendOutcome::Succeeded, now)];
    }
    for (const auto& [id, n] : spread)
        cr_assert_gt(n, 30, "%s got %d requests", id.value().c_str(), n);
    cr_assert_eq(spread.size(), 3);
}

// Guards against a hanging upstream, which accepts requests and answers none.
Test(balancer, upstreamWithOverdueRequestIsAvoided)
{
    Fixture it(catalogOf(3));
    const UpstreamRequirements requirements { .service = SERVICE };
    const UpstreamId hanging = it.pickFor(requirements, START);
    const TimePoint later = START + Duration(1000);
    for (int n = 0; n < 20; ++n)
        cr_assert(it.sendAndComplete(requirements, SendOutcome::Succeeded, later + Duration(n * 40)) != hanging);
}

Test(balancer, slowUpstreamGetsFewerRequestsUntilItRecovers)
{
    Fixture it(catalogOf(3));
    const UpstreamRequirements requirements { .service = SERVICE };
    const UpstreamId slow("u2");
    const auto shareOfSlow = [&](TimePoint from, Duration timeOfSlow) {
        int n = 0;
        for (int k = 0; k < 100; ++k) {
            const TimePoint now = from + Duration(k * 40);
            auto ticket = it.balancer.pickUpstream(requirements, HOST_COUNT, now);
            const Duration time = ticket->upstream == slow ? timeOfSlow : Duration(30);
            n += ticket->upstream == slow ? 1 : 0;
            it.balancer.onFirstToken(*ticket, now + time);
            it.balancer.onEnded(*ticket, SendOutcome::Succeeded, now + time);
        }
        return n;
    };
    shareOfSlow(START, Duration(30));
    cr_assert_lt(shareOfSlow(START + Duration(5000), Duration(240)), 15);
    shareOfSlow(START + Duration(40'000), Duration(30));
    cr_assert_gt(shareOfSlow(START + Duration(60'000), Duration(30)), 15);
}

// Guards against overloading an upstream that returns in cold start, when all hosts send to it at once.
Test(balancer, hostsTogetherStayBelowColdStartRate)
{
    constexpr double COLD_START_RATE_PER_SECOND = 14;
    constexpr int MANY_HOSTS = 66;
    const catalog::Catalog catalog = catalogOf(1, 64, Duration(20'000), COLD_START_RATE_PER_SECOND);
    const fleet::PeerLoad noPeers;
    const ratelimit::LimitTable noLimits;
    std::vector<std::unique_ptr<Balancer>> hosts;
    for (std::uint64_t n = 0; n < MANY_HOSTS; ++n) {
        hosts.push_back(std::make_unique<Balancer>(
            catalog, noPeers, noLimits, BalancerOptions { .ownDataCentre = DataCentreId("dc0"), .seed = n * 77 }));
    }
    std::vector<TimePoint> sends;
    for (TimePoint now = START; now < START + Duration(15'000); now += Duration(5)) {
        for (const auto& host : hosts) {
            if (const auto ticket = host->pickUpstream(promptRequirements(1, 0, 100), MANY_HOSTS, now)) {
                host->onEnded(*ticket, SendOutcome::Succeeded, now);
                sends.push_back(now);
            }
        }
    }
    std::size_t maxInOneSecond = 0;
    for (const TimePoint from : sends) {
        const auto n = static_cast<std::size_t>(std::count_if(
            sends.begin(), sends.end(), [&](TimePoint t) { return t >= from && t < from + Duration(1000); }));
        maxInOneSecond = std::max(maxInOneSecond, n);
    }
    cr_assert_leq(maxInOneSecond, static_cast<std::size_t>(COLD_START_RATE_PER_SECOND * 1.5 + 5),
        "%zu requests in one second", maxInOneSecond);
    cr_assert_gt(sends.size(), 80, "the upstream is still used");
}

Test(balancer, fullAndEvacuatedUpstreamsAreNotPicked)
{
    Fixture it(catalogOf(2, 4));
    const UpstreamRequirements requirements { .service = SERVICE };
    for (int n = 0; n < 10; ++n)
        cr_assert(it.balancer.pickUpstream(requirements, HOST_COUNT, START).has_value());
    cr_assert_not(it.balancer.pickUpstream(requirements, HOST_COUNT, START).has_value(),
        "slots and queue of both upstreams are full");
    cr_assert(it.balancer.isServable(requirements, START, START));
    it.catalog.onEvacuation(DataCentreId("dc0"));
    cr_assert_not(it.balancer.isServable(requirements, START, START));
}

Test(balancer, requiredAndExcludedVersionsAreRespected)
{
    Fixture it(catalogOf(3));
    it.catalog.onUpstream(
        { .id = UpstreamId("new"), .service = SERVICE, .version = catalog::SoftwareVersion("v2") }, START);
    UpstreamRequirements requirements { .service = SERVICE };
    requirements.requiredVersion = catalog::SoftwareVersion("v2");
    cr_assert(it.pickFor(requirements) == UpstreamId("new"));
    requirements.requiredVersion.reset();
    requirements.excludedVersions = { catalog::SoftwareVersion("v2") };
    for (int n = 0; n < 10; ++n)
        cr_assert(it.pickFor(requirements) != UpstreamId("new"));
}
