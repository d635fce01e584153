#include "fireflyhaven/poison/crashevidence.h"

#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::poison;
using fleet::NoticeSource;

namespace {

constexpr TimePoint START { Duration(1'000'000) };
const PromptPartId DEADLY(0xdead);
const PromptPartId SHARED_BY_ALL(0xa11);
const absl::flat_hash_set<PromptPartId> NONE_CONVICTED;

fleet::CrashReport crash(std::uint32_t upstream, const std::vector<PromptPartId>& parts, const char* reporter = "h")
{
    fleet::CrashReport it { .reporter = HostId(reporter), .upstream = upstream };
    for (std::size_t n = 0; n < parts.size(); ++n)
        it.parts.items.push_back({ .part = parts[n], .position = static_cast<std::uint8_t>(n) });
    return it;
}

// Crashes under the deadly part, one a second, each with `inFlight` requests at the upstream: one with the deadly part,
// the others with a part of their own. Where `innocentsAreRepeated`, each innocent part is answered half a second
// later. All hold one shared part that is answered all the time. Returns the crashes until the verdict.
struct Simulation {
    std::size_t inFlight = 1;
    bool innocentsAreRepeated = false;
    std::uint64_t seed = 1;
    // Whether the verdict fell on an innocent part.
    bool wrong = false;

    int crashesUntilVerdict()
    {
        std::mt19937_64 random(seed);
        CrashEvidence evidence;
        // Innocent parts that no answer has cleared; some of their requests are in flight at later crashes too.
        std::vector<PromptPartId> innocents;
        for (std::uint64_t n = 0; n < 4 * inFlight; ++n)
            innocents.emplace_back(1'000 + n);
        constexpr int MOST = 20;
        for (int n = 1; n <= MOST; ++n) {
            const TimePoint now = START + Duration(1000) * n;
            evidence.onAnswered(SHARED_BY_ALL, now - Duration(50), NoticeSource::ThisHost, now);
            std::shuffle(innocents.begin(), innocents.end(), random);
            std::vector<PromptPartId> inFlightParts { SHARED_BY_ALL, DEADLY };
            inFlightParts.insert(
                inFlightParts.end(), innocents.begin(), innocents.begin() + static_cast<std::ptrdiff_t>(inFlight - 1));
            evidence.onCrash(crash(static_cast<std::uint32_t>(n), inFlightParts), NoticeSource::ThisHost, now);
            const TimePoint later = now + Duration(500);
            evidence.onAnswered(SHARED_BY_ALL, later, NoticeSource::ThisHost, later);
            for (std::size_t k = 2; innocentsAreRepeated && k < inFlightParts.size(); ++k)
                evidence.onAnswered(inFlightParts[k], later, NoticeSource::ThisHost, later);
            if (const auto culprit = evidence.findCulprit(NONE_CONVICTED)) {
                wrong = culprit->part != DEADLY;
                return n;
            }
        }
        return MOST + 1;
    }
};

}

// The design note states these numbers.
Test(crashEvidence, numberOfCrashesGrowsWithRequestsInFlight)
{
    cr_assert(requiredCrashes(1) == 3 && requiredCrashes(3) == 3);
    cr_assert(requiredCrashes(10) == 4);
    cr_assert(requiredCrashes(60) == 6);
}

// Each innocent part is in one crash of four, as the rule assumes; it allows one verdict of twenty to be wrong.
Test(crashEvidence, deadlyPartIsConvictedWithOneTenAndSixtyRequestsInFlight)
{
    constexpr int SEEDS = 200;
    constexpr int MAX_WRONG = SEEDS / 20;
    for (const std::size_t inFlight : { 1, 10, 60 }) {
        for (const bool repeated : { false, true }) {
            int wrong = 0;
            // One more crash is needed where an innocent part is in the same crashes.
            const int most = repeated || inFlight == 1 ? 3 : requiredCrashes(inFlight) + 1;
            for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
                Simulation it { .inFlight = inFlight, .innocentsAreRepeated = repeated, .seed = seed };
                const int crashes = it.crashesUntilVerdict();
                cr_assert_leq(crashes, most, "%zu in flight, seed %lu: %d crashes", inFlight, seed, crashes);
                wrong += it.wrong ? 1 : 0;
            }
            cr_log_info("%zu in flight, repeated %d: %d of %d wrong", inFlight, repeated, wrong, SEEDS);
            cr_assert_leq(wrong, repeated ? 0 : MAX_WRONG);
        }
    }
}

// Guards against refusing sound requests because upstreams fail for another reason.
Test(crashEvidence, partIsNotConvictedByCrashesAtOneMoment)
{
    CrashEvidence evidence;
    for (std::uint32_t upstream = 1; upstream <= 18; ++upstream)
        evidence.onCrash(crash(upstream, { SHARED_BY_ALL, PromptPartId(upstream) }), NoticeSource::ThisHost,
            START + Duration(5) * upstream);
    cr_assert(!evidence.findCulprit(NONE_CONVICTED));
}

// Guards against refusing all requests of a route, whose first part every crash implicates.
Test(crashEvidence, partThatIsAnsweredBetweenCrashesIsNotConvicted)
{
    CrashEvidence evidence;
    for (std::uint32_t n = 1; n <= 18; ++n) {
        const TimePoint now = START + Duration(400) * n;
        evidence.onCrash(crash(n, { SHARED_BY_ALL, PromptPartId(n) }), NoticeSource::ThisHost, now);
        cr_assert(!evidence.findCulprit(NONE_CONVICTED), "crash %u", n);
        evidence.onAnswered(SHARED_BY_ALL, now + Duration(100), NoticeSource::OwnDataCentre, now + Duration(150));
    }
}

// Guards against blaming the rarest part of the requests for crashes that most requests without it meet too.
Test(crashEvidence, partThatExplainsFewCrashesIsNotConvicted)
{
    CrashEvidence evidence;
    const PromptPartId unlucky(7);
    for (std::uint32_t n = 1; n <= 16; ++n) {
        const bool hit = n % 5 == 1;
        evidence.onCrash(
            crash(n, { hit ? unlucky : PromptPartId(100 + n) }), NoticeSource::ThisHost, START + Duration(400) * n);
    }
    cr_assert(!evidence.findCulprit(NONE_CONVICTED));
}

// Guards against convicting parts by the lost connections of a host that is cut off from sound upstreams.
Test(crashEvidence, crashIsWithdrawnWhenTheUpstreamAnswersALaterRequest)
{
    CrashEvidence evidence;
    for (std::uint32_t n = 1; n <= 5; ++n) {
        const TimePoint now = START + Duration(800) * n;
        evidence.onCrash(crash(n, { DEADLY }), NoticeSource::OtherDataCentre, now);
        const bool withdrawn
            = evidence.onSignOfLife({ .upstream = n, .sentAgeMs = 100 }, NoticeSource::ThisHost, now + Duration(300));
        cr_assert(withdrawn && evidence.crashes() == 0);
    }
    cr_assert(!evidence.findCulprit(NONE_CONVICTED));
}

Test(crashEvidence, answerToAnEarlierRequestWithdrawsNothing)
{
    CrashEvidence evidence;
    evidence.onCrash(crash(1, { DEADLY }), NoticeSource::ThisHost, START);
    cr_assert(
        !evidence.onSignOfLife({ .upstream = 1, .sentAgeMs = 400 }, NoticeSource::ThisHost, START + Duration(300)));
    cr_assert(evidence.crashes() == 1);
}

Test(crashEvidence, lossesOfSeveralHostsAtOneUpstreamAreOneCrash)
{
    CrashEvidence evidence;
    for (const char* host : { "a", "b", "c", "d" })
        evidence.onCrash(crash(1, { DEADLY }, host), NoticeSource::ThisHost, START);
    cr_assert(!evidence.findCulprit(NONE_CONVICTED));
}

// Guards against refusing the requests that share a document with the deadly ones.
Test(crashEvidence, partWithEarlierAnswersIsNotBlamedForTheDeadlyOne)
{
    CrashEvidence evidence;
    const PromptPartId document(5);
    evidence.onAnswered(document, START - Duration(10'000), NoticeSource::ThisHost, START);
    for (std::uint32_t n = 1; n <= 3; ++n)
        evidence.onCrash(crash(n, { DEADLY, document }), NoticeSource::ThisHost, START + Duration(1000) * n);
    const auto culprit = evidence.findCulprit(NONE_CONVICTED);
    cr_assert(culprit && culprit->part == DEADLY && culprit->crashes.size() == 3);
    evidence.removeExplainedBy(DEADLY, false, START + Duration(3100));
    cr_assert(evidence.crashes() == 0);
    // A report of the same crash that comes late.
    cr_assert(!evidence.onCrash(crash(3, { document }, "b"), NoticeSource::OwnDataCentre, START + Duration(3200)));
}

// A part may become deadly, after a change of the upstreams' software.
Test(crashEvidence, partThatWasAnsweredBeforeIsConvictedByMoreCrashes)
{
    CrashEvidence evidence;
    evidence.onAnswered(DEADLY, START, NoticeSource::ThisHost, START);
    std::uint32_t crashes = 0;
    while (!evidence.findCulprit(NONE_CONVICTED) && crashes < 20) {
        ++crashes;
        evidence.onCrash(
            crash(crashes, { DEADLY }), NoticeSource::ThisHost, START + Duration(3000) + Duration(500) * crashes);
    }
    cr_assert_eq(crashes, 5);
}

Test(crashEvidence, oneCrashIsEnoughForAPartThatWasConvictedBefore)
{
    CrashEvidence evidence;
    evidence.onCrash(crash(1, { DEADLY }), NoticeSource::ThisHost, START);
    cr_assert(!evidence.findCulprit(NONE_CONVICTED));
    cr_assert(evidence.findCulprit({ DEADLY }).has_value());
}

Test(crashEvidence, memoryIsBounded)
{
    CrashEvidence evidence;
    for (std::uint64_t n = 1; n <= 20'000; ++n)
        evidence.onAnswered(PromptPartId(n), START + Duration(n), NoticeSource::ThisHost, START + Duration(n));
    cr_assert_leq(evidence.answeredParts(), 4096);
    cr_assert(evidence.answeredAt(PromptPartId(20'000)).has_value());
    for (std::uint32_t n = 1; n <= 1000; ++n)
        evidence.onCrash(crash(n, { PromptPartId(n) }), NoticeSource::ThisHost, START);
    cr_assert_leq(evidence.crashes(), 128);
    evidence.expire(START + Duration(300'000));
    cr_assert_eq(evidence.answeredParts(), 0);
}

namespace {

// Crashes of other upstreams that have no suspect in common, one a second.
void addOtherCrashes(CrashEvidence& evidence, std::uint32_t count, TimePoint from)
{
    for (std::uint32_t n = 0; n < count; ++n) {
        const TimePoint at = from + Duration(1000) * n;
        evidence.onCrash(crash(10'000 + n, { PromptPartId(10'000 + n) }), NoticeSource::ThisHost, at);
        evidence.expire(at);
    }
}

}

// Guards against a deadly part that is never convicted because its crashes are forgotten between two of them.
Test(crashEvidence, crashesCountHoweverFarApart)
{
    for (const Duration interval : { Duration(1000), Duration(32'000), Duration(3'600'000), Duration(86'400'000) }) {
        CrashEvidence evidence;
        for (std::uint32_t n = 1; n <= 3; ++n) {
            cr_assert(!evidence.findCulprit(NONE_CONVICTED));
            const TimePoint now = START + interval * n;
            evidence.expire(now);
            evidence.onCrash(crash(n, { DEADLY }), NoticeSource::ThisHost, now);
        }
        cr_assert(evidence.findCulprit(NONE_CONVICTED), "one crash each %ld ms", interval.count());
    }
}

// Guards against evidence that gives way to crashes that say nothing, and against an upstream that starts again under
// its name.
Test(crashEvidence, repeatedSuspectIsKeptBesideManyOtherCrashes)
{
    CrashEvidence evidence;
    TimePoint now = START;
    for (std::int64_t incarnation = 1; incarnation <= 2; ++incarnation, now += Duration(500)) {
        fleet::CrashReport report = crash(1, { DEADLY });
        report.startedAtMs = incarnation;
        evidence.onCrash(report, NoticeSource::ThisHost, now);
    }
    addOtherCrashes(evidence, 500, now + Duration(60'000));
    cr_assert_leq(evidence.crashes(), 128);
    evidence.onCrash(crash(2, { DEADLY }), NoticeSource::ThisHost, now + Duration(3'600'000));
    cr_assert(evidence.findCulprit(NONE_CONVICTED));
}

// A loss that was no crash is known of the incarnation. Guards against keeping its suspects, and against not telling
// the other hosts of the crash, at which they may have suspects.
Test(crashEvidence, crashReplacesAnEarlierLossAtItsIncarnation)
{
    CrashEvidence evidence;
    evidence.onCrash(crash(1, { DEADLY }), NoticeSource::ThisHost, START);
    cr_assert(evidence.onCrash(crash(1, {}), NoticeSource::ThisHost, START + Duration(60'000)));
    cr_assert_eq(evidence.crashes(), 1);
    fleet::PoisonNotices notices;
    evidence.addNotices(notices, fleet::NoticeScope::Host, START + Duration(60'100));
    cr_assert(notices.crashes.items.size() == 1 && notices.crashes.items.front().parts.items.empty());
    cr_assert(!evidence.onCrash(crash(1, { DEADLY }), NoticeSource::ThisHost, START));
}

// Guards against forgetting an answer that clears a part while the crash is remembered.
Test(crashEvidence, clearedPartIsNoSuspectHoursLater)
{
    CrashEvidence evidence;
    const PromptPartId seldom(77);
    for (std::uint32_t n = 1; n <= 20; ++n) {
        const TimePoint now = START + Duration(3'600'000) * n;
        evidence.onCrash(crash(n, { seldom }), NoticeSource::ThisHost, now);
        evidence.onAnswered(seldom, now + Duration(30'000), NoticeSource::ThisHost, now + Duration(30'300));
        evidence.expire(now + Duration(600'000));
        // Another host that has missed the answer repeats its report.
        fleet::CrashReport repeated = crash(n, { seldom }, "other");
        repeated.ageMs = 700'000;
        evidence.onCrash(repeated, NoticeSource::OwnDataCentre, now + Duration(700'000));
        cr_assert(!evidence.findCulprit(NONE_CONVICTED), "crash %u", n);
    }
    fleet::PoisonNotices notices;
    evidence.addNotices(notices, fleet::NoticeScope::Host, START + Duration(3'600'000) * 20 + Duration(700'100));
    cr_assert_eq(notices.clearances.items.size(), 1, "the other host is told of the answer");
}
