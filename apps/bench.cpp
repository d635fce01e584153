#include "fireflyhaven/cluster/clusterfold.h"
#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/membership/membershiptracker.h"
#include "fireflyhaven/ownership/ownertable.h"
#include "fireflyhaven/peer/heartbeatsocket.h"
#include "fireflyhaven/quality/badversiondetector.h"
#include "fireflyhaven/routing/chooser.h"
#include "fireflyhaven/routing/upstreampicker.h"
#include "fireflyhaven/settings/optionparser.h"

#include <malloc.h>
#include <time.h>

#include <iostream>
#include <random>

using namespace fireflyhaven;

namespace {

// CPU time of this process in milliseconds.
double cpuMs()
{
    timespec it {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &it);
    return static_cast<double>(it.tv_sec) * 1e3 + static_cast<double>(it.tv_nsec) / 1e6;
}

// Allocated heap memory in megabytes.
double heapMb() { return static_cast<double>(mallinfo2().uordblks) / 1e6; }

nlohmann::json makeLists(int dataCentres, int upstreams, int versions)
{
    nlohmann::json document;
    for (int n = 0; n < versions; ++n)
        document["versions"]["m" + std::to_string(n) + "@1"]
            = { { "state", "active" }, { "input_price", 1 }, { "output_price", 1 } };
    for (int n = 0; n < dataCentres; ++n)
        document["data_centres"]["dc" + std::to_string(n)] = { { "region", "r" + std::to_string(n % 7) } };
    for (int n = 0; n < upstreams; ++n) {
        document["upstreams"]["u" + std::to_string(n)] = { { "address", "10.0.0.1:80" },
            { "data_centre", "dc" + std::to_string(n % dataCentres) }, { "kind", "engine" },
            { "versions", { "m" + std::to_string(n % versions) + "@1" } }, { "cold_limit", 1 }, { "limit", 8 } };
    }
    return document;
}

cluster::Record makeRecord(std::uint64_t sequence, cluster::Entry entry)
{
    return { .id = { WriterId(1), sequence }, .writtenMs = 1, .entries = { std::move(entry) } };
}

// Measures one member of a region of `members` hosts that exchanges heartbeats with all others, without other work.
void benchMember(int members, int upstreams)
{
    constexpr int SECONDS = 60;
    const SecretKey key = SecretKey::fromText("a key for the benchmark").value();
    const RegionId region("r0");
    cluster::ClusterFold fold;
    std::uint64_t offset = 0;
    const auto append = [&](cluster::Entry entry) {
        ++offset;
        fold.apply(makeRecord(offset, std::move(entry)), Offset(offset));
    };
    append(cluster::ConfigEntry { config::diffLists({}, makeLists(24, upstreams, 12)) });
    for (int n = 0; n < members; ++n)
        append(membership::JoinEntry {
            .host = HostId("host" + std::to_string(n)), .dataCentre = DataCentreId("dc0"), .region = region });
    membership::AdmitEntry admit { .proof
        = { region, fold.membership().voters(region).changedAt, { HostId("host0") } } };
    for (int n = 1; n < members; ++n) {
        const HostId id("host" + std::to_string(n));
        admit.learners.push_back({ id, fold.membership().find(id)->incarnation });
    }
    append(admit);
    membership::ConfirmEntry confirm { .proof = { region, fold.membership().voters(region).changedAt, {} } };
    for (int n = 0; n < members; ++n)
        confirm.proof.witnesses.push_back(HostId("host" + std::to_string(n)));
    append(confirm);
    membership::MembershipTracker tracker({ .self = HostId("host0"), .region = region });
    TimePoint now { Duration(1000) };
    tracker.onFoldUpdated(fold.membership(), fold.offset(), fold.governingOffset(), now);
    membership::HostReport report { .appliedOffset = fold.offset(), .governingOffset = fold.governingOffset() };
    for (int n = 0; n < 15; ++n)
        report.loads.push_back({ .upstream = membership::shortIdOf("upstream" + std::to_string(n)), .inFlight = 3 });
    // The IP and UDP headers of each datagram count as traffic.
    constexpr std::uint64_t IP_UDP_HEADER_BYTES = 28;
    membership::HostReport partialReport = report;
    partialReport.loads.resize(4);
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    const double begin = cpuMs();
    for (std::uint64_t second = 1; second <= SECONDS; ++second) {
        for (int tick = 0; tick < 10; ++tick) {
            now += Duration(100);
            for (const membership::TrackerAction& action : tracker.tick(report, now)) {
                if (const auto* it = std::get_if<membership::SendHeartbeat>(&action)) {
                    bytes += peer::encodeHeartbeat(key, it->heartbeat).size() + IP_UDP_HEADER_BYTES;
                    ++messages;
                }
            }
        }
        for (int n = 1; n < members; ++n) {
            const HostId id("host" + std::to_string(n));
            const membership::Heartbeat heartbeat { .sender = { id, fold.membership().find(id)->incarnation },
                .sequence = second,
                .acknowledgedIncarnation = tracker.selfIncarnation().incarnation,
                .acknowledgedSequence = second,
                .report = partialReport };
            const std::string datagram = peer::encodeHeartbeat(key, heartbeat);
            bytes += datagram.size() + IP_UDP_HEADER_BYTES;
            ++messages;
            if (const auto received = peer::decodeHeartbeat(key, datagram))
                tracker.onHeartbeat(*received, now);
        }
    }
    // About a third of the measured time is spent on encoding the other members' heartbeats, which a real member does
    // not do.
    std::cout << "member of " << members << ": " << static_cast<double>(bytes) / SECONDS / 1000 << " KB/s, "
              << messages / SECONDS << " messages/s, " << (cpuMs() - begin) / SECONDS << " ms of CPU time per second ("
              << (cpuMs() - begin) / SECONDS / 10
              << " % of a core, including the encoding of the other members' heartbeats), " << heapMb()
              << " MB, may act as owner: " << tracker.mayActAsOwner(now) << "\n";
}

void benchFold()
{
    constexpr std::uint64_t RECORDS = 100'000;
    std::vector<std::string> texts;
    cluster::ClusterFold source;
    for (std::uint64_t n = 1; n <= RECORDS; ++n) {
        const std::string name = "dc" + std::to_string(n % 24);
        const auto* item = config::findItem(source.config().lists().dataCentres, DataCentreId(name));
        const config::Change change { config::Collection::DataCentres, name, item ? item->revision : Offset(0),
            { { "region", "r" }, { "in_service", n % 2 == 0 } } };
        const cluster::Record record = makeRecord(n, cluster::ConfigEntry { { change } });
        source.apply(record, Offset(n));
        texts.push_back(cluster::encodeRecord(record));
    }
    const double before = heapMb();
    double begin = cpuMs();
    cluster::ClusterFold fold;
    for (std::uint64_t n = 1; n <= RECORDS; ++n)
        fold.apply(*cluster::decodeRecord(texts[n - 1]), Offset(n));
    std::cout << "fold of 100,000 configuration records: " << cpuMs() - begin << " ms, " << heapMb() - before
              << " MB more\n";
    const cluster::SnapshotEntry snapshot = source.snapshot();
    const std::string text = cluster::encodeRecord(makeRecord(1, snapshot));
    begin = cpuMs();
    const auto decoded = cluster::decodeRecord(text);
    cluster::ClusterFold::fromSnapshot(std::get<cluster::SnapshotEntry>(decoded->entries[0]));
    std::cout << "restoring its snapshot (" << text.size() / 1000.0 << " KB): " << cpuMs() - begin << " ms\n";
}

void benchLargeState()
{
    const double before = heapMb();
    cluster::ClusterFold fold;
    fold.apply(makeRecord(1, cluster::ConfigEntry { config::diffLists({}, makeLists(24, 4900, 12)) }), Offset(1));
    std::cout << "lists with 4,900 upstreams: " << heapMb() - before << " MB\n";
    const std::string text = cluster::encodeRecord(makeRecord(2, fold.snapshot()));
    std::cout << "their snapshot: " << text.size() / 1000 << " KB\n";
    double begin = cpuMs();
    const config::Lists copy = fold.config().lists();
    std::cout << "copy of the lists for readers: " << cpuMs() - begin << " ms\n";
    for (std::uint64_t n = 0; n < 330; ++n) {
        fold.apply(makeRecord(n + 3,
                       membership::JoinEntry { .host = HostId("h" + std::to_string(n)),
                           .dataCentre = DataCentreId("dc" + std::to_string(n % 24)),
                           .region = RegionId("r" + std::to_string(n % 24 % 7)) }),
            Offset(n + 3));
    }
    begin = cpuMs();
    constexpr int ROUNDS = 20;
    ownership::OwnerTable owners;
    for (int n = 0; n < ROUNDS; ++n)
        owners.update(fold.config().lists(), fold.membership(), Offset(static_cast<std::uint64_t>(n)));
    std::cout << "assignment of 4,900 upstreams: " << (cpuMs() - begin) / ROUNDS << " ms\n";
}

void benchDecision()
{
    std::mt19937_64 random(1);
    std::vector<routing::Candidate> candidates;
    candidates.reserve(12);
    for (int n = 0; n < 12; ++n) {
        candidates.push_back({ .version = { "m" + std::to_string(n), "1" },
            .quality = 0.5 + 0.04 * n,
            .expectedCost = { 100 * (n + 1) },
            .firstToken = Duration(100),
            .total = Duration(500) });
    }
    std::vector<routing::UpstreamOption> options;
    options.reserve(4900 / 12);
    for (int n = 0; n < 4900 / 12; ++n)
        options.push_back({ .upstream = UpstreamId("u" + std::to_string(n)),
            .hash = random(),
            .inFlight = static_cast<std::uint32_t>(random() % 8),
            .limit = 8,
            .firstToken = Duration(100) });
    const routing::Requirements requirements {
        .qualityTarget = 0.9, .firstToken = Duration(2000), .total = Duration(5000)
    };
    const routing::RaterModel rater { .available = true };
    constexpr int ROUNDS = 2000;
    double begin = cpuMs();
    std::size_t chosen = 0;
    for (int n = 0; n < ROUNDS; ++n)
        chosen += routing::chooseCascade(candidates, requirements, rater).cascade.steps.size();
    std::cout << "choice among 12 versions: " << (cpuMs() - begin) * 1000 / ROUNDS << " us\n";
    begin = cpuMs();
    for (int n = 0; n < ROUNDS; ++n)
        chosen += routing::pickUpstream(options, random());
    std::cout << "choice among " << options.size() << " upstreams of a version: " << (cpuMs() - begin) * 1000 / ROUNDS
              << " us (" << chosen << ")\n";
}

// Compares the sequential test with a sliding window of 50 ratings: bad answers served until suspension, and false
// suspensions.
void benchDetector()
{
    constexpr int SEEDS = 500;
    constexpr int MAX_RATINGS = 5000;
    constexpr double QUALITY_TARGET = 0.9;
    const quality::RatingKey key { TaskName("t"), { "m", "1" } };
    const auto measure = [&](bool sequential, double goodShare) {
        double badServed = 0;
        int suspensions = 0;
        for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
            std::mt19937_64 random(seed);
            quality::BadVersionDetector detector;
            std::deque<bool> window;
            int bad = 0;
            for (int n = 0; n < MAX_RATINGS; ++n) {
                const bool good = std::uniform_real_distribution<double>(0, 1)(random) < goodShare;
                bad += good ? 0 : 1;
                window.push_back(good);
                if (window.size() > 50)
                    window.pop_front();
                const auto share = static_cast<double>(std::count(window.begin(), window.end(), true)) / 50;
                const bool suspend = sequential ? detector.onRatings(key, good ? 1 : 0, good ? 0 : 1, QUALITY_TARGET)
                                                : window.size() == 50 && share < QUALITY_TARGET - 0.1;
                if (suspend) {
                    ++suspensions;
                    break;
                }
            }
            badServed += bad;
        }
        return std::make_pair(badServed / SEEDS, suspensions);
    };
    for (const double share : { 0.3, 0.6, 0.75, 0.9, 0.95 }) {
        const auto [sequentialBad, sequentialSuspensions] = measure(true, share);
        const auto [windowBad, windowSuspensions] = measure(false, share);
        std::cout << "good share " << share << ", target 0.9: sequential test " << sequentialBad
                  << " answers rated bad, suspended " << sequentialSuspensions << "/" << SEEDS << "; window of 50 "
                  << windowBad << ", suspended " << windowSuspensions << "/" << SEEDS << "\n";
    }
}

// Counts the upstreams that change owner when a host leaves, compared with the minimum possible.
void benchMoves()
{
    constexpr int HOSTS = 47;
    cluster::ClusterFold fold;
    std::uint64_t offset = 1;
    fold.apply(
        makeRecord(offset, cluster::ConfigEntry { config::diffLists({}, makeLists(3, 700, 12)) }), Offset(offset));
    const RegionId region("r0");
    const auto apply = [&](cluster::Entry entry) {
        ++offset;
        fold.apply(makeRecord(offset, std::move(entry)), Offset(offset));
    };
    for (int n = 0; n < HOSTS; ++n)
        apply(membership::JoinEntry {
            .host = HostId("h" + std::to_string(n)), .dataCentre = DataCentreId("dc0"), .region = region });
    membership::AdmitEntry admit { .proof = { region, fold.membership().voters(region).changedAt, { HostId("h0") } } };
    for (int n = 1; n < HOSTS; ++n)
        admit.learners.push_back(
            { HostId("h" + std::to_string(n)), fold.membership().find(HostId("h" + std::to_string(n)))->incarnation });
    apply(admit);
    const auto before = ownership::assignOwners(fold.config().lists(), fold.membership());
    const HostId leavingHost("h7");
    apply(membership::LeaveEntry { { leavingHost, fold.membership().find(leavingHost)->incarnation } });
    const auto after = ownership::assignOwners(fold.config().lists(), fold.membership());
    int moved = 0;
    int minimumMoves = 0;
    for (const auto& [upstream, owner] : before) {
        moved += after.at(upstream) != owner ? 1 : 0;
        minimumMoves += owner == leavingHost ? 1 : 0;
    }
    std::cout << "one of " << HOSTS << " hosts leaves: " << moved << " of " << before.size()
              << " upstreams move, minimum possible " << minimumMoves << "\n";
}

}

int main(int argc, char** argv)
{
    long members = 0;
    const std::vector<settings::Option> options { { "members", "N", "Measure only one member of a region of N hosts.",
        settings::setInteger(members, 2, 1000) } };
    const settings::Usage usage { .program = "fireflyhaven-bench",
        .synopsis = "[--members=N]",
        .description = "Measures components on this machine; docs/CAPACITY.md is based on these figures." };
    return handleFailure(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(parsed, settings::parseOptions(argc, argv, usage, options));
            if (parsed.end != settings::ParseOutcome::Run)
                return 0;
            if (members > 0) {
                benchMember(static_cast<int>(members), 4900);
                return 0;
            }
            benchFold();
            benchLargeState();
            benchDecision();
            benchMoves();
            benchDetector();
            return 0;
        },
        [](const Failure& it) {
            std::cerr << "fireflyhaven-bench: " << it.message;
            return it.code == ErrorCode::InvalidArgument ? 2 : 1;
        });
}
