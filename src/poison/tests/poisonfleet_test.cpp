#include "fireflyhaven/poison/poisonguard.h"

#include <deque>
#include <memory>
#include <random>

#include <criterion/criterion.h>

// Simulates many hosts on a virtual clock and a lossy network. Each crash is seen by another host; all hosts must
// refuse the part soon after the crash that convicts it, and the notices must stay few.
using namespace fireflyhaven;
using namespace fireflyhaven::poison;

namespace {

constexpr TimePoint START { Duration(1'000'000) };
constexpr Duration STEP { 100 };
const PromptPartId FIRST(1);
const PromptPartId DEADLY(0xdead);

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

struct SimulatedHost {
    HostId id;
    DataCentreId dataCentre;
    http::Endpoint address;
    std::uint64_t incarnation = 1;
    NoReports reports;
    std::unique_ptr<PoisonGuard> guard;
    std::unique_ptr<fleet::Exchange> exchange;
    std::unique_ptr<fleet::PoisonExchange> poisonExchange;
    std::uint64_t noticeBytes = 0;
    // Notices that arrive in the next step.
    std::deque<std::string> inbox;
};

class SimulatedFleet {
public:
    SimulatedFleet(std::size_t dataCentres, std::size_t hostsInEach, double loss)
        : hosts(dataCentres * hostsInEach)
        , m_loss(loss)
    {
        for (std::size_t n = 0; n < hosts.size(); ++n) {
            SimulatedHost& it = hosts[n];
            const std::string dataCentre = std::to_string(n % dataCentres);
            it.id = HostId("host-" + std::to_string(n));
            it.dataCentre = DataCentreId("dc" + dataCentre);
            it.address = { .ip = "10." + dataCentre + ".0." + std::to_string(n / dataCentres + 1), .port = 7000 };
        }
        for (SimulatedHost& it : hosts)
            start(it);
    }

    void start(SimulatedHost& it)
    {
        fleet::ExchangeOptions options { .self = it.id,
            .dataCentre = it.dataCentre,
            .frontend = { .ip = it.address.ip, .port = 80 },
            .peerAddress = it.address,
            .capacity = 250,
            .incarnation = it.incarnation++ };
        for (std::size_t n = 0; n < 3; ++n)
            options.seeds.push_back(hosts[n].address);
        it.guard = std::make_unique<PoisonGuard>(it.id);
        it.exchange = std::make_unique<fleet::Exchange>(options, it.reports);
        it.poisonExchange = std::make_unique<fleet::PoisonExchange>(*it.exchange, *it.guard);
    }

    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += STEP) {
            ++m_steps;
            for (SimulatedHost& it : hosts) {
                for (const std::string& bytes : std::exchange(it.inbox, {}))
                    it.poisonExchange->onDatagram(bytes, now);
            }
            for (SimulatedHost& it : hosts) {
                // Reports go out in every second step.
                if (m_steps % 2 == 0) {
                    deliverReports(it, it.exchange->tick(now));
                    sendNotices(it, it.poisonExchange->tick(now));
                }
                it.guard->tick(now);
                if (it.guard->takeNews())
                    sendNotices(it, it.poisonExchange->sendNotices(now));
            }
        }
    }
    // A request with the deadly part at this host crashes an upstream.
    void crash(SimulatedHost& it, std::uint32_t upstream)
    {
        const AttemptNumber number(++m_lastAttempt);
        const ratelimit::UpstreamIncarnation incarnation { .upstream = upstream };
        it.guard->onSent(number, incarnation, { .parts = { FIRST, DEADLY, PromptPartId(1000 + m_lastAttempt) } }, now);
        it.guard->onAnswerBegun(number, now);
        it.guard->onConnectionLost(number, incarnation, now + Duration(50));
        it.guard->onCrashChecked(incarnation, true, now + Duration(50));
    }
    std::size_t refusingHosts()
    {
        return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [this](SimulatedHost& it) {
            return it.guard->refusalOf({ .parts = { FIRST, DEADLY, PromptPartId(5) } }, now).has_value();
        }));
    }

    TimePoint now = START;
    std::vector<SimulatedHost> hosts;

private:
    bool isLost() { return std::uniform_real_distribution<>(0, 1)(m_random) < m_loss; }
    SimulatedHost* at(const http::Endpoint& address)
    {
        const auto it = std::find_if(
            hosts.begin(), hosts.end(), [&](const SimulatedHost& host) { return host.address == address; });
        return it == hosts.end() ? nullptr : &*it;
    }
    void deliverReports(SimulatedHost& from, const std::vector<fleet::Datagram>& datagrams)
    {
        for (const fleet::Datagram& it : datagrams) {
            SimulatedHost* to = at(it.to);
            if (!to || isLost())
                continue;
            bool unreadable = false;
            deliverReports(*to, to->exchange->onDatagram(it.bytes, from.address, now, unreadable));
        }
    }
    void sendNotices(SimulatedHost& from, const std::vector<fleet::Datagram>& datagrams)
    {
        for (const fleet::Datagram& it : datagrams) {
            from.noticeBytes += it.bytes.size();
            SimulatedHost* to = at(it.to);
            if (to && !isLost())
                to->inbox.push_back(it.bytes);
        }
    }

    const double m_loss;
    std::mt19937_64 m_random { 7 };
    std::uint64_t m_steps = 0;
    std::uint64_t m_lastAttempt = 0;
};

// The verdict must be known everywhere this long after the crash that convicts the part; the users' rule grants the
// shortest `contact_ms` of all deployments, 3 s, after the fifth crash.
constexpr Duration MAX_SPREAD { 3000 };
// A host sends at most this many bytes of notices a second while there is a verdict.
constexpr double MAX_NOTICE_BYTES_PER_SECOND = 18'000;

void checkFleet(std::size_t dataCentres, std::size_t hostsInEach)
{
    SimulatedFleet it(dataCentres, hostsInEach, 0.02);
    it.run(Duration(6000));
    for (std::uint32_t n = 1; n <= 5; ++n) {
        // Crashes at hosts of different data centres, none of which sees a second one.
        it.crash(it.hosts[n * 7 % it.hosts.size()], n);
        it.run(Duration(500));
    }
    for (SimulatedHost& host : it.hosts)
        host.noticeBytes = 0;
    constexpr Duration SETTLE { 1500 };
    it.run(SETTLE);
    cr_assert_eq(
        it.refusingHosts(), it.hosts.size(), "%zu of %zu hosts refuse the part", it.refusingHosts(), it.hosts.size());
    static_assert(SETTLE < MAX_SPREAD);
    std::uint64_t most = 0;
    for (const SimulatedHost& host : it.hosts)
        most = std::max(most, host.noticeBytes);
    const double perSecond = static_cast<double>(most) / std::chrono::duration<double>(SETTLE).count();
    cr_log_info("%zu hosts: %.0f bytes of notices a second at the busiest host", it.hosts.size(), perSecond);
    cr_assert_lt(perSecond, MAX_NOTICE_BYTES_PER_SECOND);

    it.start(it.hosts.back());
    it.run(Duration(3000));
    cr_assert_eq(it.refusingHosts(), it.hosts.size(), "a restarted host learns the verdict");
}

}

Test(poisonFleet, verdictReachesAllHostsInFlatTopology) { checkFleet(3, 3); }

Test(poisonFleet, verdictReachesAllHostsInLayeredTopology) { checkFleet(3, 22); }

Test(poisonFleet, verdictReachesAllHostsAt295, .timeout = 60) { checkFleet(5, 59); }
