#include "fireflyhaven/balancing/upstreamreach.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::balancing;

namespace {

constexpr TimePoint START { Duration(1'000'000) };

// Ends a round of probes with so many successes; returns whether that changes the state.
bool probe(UpstreamReach& reach, std::size_t connected, TimePoint now)
{
    const std::size_t n = reach.probesDue(now);
    cr_assert_gt(n, 0);
    reach.onProbesStarted(n, now);
    bool changed = false;
    for (std::size_t k = 0; k < n; ++k)
        changed = reach.onProbeEnded(k < connected, now + Duration(100)) || changed;
    return changed;
}

void loseTwoUpstreams(UpstreamReach& reach, TimePoint now)
{
    reach.onUnanswered(UpstreamId("a"), now);
    reach.onUnanswered(UpstreamId("b"), now);
}

}

Test(upstreamReach, hostIsCutOffWhenNoProbeConnects)
{
    UpstreamReach it;
    cr_assert_eq(it.probesDue(START), 0);
    loseTwoUpstreams(it, START);
    cr_assert(probe(it, 0, START) && it.isCutOff());
}

// Guards against a host that takes crashed upstreams for a cut of its own.
Test(upstreamReach, oneReachableUpstreamShowsThatTheOthersAreDown)
{
    UpstreamReach it;
    loseTwoUpstreams(it, START);
    cr_assert(!probe(it, 1, START) && !it.isCutOff());
    cr_assert_eq(it.probesDue(START + Duration(200)), 0, "the suspicion is settled");
}

Test(upstreamReach, failuresOfOneUpstreamRaiseNoSuspicion)
{
    UpstreamReach it;
    for (int n = 0; n < 10; ++n)
        it.onUnanswered(UpstreamId("a"), START + Duration(n));
    it.onUnanswered(UpstreamId("b"), START + Duration(1500));
    cr_assert_eq(it.probesDue(START + Duration(1500)), 0);
}

Test(upstreamReach, hostReturnsWhenItsProbesConnect)
{
    UpstreamReach it;
    loseTwoUpstreams(it, START);
    probe(it, 0, START);
    cr_assert(!probe(it, 1, START + Duration(400)) && it.isCutOff(), "one of two is not enough");
    cr_assert_eq(it.probesDue(START + Duration(500)), 0, "probes are paced");
    cr_assert(probe(it, 2, START + Duration(700)) && !it.isCutOff());
}

// Guards against a host whose links hang, and that tells the others of failures before it knows that it is cut off.
Test(upstreamReach, openAttemptsThatAreOverdueRaiseTheSuspicion)
{
    UpstreamReach it;
    it.onOverdue(UpstreamId("a"), START, START + Duration(200));
    cr_assert_eq(it.probesDue(START + Duration(200)), 0);
    it.onOverdue(UpstreamId("b"), START + Duration(100), START + Duration(300));
    cr_assert(probe(it, 0, START + Duration(300)) && it.isCutOff());
}

Test(upstreamReach, slowUpstreamsRaiseNoSuspicionWhileOthersAnswer)
{
    UpstreamReach it;
    it.onAnswered(START + Duration(150));
    it.onOverdue(UpstreamId("a"), START, START + Duration(200));
    it.onOverdue(UpstreamId("b"), START + Duration(100), START + Duration(300));
    cr_assert_eq(it.probesDue(START + Duration(300)), 0);
}
