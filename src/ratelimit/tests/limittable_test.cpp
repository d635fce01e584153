#include "fireflyhaven/ratelimit/limittable.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::ratelimit;

namespace {

constexpr TimePoint START { Duration(100'000) };
constexpr UpstreamIncarnation FIRST { .upstream = 7, .startedAtMs = 1'000 };
constexpr UpstreamIncarnation SECOND { .upstream = 7, .startedAtMs = 2'000 };
constexpr RequestRate LOW { 1.8 };
constexpr RequestRate HIGH { 4 };

// Answer to a request that was sent at `sentAt`.
LimitAnswer answer(const UpstreamIncarnation& upstream, std::optional<RequestRate> limit, TimePoint sentAt)
{
    return { .upstream = upstream, .limit = limit, .sentAt = sentAt };
}

}

Test(limittable, namedLimitAppliesToItsIncarnationOnly)
{
    LimitTable it;
    cr_assert(it.onAnswer(answer(FIRST, LOW, START), START) == LimitChange::Named);
    cr_assert(it.limitOf(FIRST) == LOW);
    cr_assert_not(it.limitOf(SECOND).has_value());
    cr_assert_eq(it.limitedUpstreams(), 1);
}

Test(limittable, onlyChangesAreReported)
{
    LimitTable it;
    it.onAnswer(answer(FIRST, LOW, START), START);
    cr_assert(it.onAnswer(answer(FIRST, LOW, START), START) == LimitChange::None);
    cr_assert(it.onAnswer(answer(FIRST, HIGH, START), START) == LimitChange::Named);
    cr_assert(it.limitOf(FIRST) == HIGH);
}

Test(limittable, limitEndsWithAnAnswerThatNamesNone)
{
    LimitTable it;
    cr_assert(it.onAnswer(answer(FIRST, std::nullopt, START), START) == LimitChange::None);
    it.onAnswer(answer(FIRST, LOW, START), START);
    const TimePoint later = START + Duration(500);
    cr_assert(it.onAnswer(answer(FIRST, std::nullopt, later), later) == LimitChange::Ended);
    cr_assert_not(it.limitOf(FIRST).has_value());
    cr_assert_eq(it.limitedUpstreams(), 0);
}

// Guards against a limit that ends at once: answers from before it may arrive after the first one that names it.
Test(limittable, answerToEarlierRequestDoesNotEndTheLimit)
{
    LimitTable it;
    it.onAnswer(answer(FIRST, LOW, START), START);
    cr_assert(it.onAnswer(answer(FIRST, std::nullopt, START - Duration(1)), START + Duration(50)) == LimitChange::None);
    cr_assert(it.limitOf(FIRST) == LOW);
}

Test(limittable, lateAnswerOfEarlierIncarnationIsIgnored)
{
    LimitTable it;
    it.onAnswer(answer(SECOND, LOW, START), START);
    cr_assert(it.onAnswer(answer(FIRST, HIGH, START), START) == LimitChange::None);
    cr_assert(it.limitOf(SECOND) == LOW);
}

Test(limittable, limitsOfVanishedUpstreamsExpire)
{
    LimitTable it;
    it.onAnswer(answer(FIRST, LOW, START), START);
    it.expire(START + Duration(60'000));
    cr_assert(it.limitOf(FIRST) == LOW);
    it.expire(START + Duration(3'600'000));
    cr_assert_not(it.limitOf(FIRST).has_value());
}

namespace {

fleet::UpstreamLimit notice(const UpstreamIncarnation& upstream, std::optional<RequestRate> limit, Duration age)
{
    return { .upstream = upstream.upstream,
        .startedAtMs = upstream.startedAtMs,
        .limit = limit,
        .ageMs = static_cast<std::uint32_t>(age.count()) };
}

constexpr fleet::NoticeSource SAME_DATA_CENTRE = fleet::NoticeSource::OwnDataCentre;

}

Test(limittable, noticesOfOtherHostsAreTakenIfNewer)
{
    LimitTable it;
    cr_assert(it.onNotice(notice(FIRST, LOW, Duration(100)), SAME_DATA_CENTRE, START) == LimitChange::Named);
    cr_assert(it.limitOf(FIRST) == LOW);
    cr_assert(it.onNotice(notice(FIRST, HIGH, Duration(400)), SAME_DATA_CENTRE, START) == LimitChange::None,
        "an older answer changes nothing");
    cr_assert(it.onNotice(notice(FIRST, HIGH, Duration(50)), SAME_DATA_CENTRE, START) == LimitChange::Named);
    cr_assert(it.onNotice(notice(FIRST, std::nullopt, Duration(0)), SAME_DATA_CENTRE, START) == LimitChange::Ended);
    cr_assert_not(it.limitOf(FIRST).has_value());
    cr_assert(it.onNotice(notice(FIRST, HIGH, Duration(20)), SAME_DATA_CENTRE, START) == LimitChange::None,
        "a limit that has ended does not return with an older answer");
}

Test(limittable, noticeOfEarlierIncarnationIsIgnored)
{
    LimitTable it;
    it.onNotice(notice(SECOND, LOW, Duration(900)), SAME_DATA_CENTRE, START);
    cr_assert(it.onNotice(notice(FIRST, HIGH, Duration(0)), SAME_DATA_CENTRE, START) == LimitChange::None);
    cr_assert(it.limitOf(SECOND) == LOW);
}

Test(limittable, endOfAnUnknownLimitIsIgnored)
{
    LimitTable it;
    cr_assert(it.onNotice(notice(FIRST, std::nullopt, Duration(0)), SAME_DATA_CENTRE, START) == LimitChange::None);
    cr_assert(it.empty());
}

// Guards against notices that go round between data centres.
Test(limittable, noticesTravelWithinTheirScope)
{
    using fleet::NoticeScope;
    LimitTable it;
    it.onAnswer(answer({ .upstream = 1 }, LOW, START), START);
    it.onNotice(notice({ .upstream = 2 }, LOW, Duration(0)), fleet::NoticeSource::OwnDataCentre, START);
    it.onNotice(notice({ .upstream = 3 }, LOW, Duration(0)), fleet::NoticeSource::OtherDataCentre, START);
    cr_assert_eq(it.notices(NoticeScope::Host, START).size(), 1);
    cr_assert_eq(it.notices(NoticeScope::DataCentre, START).size(), 2);
    cr_assert_eq(it.notices(NoticeScope::Fleet, START).size(), 3);
    cr_assert_eq(it.notices(NoticeScope::Host, START + Duration(300)).front().ageMs, 300);
}

Test(limittable, endOfALimitIsToldForAWhile)
{
    LimitTable it;
    it.onAnswer(answer(FIRST, LOW, START), START);
    it.onAnswer(answer(FIRST, std::nullopt, START), START);
    cr_assert_eq(it.notices(fleet::NoticeScope::Host, START + Duration(5'000)).size(), 1);
    cr_assert_eq(it.notices(fleet::NoticeScope::Host, START + Duration(20'000)).size(), 0);
}
