#include "fireflyhaven/balancing/upstreamnotices.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::balancing;

namespace {
constexpr TimePoint START { Duration(100'000) };
constexpr std::int64_t FIRST_INCARNATION_MS = 1'000;
constexpr std::int64_t SECOND_INCARNATION_MS = 2'000;
const UpstreamId UPSTREAM("u");
}

Test(upstreamnotices, drainingLastsUntilNextIncarnation)
{
    UpstreamNotices it;
    it.onDraining(UPSTREAM, FIRST_INCARNATION_MS, START);
    cr_assert(it.isDraining(UPSTREAM, FIRST_INCARNATION_MS));
    cr_assert_not(it.isDraining(UPSTREAM, SECOND_INCARNATION_MS));
    cr_assert_not(it.isDraining(UpstreamId("other"), FIRST_INCARNATION_MS));
}

Test(upstreamnotices, lateNoticeOfEarlierIncarnationIsIgnored)
{
    UpstreamNotices it;
    it.onBackoff(UPSTREAM, SECOND_INCARNATION_MS, START + Duration(500), START);
    it.onDraining(UPSTREAM, FIRST_INCARNATION_MS, START);
    it.onBackoff(UPSTREAM, FIRST_INCARNATION_MS, START + Duration(9'000), START);
    cr_assert_not(it.isDraining(UPSTREAM, SECOND_INCARNATION_MS));
    cr_assert(it.isBackedOff(UPSTREAM, SECOND_INCARNATION_MS, START + Duration(499)));
    cr_assert_not(it.isBackedOff(UPSTREAM, SECOND_INCARNATION_MS, START + Duration(500)));
}

Test(upstreamnotices, shorterBackoffDoesNotCutLongerOne)
{
    UpstreamNotices it;
    it.onBackoff(UPSTREAM, FIRST_INCARNATION_MS, START + Duration(2'000), START);
    it.onBackoff(UPSTREAM, FIRST_INCARNATION_MS, START + Duration(300), START + Duration(100));
    cr_assert(it.isBackedOff(UPSTREAM, FIRST_INCARNATION_MS, START + Duration(1'999)));
}

Test(upstreamnotices, oldNoticesExpire)
{
    UpstreamNotices it;
    it.onDraining(UPSTREAM, FIRST_INCARNATION_MS, START);
    it.expire(START + Duration(60'000));
    cr_assert_eq(it.size(), 1);
    it.expire(START + Duration(3'600'000));
    cr_assert_eq(it.size(), 0);
}
