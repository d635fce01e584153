#include "fireflyhaven/ratelimit/permitissuer.h"

#include <algorithm>
#include <vector>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::ratelimit;

namespace {

constexpr TimePoint START { Duration(100'000) };
constexpr Duration SETTLED { 1000 };
constexpr UpstreamIncarnation UPSTREAM { .upstream = 7, .startedAtMs = 1'000 };
constexpr RequestRate LIMIT { 2 };
constexpr Duration INTERVAL { 500 };

// An issuer that became one at START.
PermitIssuer newIssuer()
{
    PermitIssuer it;
    it.onIssuersChanged(START);
    return it;
}

PermitDecision ask(PermitIssuer& issuer, TimePoint now, Duration maxWait = Duration(0), RequestRate limit = LIMIT)
{
    return issuer.decide({ .upstream = UPSTREAM, .limit = limit, .maxWait = maxWait }, now);
}

// Times at which permits become valid, if one is asked for every 2 ms.
std::vector<TimePoint> permitsUnderConstantDemand(RequestRate limit, Duration time)
{
    PermitIssuer issuer = newIssuer();
    std::vector<TimePoint> permits;
    for (TimePoint now = START; now < START + time; now += Duration(2)) {
        if (ask(issuer, now, Duration(0), limit).granted)
            permits.push_back(now);
    }
    return permits;
}

std::size_t maxInWindow(const std::vector<TimePoint>& times, Duration window)
{
    std::size_t most = 0;
    for (const TimePoint from : times) {
        const auto n
            = std::count_if(times.begin(), times.end(), [&](TimePoint it) { return it >= from && it < from + window; });
        most = std::max(most, static_cast<std::size_t>(n));
    }
    return most;
}

}

Test(permitissuer, constantDemandUsesTheLimitAndNoMore)
{
    constexpr Duration TIME { 61'000 };
    constexpr Duration WINDOW { 4000 };
    for (const double perSecond : { 0.3, 1.8, 12.0, 90.0 }) {
        const std::vector<TimePoint> permits = permitsUnderConstantDemand(RequestRate(perSecond), TIME);
        const double expected = perSecond * std::chrono::duration<double>(TIME - SETTLED).count();
        cr_assert_float_eq(static_cast<double>(permits.size()), expected, 1 + 0.02 * expected, "at %.1f", perSecond);
        cr_assert_leq(maxInWindow(permits, WINDOW), static_cast<std::size_t>(perSecond * 4 + 2), "at %.1f", perSecond);
    }
}

// Guards against two issuers giving the same permits at a change of the issuer.
Test(permitissuer, newIssuerGivesNothingAtFirst)
{
    PermitIssuer it = newIssuer();
    const PermitDecision first = ask(it, START);
    cr_assert_not(first.granted);
    cr_assert(first.wait == SETTLED);
    cr_assert_not(ask(it, START + SETTLED - Duration(1)).granted);
    cr_assert(ask(it, START + SETTLED).granted);
}

Test(permitissuer, permitsAreReservedInOrderWithinTheWait)
{
    PermitIssuer it = newIssuer();
    ask(it, START);
    const TimePoint now = START + SETTLED;
    for (int n = 0; n < 3; ++n) {
        const PermitDecision decision = ask(it, now, Duration(1000));
        cr_assert(decision.granted && decision.wait == n * INTERVAL);
    }
    cr_assert_not(ask(it, now, Duration(1000)).granted, "the next permit is valid in 1.5 s only");
}

// Guards against refused callers who all return for the same permit.
Test(permitissuer, refusedCallersReturnOneAfterTheOther)
{
    PermitIssuer it = newIssuer();
    ask(it, START);
    const TimePoint now = START + SETTLED;
    ask(it, now);
    for (int n = 0; n < 3; ++n) {
        const PermitDecision decision = ask(it, now, Duration(100));
        cr_assert_not(decision.granted);
        cr_assert(decision.wait == INTERVAL);
        cr_assert(decision.retryAfter == (n + 1) * INTERVAL);
    }
    cr_assert(ask(it, now).retryAfter == 4 * INTERVAL, "a request that goes elsewhere does not return");
    cr_assert(ask(it, now).retryAfter == 4 * INTERVAL);
}

Test(permitissuer, unusedPermitsAreKeptForALimitedTime)
{
    PermitIssuer it = newIssuer();
    ask(it, START);
    const TimePoint later = START + SETTLED + Duration(60'000);
    int granted = 0;
    while (granted < 100 && ask(it, later).granted)
        ++granted;
    cr_assert_eq(granted, 3, "the permits of one second, and the present one");
}

// Guards against an upstream in need that is left alone when it names its limit: its issuer has been so for long.
Test(permitissuer, settledIssuerGivesPermitsOfANewLimitAtOnce)
{
    PermitIssuer it = newIssuer();
    const TimePoint now = START + Duration(60'000);
    cr_assert(ask(it, now).granted);
    cr_assert_not(ask(it, now).granted, "the limit is not used up in advance");
}

Test(permitissuer, newIncarnationStartsAnew)
{
    PermitIssuer it = newIssuer();
    const TimePoint now = START + SETTLED;
    cr_assert(ask(it, now).granted);
    cr_assert_not(ask(it, now).granted);
    const PermitTerms restarted { .upstream = { .upstream = UPSTREAM.upstream, .startedAtMs = 2'000 }, .limit = LIMIT };
    cr_assert(it.decide(restarted, now).granted);
    cr_assert_not(it.decide(restarted, now).granted);
}

// Guards against an upstream that names a limit of zero and is then never asked again whether it has ended.
Test(permitissuer, limitOfZeroStillGivesAFewPermits)
{
    const std::vector<TimePoint> permits = permitsUnderConstantDemand(RequestRate(0), Duration(30'000));
    cr_assert_geq(permits.size(), 4);
    cr_assert_leq(permits.size(), 7);
}

Test(permitissuer, formerIssuerForgetsItsSchedules)
{
    PermitIssuer it = newIssuer();
    ask(it, START);
    it.retainIf([](fleet::ShortHash) { return false; });
    it.onIssuersChanged(START + SETTLED);
    cr_assert_eq(it.size(), 0);
    const PermitDecision again = ask(it, START + SETTLED);
    cr_assert_not(again.granted, "another host may have issued permits meanwhile");
}
