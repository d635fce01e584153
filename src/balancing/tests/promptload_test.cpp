#include "fireflyhaven/balancing/balancer.h"

#include <random>
#include <set>

#include <criterion/criterion.h>

// Long and short prompts from several hosts that do not see each other's prefills: reports arrive after these have
// ended.
using namespace fireflyhaven;
using namespace fireflyhaven::balancing;

namespace {

constexpr TimePoint START { Duration(100'000) };
const ServiceName SERVICE("s");
const catalog::ModelName MODEL("m");
constexpr int HOSTS = 6;
constexpr int UPSTREAMS = 24;
constexpr std::uint32_t LONG_PROMPT_TOKENS = 12'000;
// Prefill time of a long prompt at an upstream of usual speed.
constexpr Duration LONG_PREFILL { 400 };
constexpr Duration STEP { 10 };

catalog::Route route(const std::string& name, Duration target, int priority)
{
    catalog::Route it { .name = catalog::RouteName(name),
        .host = "h",
        .pathPrefix = "/" + name + "/",
        .kind = catalog::RouteKind::Streaming,
        .targetLatency = target,
        .priority = priority };
    it.services = { { .service = SERVICE } };
    return it;
}

catalog::Catalog deployment(Duration batchTarget)
{
    catalog::Service service { .name = SERVICE, .maxConnections = 1000 };
    service.engine = catalog::EngineProfile { .batchSlots = 12 };
    catalog::Catalog it;
    it.onConfiguration({ .version = catalog::ConfigurationVersion(1),
        .routes = { route("batch", batchTarget, 2), route("urgent", Duration(1000), 0) },
        .services = { service } });
    for (int n = 0; n < UPSTREAMS; ++n) {
        it.onUpstream({ .id = UpstreamId("u" + std::to_string(n)),
                          .service = SERVICE,
                          .dataCentre = DataCentreId("dc"),
                          .slots = 12 },
            START);
    }
    return it;
}

// Hosts that send prompts of both lengths, and what they meet.
class Load {
public:
    Load(Duration batchTarget, PromptDivision division, unsigned seed)
        : m_catalog(deployment(batchTarget))
        , m_random(seed)
    {
        for (int n = 0; n < HOSTS; ++n)
            m_hosts.push_back(std::make_unique<Balancer>(m_catalog, m_peers, m_limits,
                BalancerOptions { .ownDataCentre = DataCentreId("dc"),
                    .seed = seed * 100U + static_cast<unsigned>(n),
                    .promptDivision = division }));
    }

    // Sends prompts at these rates, in requests a second over all hosts.
    void run(double longRate, double shortRate, Duration duration)
    {
        const TimePoint end = m_now + duration;
        for (; m_now < end; m_now += STEP) {
            completeDue();
            for (const auto& host : m_hosts)
                host->expire(m_now);
            sendSome(longRate, LONG_PROMPT_TOKENS);
            sendSome(shortRate, 600);
        }
    }
    // Part of the short prompts that met the prefill of a long one, since the last call.
    double partDelayed()
    {
        const double part = static_cast<double>(m_delayed) / std::max(1, m_short);
        m_delayed = 0;
        m_short = 0;
        return part;
    }
    const Balancer& host(std::size_t n) const { return *m_hosts[n]; }

    std::set<UpstreamId> usedByShortPrompts;

private:
    struct Running {
        Balancer* host = nullptr;
        Ticket ticket;
        TimePoint firstTokenAt {};
    };

    void sendSome(double rate, std::uint32_t tokens)
    {
        std::poisson_distribution<int> arrivals(rate * static_cast<double>(STEP.count()) / 1000);
        for (int n = arrivals(m_random); n > 0; --n)
            send(tokens);
    }
    void send(std::uint32_t tokens)
    {
        Balancer& host = *m_hosts[m_random() % m_hosts.size()];
        const auto ticket
            = host.pickUpstream({ .service = SERVICE, .model = MODEL, .promptTokens = tokens }, HOSTS, m_now);
        if (!ticket)
            return;
        const bool isLong = tokens == LONG_PROMPT_TOKENS;
        TimePoint& busyUntil = m_busyUntil[ticket->upstream];
        if (!isLong) {
            ++m_short;
            usedByShortPrompts.insert(ticket->upstream);
            m_delayed += busyUntil > m_now ? 1 : 0;
        }
        busyUntil = std::max(busyUntil, m_now) + (isLong ? LONG_PREFILL : Duration(10));
        m_running.push_back({ .host = &host, .ticket = *ticket, .firstTokenAt = busyUntil });
    }
    void completeDue()
    {
        std::erase_if(m_running, [&](Running& it) {
            if (it.firstTokenAt > m_now)
                return false;
            it.host->onFirstToken(it.ticket, it.firstTokenAt);
            it.host->onEnded(it.ticket, SendOutcome::Succeeded, m_now);
            return true;
        });
    }

    const catalog::Catalog m_catalog;
    const fleet::PeerLoad m_peers;
    const ratelimit::LimitTable m_limits;
    std::mt19937 m_random;
    std::vector<std::unique_ptr<Balancer>> m_hosts;
    std::vector<Running> m_running;
    std::map<UpstreamId, TimePoint> m_busyUntil;
    TimePoint m_now = START;
    int m_short = 0;
    int m_delayed = 0;
};

double partDelayedInBurst(PromptDivision division, unsigned seed, Duration batchTarget = Duration(6000))
{
    Load it(batchTarget, division, seed);
    it.run(16, 30, Duration(10'000));
    it.partDelayed();
    it.run(40, 30, Duration(4000));
    it.run(16, 60, Duration(2000));
    return it.partDelayed();
}

}

// The load: a burst of long prompts at 2.5 times their rate, then of short urgent ones at twice theirs.
Test(promptLoad, shortPromptsDoNotWaitBehindABurstOfLongOnes)
{
    double divided = 0;
    double undivided = 0;
    constexpr int SEEDS = 20;
    for (unsigned seed = 1; seed <= SEEDS; ++seed) {
        divided += partDelayedInBurst(PromptDivision::WhereConfigured, seed) / SEEDS;
        undivided += partDelayedInBurst(PromptDivision::Never, seed) / SEEDS;
    }
    cr_assert_gt(undivided, 0.2, "%.3f of the short prompts wait without a division", undivided);
    cr_assert_lt(divided, 0.1, "%.3f of the short prompts wait", divided);
}

// Earlier deployments have no route that can give way, and upstreams that report no work times.
Test(promptLoad, nothingIsDividedWhereNoRouteCanGiveWay)
{
    Load it(Duration(3000), PromptDivision::WhereConfigured, 1);
    it.run(12, 30, Duration(5000));
    for (std::size_t n = 0; n < HOSTS; ++n)
        cr_assert(it.host(n).promptPartition().divided().empty());
}

Test(promptLoad, shortPromptsUseAllUpstreamsOnceNoLongOnesCome)
{
    Load it(Duration(6000), PromptDivision::WhereConfigured, 1);
    it.run(16, 30, Duration(5000));
    it.usedByShortPrompts.clear();
    it.run(0, 400, Duration(60'000));
    it.usedByShortPrompts.clear();
    it.run(0, 400, Duration(2000));
    cr_assert_eq(it.usedByShortPrompts.size(), UPSTREAMS);
}
