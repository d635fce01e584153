#include "guardfleet.h"

#include <criterion/criterion.h>

// Evidence and verdicts that have to hold between requests that come seldom.
using namespace fireflyhaven;
using namespace fireflyhaven::poison;
using namespace fireflyhaven::poison::test;

// Guards against a verdict that ends by time: each request after it would crash upstreams again.
Test(poisonGuard, verdictIsPutToTheTestBySingleRequests)
{
    Fleet it(3);
    it.convictDeadly();
    it.advance(Duration(30'000));
    cr_assert(it.allRefuse(DEADLY));
    std::uint32_t at = 9;
    int trials = 0;
    for (const Duration pause : { Duration(70'000), Duration(700'000), Duration(86'400'000), Duration(86'400'000) }) {
        it.skip(pause);
        cr_assert(it.refuses(0, DEADLY) && it.refuses(2, DEADLY), "only one host tries");
        if (it.refuses(TRIAL_HOST, DEADLY))
            continue;
        ++trials;
        const AttemptNumber number = it.send(TRIAL_HOST, ++at, DEADLY.value());
        cr_assert(it.refuses(TRIAL_HOST, DEADLY), "one request at a time, and no repeat of it");
        it.now += Duration(50);
        it.lose(TRIAL_HOST, number, at);
        it.advance(Duration(300));
        it.restart(TRIAL_HOST);
        it.advance(Duration(300));
        cr_assert(it.allRefuse(DEADLY), "also where the host that tried has restarted");
        it.skip(Duration(55'000));
        cr_assert(it.allRefuse(DEADLY));
    }
    cr_assert_eq(trials, 2, "later trials would be more requests than a deadly part may reach upstreams with");
}

// Guards against an innocent part that stays refused because upstreams crashed for another reason.
Test(poisonGuard, innocentPartIsServedAfterOneTrial)
{
    Fleet it(3);
    it.convictDeadly();
    it.skip(Duration(70'000));
    const AttemptNumber number = it.send(TRIAL_HOST, 12, DEADLY.value());
    it.answer(TRIAL_HOST, number);
    it.guards[TRIAL_HOST].onEnded(number, AttemptEnd::Answered);
    it.advance(Duration(1500));
    cr_assert(it.noneRefuses(DEADLY));
    // A host that was cut off meanwhile still has the verdict, and tells it.
    fleet::PoisonNotices stale;
    stale.verdicts.items.push_back({ .part = DEADLY, .convictedBy = HostId("cut-off"), .crashAgeMs = 600'000 });
    it.skip(Duration(400'000));
    it.guards[0].onPoisonNotices(stale, NoticeSource::OwnDataCentre, it.now);
    cr_assert(it.noneRefuses(DEADLY));
    const auto answer = it.guards[0].poisonNotices(NoticeScope::Host, it.now);
    cr_assert(answer.clearances.items.size() == 1 && answer.clearances.items.front().part == DEADLY,
        "the host that was cut off is told");
}

namespace {

// One request after the other with the deadly part, each at another host and repeated after each crash.
struct SeldomRequests {
    Duration interval {};
    // Hosts restart between the requests, one at a time.
    bool hostsRestart = false;
    int maxAttempts = 3;
    bool isSameRequest = false;

    // The rule counts from here on.
    static constexpr std::size_t COUNTED_CRASHES_OF_PART = 5;
    static constexpr std::size_t COUNTED_CRASHES_OF_REQUEST = 3;
    static constexpr Duration CONTACT { 3000 };

    std::vector<TimePoint> arrivals {};

    void send(Fleet& it, std::size_t host, std::uint64_t n)
    {
        const RequestSuspects suspects { .parts
            = isSameRequest ? std::vector<PromptPartId> {} : std::vector { FIRST, DEADLY, PromptPartId(5000 + n) },
            .request = RequestDigest(isSameRequest ? 0x5eed : 9000 + n) };
        for (int attempt = 0; attempt < maxAttempts && !it.guards[host].refusalOf(suspects, it.now); ++attempt) {
            const auto at = static_cast<std::uint32_t>(100 + arrivals.size());
            const AttemptNumber number(20'000 + arrivals.size());
            arrivals.push_back(it.now);
            it.guards[host].onSent(number, upstream(at), suspects, it.now);
            it.now += Duration(150);
            it.lose(host, number, at);
            it.advance(Duration(200));
        }
    }
    // Requests that reach upstreams although the crashes before should have ended that.
    std::size_t lateArrivals(std::size_t requests)
    {
        Fleet it(3);
        for (std::size_t n = 0; n < requests; ++n) {
            const std::size_t host = n % it.guards.size();
            it.answer(host, it.send(host, SOUND_UPSTREAM, 2));
            it.advance(Duration(1000));
            if (hostsRestart)
                it.restart(n % it.guards.size());
            it.advance(Duration(1000));
            send(it, (n + 1) % it.guards.size(), n);
            it.skip(interval);
        }
        const std::size_t counted = isSameRequest ? COUNTED_CRASHES_OF_REQUEST : COUNTED_CRASHES_OF_PART;
        // A part may be convicted before the rule counts.
        constexpr std::size_t MIN_ARRIVALS = 3;
        cr_assert_geq(arrivals.size(), MIN_ARRIVALS);
        if (arrivals.size() < counted)
            return 0;
        return static_cast<std::size_t>(std::count_if(
            arrivals.begin(), arrivals.end(), [&](TimePoint at) { return at > arrivals[counted - 1] + CONTACT; }));
    }
};

}

// Each request crashes its upstreams. Guards against evidence and verdicts that are forgotten between two requests
// (review/12).
Test(poisonGuard, deadlyPartThatComesSeldomStopsReachingUpstreams)
{
    constexpr std::size_t MAX_LATE = 3;
    for (const long seconds : { 2, 8, 32, 40, 65, 130, 700, 7200, 90'000 }) {
        for (const bool restarts : { false, true }) {
            for (const int attempts : { 1, 2, 3 }) {
                SeldomRequests it {
                    .interval = Duration(1000 * seconds), .hostsRestart = restarts, .maxAttempts = attempts
                };
                cr_expect_leq(
                    it.lateArrivals(20), MAX_LATE, "each %ld s, restarts %d, %d attempts", seconds, restarts, attempts);
            }
        }
    }
}

// The same for one request that comes again, as an order that is sent once each time.
Test(poisonGuard, deadlyRequestThatComesSeldomStopsReachingUpstreams)
{
    constexpr std::size_t MAX_LATE = 3;
    for (const long seconds : { 2, 16, 65, 700, 7200 }) {
        SeldomRequests it { .interval = Duration(1000 * seconds), .maxAttempts = 1, .isSameRequest = true };
        cr_expect_leq(it.lateArrivals(20), MAX_LATE, "each %ld s", seconds);
    }
}

// An upstream crashes now and then for reasons of its own, over hours, with requests in flight whose parts are common
// or rare. Guards against refusing any of them because crashes are remembered.
Test(poisonGuard, upstreamsThatCrashSeldomConvictNoPart)
{
    for (const Duration interval : { Duration(15'000), Duration(600'000) }) {
        Fleet it(3);
        for (std::uint32_t n = 1; n <= 24; ++n) {
            // One part is at each crash, the other at each third one; both are answered elsewhere afterwards.
            std::vector<std::uint64_t> parts { 50 };
            if (n % 3 == 0)
                parts.push_back(60);
            const std::size_t host = n % 3;
            for (const std::uint64_t part : parts)
                it.lose(host, it.send(host, 1000 + n, part), 1000 + n);
            it.advance(Duration(300));
            for (const std::uint64_t part : parts) {
                const AttemptNumber number = it.send(host, SOUND_UPSTREAM, part);
                it.answer(host, number);
                it.guards[host].onEnded(number, AttemptEnd::Answered);
            }
            it.advance(Duration(2000));
            it.skip(interval);
            cr_assert(it.noneRefuses(PromptPartId(50)) && it.noneRefuses(PromptPartId(60)), "crash %u", n);
        }
    }
}

// All hosts but one restart after two crashes, then that one. Guards against evidence that no host has any more.
Test(poisonGuard, restartedHostsLearnOldEvidence)
{
    Fleet it(3);
    for (std::uint32_t n = 1; n <= 2; ++n) {
        it.crashWithDeadly(0, n);
        it.answer(0, it.send(0, SOUND_UPSTREAM, 2));
        it.advance(Duration(60'000));
    }
    it.restart(1);
    it.restart(2);
    it.advance(Duration(60'000));
    it.restart(0);
    it.advance(Duration(60'000));
    cr_assert(it.noneRefuses(DEADLY));
    it.crashWithDeadly(2, 3);
    it.advance(Duration(400));
    cr_assert(it.allRefuse(DEADLY));
}
