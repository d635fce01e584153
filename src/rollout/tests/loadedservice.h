#pragma once

#include "rolloutfixture.h"

// Roll-outs on upstreams whose load the requests make up.
namespace fireflyhaven::rollout::test {

// Requests of 1.5 s each, on eight upstreams per version with `slots` slots each.
class LoadedService {
public:
    explicit LoadedService(Deployment& deployment, int slots = 64)
        : m_deployment(deployment)
        , m_slots(slots)
    {
    }

    // Updates each host with the capacity and the in-flight requests at the upstream under load test.
    void updateCapacity(TimePoint now)
    {
        endRequests(now);
        for (std::size_t host = 0; host < HOSTS; ++host) {
            m_deployment.controller(host).onCapacity(SERVICE,
                { .newSlots = 8 * m_slots,
                    .oldSlots = 8 * m_slots,
                    .newUpstreams = 8,
                    .provingUpstream = UpstreamId("n" + std::to_string(m_proving)),
                    .provingSlots = m_slots,
                    .provingInFlight = inFlight("n" + std::to_string(m_proving)),
                    .inFlight = static_cast<int>(m_running.size()),
                    .newInFlight = static_cast<int>(std::count_if(m_running.begin(), m_running.end(),
                        [](const Running& it) { return it.answer.version == NEW; })) });
        }
    }

    // Sends a request through the host. Half of the new version's answers fail where the upstream's load is at least
    // `failsAbove`.
    void request(std::size_t host, std::uint64_t session, TimePoint now, double failsAbove)
    {
        RolloutController& controller = m_deployment.controller(host);
        const VersionConstraint constraint
            = controller.constraintFor(SERVICE, session, RequestProfile::ShortPrefillLongDecode, now);
        const bool onNew = constraint.requiredVersion == NEW;
        const std::string any = std::to_string(m_deployment.random()() % 8);
        const std::string upstream
            = constraint.requiredUpstream ? constraint.requiredUpstream->value() : (onNew ? "n" : "o") + any;
        const double load = static_cast<double>(inFlight(upstream) + 1) / m_slots;
        const bool fails = onNew && load >= failsAbove && m_deployment.random()() % 2 == 0;
        controller.onSessionUsed(SERVICE, session, onNew ? NEW : OLD, now);
        m_running.push_back({ .host = host,
            .until = now + Duration(1500),
            .answer = { .service = SERVICE,
                .route = ROUTE,
                .version = onNew ? NEW : OLD,
                .upstream = UpstreamId(upstream),
                .kind = fails ? AnswerKind::Failed : AnswerKind::Good,
                .load = load } });
        // A failing upstream is taken out of use, and the load test continues at the next one.
        m_failures += fails ? 1 : 0;
        if (m_failures >= 3) {
            m_failures = 0;
            ++m_proving;
        }
        onNewCount += onNew ? 1 : 0;
        ++count;
    }

    static constexpr std::size_t HOSTS = 8;
    int onNewCount = 0;
    int count = 0;

private:
    struct Running {
        std::size_t host = 0;
        TimePoint until {};
        AnswerSample answer;
    };

    // Hands the answers that are due to the hosts that wait for them.
    void endRequests(TimePoint now)
    {
        for (const Running& it : m_running) {
            if (it.until > now)
                continue;
            m_deployment.controller(it.host).onAnswer(it.answer, now);
            m_deployment.onAnswered(it.host, it.answer.version);
        }
        std::erase_if(m_running, [&](const Running& it) { return it.until <= now; });
    }

    int inFlight(const std::string& upstream) const
    {
        return static_cast<int>(std::count_if(m_running.begin(), m_running.end(),
            [&](const Running& it) { return it.answer.upstream == UpstreamId(upstream); }));
    }

    Deployment& m_deployment;
    const int m_slots;
    std::vector<Running> m_running;
    int m_proving = 0;
    int m_failures = 0;
};

// Sends 45 requests per second for the duration of the order.
inline LoadedService runRolloutUnderLoad(Deployment& it, double failsAbove, int slots = 64)
{
    LoadedService service(it, slots);
    it.order();
    for (TimePoint now = START; now < START + ORDER_TIME; now += Duration(22)) {
        if ((now - START).count() % 110 == 0)
            service.updateCapacity(now);
        if ((now - START).count() % 220 == 0)
            it.exchangeReports(now);
        const std::uint64_t session = (it.random()() % 400) * 7919 + 1;
        const std::size_t host = it.random()() % LoadedService::HOSTS;
        service.request(host, session, now, failsAbove);
    }
    return service;
}

}
