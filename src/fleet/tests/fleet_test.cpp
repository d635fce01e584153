#include "../internal/datagram.h"
#include "fireflyhaven/fleet/hosttable.h"
#include "fireflyhaven/fleet/peerload.h"

#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::fleet;

namespace {

constexpr std::uint16_t REPORT_LAYOUT = 0xF102;

constexpr TimePoint START { Duration(100'000) };

http::Endpoint address(int n) { return { .ip = "10.0.0." + std::to_string(n), .port = 7000 }; }

HostReport report(const std::string& host, std::uint64_t incarnation, std::uint32_t sequence)
{
    return { .host = HostId(host),
        .incarnation = incarnation,
        .sequence = sequence,
        .frontend = address(1),
        .acceptsRequests = true };
}

HostReport fullReport()
{
    HostReport it = report("h", 5, 9);
    it.dataCentre = DataCentreId("dc");
    it.reachesStore = true;
    it.upstreams.items = { { .upstream = 1, .inFlight = 2, .pendingPrefillMs = 3, .good = 4, .failed = 5 } };
    it.trials.items = { { .rollout = 6,
        .route = 60,
        .good = 7,
        .failed = 8,
        .goodUnderLoad = 80,
        .failedUnderLoad = 81,
        .badUpstreams = 9,
        .times = { .weight = 3, .sum = 1.5F, .sumOfSquares = 2, .sumOfSquaredWeights = 3 } } };
    it.rollouts.items = { { .rollout = 10, .ageMs = 11, .rejected = true, .completed = false } };
    it.sessions.items = { { .session = 12, .ageMs = 13, .onNewVersion = true } };
    it.gossipAddresses.items = { address(4) };
    return it;
}

}

Test(hostreport, encodeDecodeRoundTrip)
{
    const HostReport sent = fullReport();
    const auto received = decodeReport(encodeReport(sent));
    cr_assert(received.has_value());
    cr_assert(received->host == sent.host && received->incarnation == sent.incarnation
        && received->sequence == sent.sequence);
    cr_assert(received->frontend == sent.frontend && received->dataCentre == sent.dataCentre);
    cr_assert(received->upstreams == sent.upstreams && received->trials == sent.trials);
    cr_assert(received->rollouts == sent.rollouts && received->sessions == sent.sessions);
    cr_assert(received->gossipAddresses == sent.gossipAddresses);
}

Test(hostreport, damagedDatagramsDecodeSafely)
{
    const std::string whole = encodeReport(fullReport());
    // A report without its extension is one of an older build.
    const std::size_t withoutExtension = encodeDatagram(REPORT_LAYOUT, fullReport()).size();
    for (std::size_t n = 0; n < whole.size(); ++n)
        cr_assert_eq(decodeReport(whole.substr(0, n)).has_value(), n == withoutExtension, "cut to %zu bytes", n);
    std::mt19937_64 random(1);
    for (int n = 0; n < 5000; ++n) {
        std::string bytes = whole;
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes[random() % bytes.size()] = static_cast<char>(random());
        decodeReport(bytes);
    }
}

// Hosts of the build before and of this one run side by side during an upgrade.
Test(hostreport, olderBuildsReadReportsAndTheirReportsAreRead)
{
    HostReport sent = fullReport();
    sent.speeds.items = { UpstreamSpeed::of(1, 1.7, Duration(2500)) };
    sent.demands.items = { { .service = 2, .longPrompts = 300, .shortPrompts = 40 } };
    const auto byOlderBuild = decodeDatagram<HostReport>(REPORT_LAYOUT, encodeReport(sent));
    cr_assert(byOlderBuild && byOlderBuild->host == sent.host && byOlderBuild->upstreams == sent.upstreams);
    const auto fromOlderBuild = decodeReport(encodeDatagram(REPORT_LAYOUT, sent));
    cr_assert(fromOlderBuild && fromOlderBuild->gossipAddresses == sent.gossipAddresses);
    cr_assert(fromOlderBuild->speeds.items.empty() && fromOlderBuild->demands.items.empty());
}

Test(hostreport, extensionRoundTrip)
{
    HostReport sent = fullReport();
    sent.speeds.items = { UpstreamSpeed::of(1, 1.7, Duration(2500)), UpstreamSpeed::of(2, 0.7, Duration(9'999'999)) };
    sent.demands.items = { { .service = 2, .longPrompts = 300, .shortPrompts = 40 } };
    const auto received = decodeReport(encodeReport(sent));
    cr_assert(received && received->speeds == sent.speeds && received->demands == sent.demands);
    cr_assert_float_eq(received->speeds.items[0].workTimeFactor(), 1.7, 0.001);
    cr_assert(received->speeds.items[0].age() == Duration(2500));
    cr_assert(received->speeds.items[1].age() == Duration(6'553'500), "the largest age");
}

Test(hosttable, staleAndDuplicateReportsIgnored)
{
    HostTable table(HostId("self"));
    cr_assert(table.onReport(report("a", 2, 5), address(2), START).has_value());
    cr_assert_not(table.onReport(report("a", 2, 5), address(2), START).has_value(), "a duplicate report");
    cr_assert_not(table.onReport(report("a", 2, 4), address(2), START).has_value(), "a reordered report");
    cr_assert_not(table.onReport(report("a", 1, 9), address(2), START).has_value(), "an earlier incarnation");
    cr_assert(table.onReport(report("a", 3, 1), address(2), START).has_value(), "a new incarnation");
    cr_assert_not(table.onReport(report("self", 9, 9), address(3), START).has_value());
}

Test(hosttable, silentHostNotLiveButKeepsLimitShare)
{
    HostTable table(HostId("self"), { .livenessTimeout = Duration(2000), .shareRetention = Duration(12'000) });
    table.onReport(report("a", 1, 1), address(2), START);
    table.onAddress(HostId("b"), address(3), START);
    cr_assert_eq(table.live(START).size(), 1, "b is known only from its record in the store");
    cr_assert_eq(table.sharingHostCount(START), 3);
    cr_assert_eq(table.live(START + Duration(2000)).size(), 0);
    cr_assert_eq(table.sharingHostCount(START + Duration(11'999)), 3, "a silent host may still be sending");
    cr_assert_eq(table.sharingHostCount(START + Duration(12'000)), 1);
}

Test(hosttable, silentHostProbedThenRemoved)
{
    HostTable table(HostId("self"), { .livenessTimeout = Duration(2000), .addressRetention = Duration(60'000) });
    table.onReport(report("a", 1, 1), address(2), START);
    cr_assert_eq(table.reportTargets(8, START).size(), 1);
    const TimePoint later = START + Duration(10'000);
    cr_assert_eq(table.reportTargets(8, later).size(), 1);
    cr_assert_eq(table.reportTargets(8, later + Duration(100)).size(), 0);
    cr_assert_eq(table.reportTargets(8, later + Duration(1000)).size(), 1);
    table.removeExpired(START + Duration(59'999));
    cr_assert_eq(table.hosts().size(), 1);
    table.removeExpired(START + Duration(60'000));
    cr_assert(table.hosts().empty());
}

Test(hosttable, addressBelongsToLatestReporter)
{
    HostTable table(HostId("self"));
    table.onAddress(HostId("at 10.0.0.2:7000"), address(2), START);
    table.onReport(report("a", 1, 1), address(2), START);
    cr_assert_eq(table.hosts().size(), 1);
    cr_assert_eq(table.sharingHostCount(START), 2);
}

Test(hosttable, storedAddressDoesNotReplaceLiveOne)
{
    HostTable table(HostId("self"));
    table.onReport(report("a", 1, 1), address(2), START);
    table.onAddress(HostId("a"), address(9), START);
    cr_assert(table.hosts().at(HostId("a")).peerAddress == address(2));
    table.onAddress(HostId("a"), address(9), START + Duration(5000));
    cr_assert(
        table.hosts().at(HostId("a")).peerAddress == address(9), "a silent host takes its new address from the store");
}

Test(peerload, incrementalSumsMatchFullSums)
{
    std::mt19937_64 random(7);
    PeerLoad load;
    std::map<std::pair<std::string, ShortHash>, UpstreamCounters> expectedCounters;
    for (int n = 0; n < 3000; ++n) {
        HostReport it = report("h" + std::to_string(random() % 5), 1, 1);
        if (random() % 20 == 0) {
            load.onSilent(it.host);
            std::erase_if(expectedCounters, [&](const auto& e) { return e.first.first == it.host.value(); });
            continue;
        }
        for (int k = 0; k < 3; ++k) {
            const UpstreamCounters counters { .upstream = static_cast<ShortHash>(random() % 6),
                .inFlight = static_cast<std::uint16_t>(random() % 9),
                .pendingPrefillMs = static_cast<std::uint32_t>(random() % 500) };
            it.upstreams.items.push_back(counters);
            expectedCounters[{ it.host.value(), counters.upstream }] = counters;
        }
        load.onReport(it, false);
        for (ShortHash upstream = 0; upstream < 6; ++upstream) {
            PeerLoadSum expected;
            for (const auto& [key, counters] : expectedCounters) {
                if (key.second == upstream) {
                    expected.inFlight += counters.inFlight;
                    expected.pendingPrefillMs += counters.pendingPrefillMs;
                }
            }
            cr_assert_eq(load.at(upstream).inFlight, expected.inFlight);
            cr_assert_eq(load.at(upstream).pendingPrefillMs, expected.pendingPrefillMs);
        }
    }
}

Test(peerload, cumulativeCountersTolerateLostReports)
{
    PeerLoad load;
    HostReport it = report("a", 1, 1);
    it.upstreams.items = { { .upstream = 1, .good = 10, .failed = 2 } };
    cr_assert(load.onReport(it, false).empty(), "answers in the first report are the baseline");
    it.upstreams.items = { { .upstream = 1, .good = 15, .failed = 6 } };
    const auto answers = load.onReport(it, false);
    cr_assert_eq(answers.size(), 1);
    cr_assert_eq(answers[0].good, 5);
    cr_assert_eq(answers[0].failed, 4);
}

Test(rendezvous, removedHostMovesOnlyItsSubjects)
{
    std::vector<HostId> hosts;
    for (int n = 0; n < 9; ++n)
        hosts.emplace_back("h" + std::to_string(n));
    const HostId removed = hosts[4];
    std::vector<HostId> rest = hosts;
    rest.erase(rest.begin() + 4);
    int moved = 0;
    for (int n = 0; n < 1000; ++n) {
        const std::string subject = "s" + std::to_string(n);
        const HostId before = firstByRendezvous(hosts, subject);
        cr_assert(before == removed || before == firstByRendezvous(rest, subject));
        moved += before == removed ? 1 : 0;
    }
    cr_assert(moved > 60 && moved < 170);
}
