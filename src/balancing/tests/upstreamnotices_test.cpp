#include "fireflyhaven/balancing/upstreamnotices.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::balancing;

namespace {
constexpr TimePoint START { Duration(100'000) };
constexpr std::int64_t FIRST_LIFE = 1'000;
constexpr std::int64_t SECOND_LIFE = 2'000;
const UpstreamId UPSTREAM("u");
}

Test(upstreamnotices, aLeavingUpstreamStaysSoUntilItsNextLife)
{
    UpstreamNotices it;
    it.onLeaving(UPSTREAM, FIRST_LIFE, START);
    cr_assert(it.isLeaving(UPSTREAM, FIRST_LIFE));
    cr_assert_not(it.isLeaving(UPSTREAM, SECOND_LIFE));
    cr_assert_not(it.isLeaving(UpstreamId("other"), FIRST_LIFE));
}

Test(upstreamnotices, aLateAnswerOfAnEarlierLifeTellsNothingOfALaterOne)
{
    UpstreamNotices it;
    it.onBackoff(UPSTREAM, SECOND_LIFE, START + Duration(500), START);
    it.onLeaving(UPSTREAM, FIRST_LIFE, START);
    it.onBackoff(UPSTREAM, FIRST_LIFE, START + Duration(9'000), START);
    cr_assert_not(it.isLeaving(UPSTREAM, SECOND_LIFE));
    cr_assert(it.isBackedOff(UPSTREAM, SECOND_LIFE, START + Duration(499)));
    cr_assert_not(it.isBackedOff(UPSTREAM, SECOND_LIFE, START + Duration(500)));
}

Test(upstreamnotices, aShorterWaitDoesNotCutALongerOne)
{
    UpstreamNotices it;
    it.onBackoff(UPSTREAM, FIRST_LIFE, START + Duration(2'000), START);
    it.onBackoff(UPSTREAM, FIRST_LIFE, START + Duration(300), START + Duration(100));
    cr_assert(it.isBackedOff(UPSTREAM, FIRST_LIFE, START + Duration(1'999)));
}

Test(upstreamnotices, oldNoticesAreForgotten)
{
    UpstreamNotices it;
    it.onLeaving(UPSTREAM, FIRST_LIFE, START);
    it.expire(START + Duration(60'000));
    cr_assert_eq(it.size(), 1);
    it.expire(START + Duration(3'600'000));
    cr_assert_eq(it.size(), 0);
}
