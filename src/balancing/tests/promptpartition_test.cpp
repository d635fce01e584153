#include "fireflyhaven/balancing/promptpartition.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::balancing;

namespace {

constexpr TimePoint START { Duration(100'000) };
const ServiceName SERVICE("s");
constexpr Duration STEP { 20 };

std::vector<PartitionMember> members(int n, int slow = 0)
{
    std::vector<PartitionMember> all;
    for (int k = 0; k < n; ++k)
        all.push_back({ .upstream = UpstreamId("u" + std::to_string(k)), .workTimeFactor = k < slow ? 1.7 : 0.7 });
    return all;
}

// Work that one host sends to the service, in upstream milliseconds per second.
struct Load {
    double longPrompts = 0;
    double shortPrompts = 0;
};

// Records the load for the duration; long prompts take 400 ms each.
TimePoint apply(PromptPartition& it, const Load& load, TimePoint from, Duration duration)
{
    constexpr double LONG_PREFILL_MS = 400;
    double dueLong = 0;
    TimePoint now = from;
    for (; now < from + duration; now += STEP) {
        const double part = static_cast<double>(STEP.count()) / 1000;
        it.onWork(SERVICE, false, load.shortPrompts * part, true, now);
        dueLong += load.longPrompts * part;
        for (; dueLong >= LONG_PREFILL_MS; dueLong -= LONG_PREFILL_MS)
            it.onWork(SERVICE, true, LONG_PREFILL_MS, true, now);
    }
    return now;
}

int countForLongPrompts(const PromptPartition& it, const std::vector<PartitionMember>& all)
{
    return static_cast<int>(std::count_if(all.begin(), all.end(),
        [&](const PartitionMember& member) { return it.isForLongPrompts(SERVICE, member.upstream); }));
}

}

Test(promptPartition, capacityFollowsTheWorkOfEitherLength)
{
    PromptPartition it;
    const TimePoint now = apply(it, { .longPrompts = 6000, .shortPrompts = 6000 }, START, Duration(20'000));
    it.divide(SERVICE, members(40), now);
    cr_assert(it.isDivided(SERVICE));
    const int n = countForLongPrompts(it, members(40));
    cr_assert(n >= 17 && n <= 23, "%d of 40", n);
}

// The load: long prompts come in a burst, then short ones.
Test(promptPartition, burstsMoveTheDivisionWithinSecondsAndLeaveShortPromptsRoom)
{
    PromptPartition it;
    TimePoint now = apply(it, { .longPrompts = 6000, .shortPrompts = 6000 }, START, Duration(20'000));
    now = apply(it, { .longPrompts = 60'000, .shortPrompts = 6000 }, now, Duration(5000));
    it.divide(SERVICE, members(40), now);
    cr_assert_eq(countForLongPrompts(it, members(40)), 30, "the upper limit");
    now = apply(it, { .longPrompts = 2000, .shortPrompts = 18'000 }, now, Duration(15'000));
    it.divide(SERVICE, members(40), now);
    cr_assert_leq(countForLongPrompts(it, members(40)), 9);
    cr_assert_geq(countForLongPrompts(it, members(40)), 5, "long prompts keep some too");
}

Test(promptPartition, longPromptsGetTheFastestUpstreams)
{
    PromptPartition it;
    const auto all = members(30, 10);
    const TimePoint now = apply(it, { .longPrompts = 6000, .shortPrompts = 6000 }, START, Duration(20'000));
    it.divide(SERVICE, all, now);
    double capacity = 0;
    for (const PartitionMember& member : all) {
        const bool isSlow = member.workTimeFactor > 1;
        cr_assert_not(isSlow && it.isForLongPrompts(SERVICE, member.upstream));
        capacity += it.isForLongPrompts(SERVICE, member.upstream) ? 1 / member.workTimeFactor : 0;
    }
    cr_assert_float_eq(capacity, (20 / 0.7 + 10 / 1.7) / 2, 2, "half of the capacity, not of the upstreams");
}

// Two hosts that see different parts of the load must not send long prompts to each other's upstreams for short ones.
Test(promptPartition, hostsDivideAlikeByTheDemandOfAll)
{
    PromptPartition first;
    PromptPartition second;
    const TimePoint now = apply(first, { .longPrompts = 8000, .shortPrompts = 1000 }, START, Duration(20'000));
    apply(second, { .longPrompts = 1000, .shortPrompts = 8000 }, START, Duration(20'000));
    first.onPeerDemands(HostId("second"), second.ownDemands(now));
    second.onPeerDemands(HostId("first"), first.ownDemands(now));
    first.divide(SERVICE, members(40), now);
    second.divide(SERVICE, members(40), now);
    int differing = 0;
    for (const PartitionMember& member : members(40))
        differing
            += first.isForLongPrompts(SERVICE, member.upstream) != second.isForLongPrompts(SERVICE, member.upstream)
            ? 1
            : 0;
    cr_assert_leq(differing, 2, "%d of 40", differing);
}

Test(promptPartition, reportsOfSilentHostsEndAndLaterOnesReplaceEarlierOnes)
{
    PromptPartition it;
    const TimePoint now = apply(it, { .longPrompts = 4000, .shortPrompts = 4000 }, START, Duration(20'000));
    std::vector<fleet::PromptDemand> peer = it.ownDemands(now);
    peer.front().longPrompts = 100'000;
    const HostId other("other");
    it.onPeerDemands(other, peer);
    it.onPeerDemands(other, peer);
    it.divide(SERVICE, members(40), now);
    cr_assert_eq(countForLongPrompts(it, members(40)), 30);
    it.onPeerSilent(other);
    it.divide(SERVICE, members(40), now);
    const int n = countForLongPrompts(it, members(40));
    cr_assert(n >= 17 && n <= 23, "%d of 40", n);
}

Test(promptPartition, fewUpstreamsOrOneKindOfPromptsAreNotDivided)
{
    PromptPartition it;
    const TimePoint now = apply(it, { .longPrompts = 4000, .shortPrompts = 4000 }, START, Duration(10'000));
    it.divide(SERVICE, members(3), now);
    cr_assert_not(it.isDivided(SERVICE));
    it.divide(SERVICE, members(4), now);
    cr_assert(it.isDivided(SERVICE));
    it.clear(SERVICE);
    cr_assert_not(it.isDivided(SERVICE) || it.isForLongPrompts(SERVICE, UpstreamId("u0")));
    PromptPartition shortOnly;
    apply(shortOnly, { .longPrompts = 0, .shortPrompts = 4000 }, START, Duration(10'000));
    shortOnly.divide(SERVICE, members(40), now);
    cr_assert_not(shortOnly.isDivided(SERVICE));
}

Test(promptPartition, expectedWaitGrowsWithTheUseOfTheLongPromptsUpstreams)
{
    const auto waitAt = [](double longPrompts) {
        PromptPartition it;
        const TimePoint now
            = apply(it, { .longPrompts = longPrompts, .shortPrompts = longPrompts }, START, Duration(20'000));
        it.divide(SERVICE, members(40), now);
        return it.expectedWaitAmongLongPrompts(SERVICE);
    };
    cr_assert_lt(waitAt(1000), Duration(20));
    cr_assert_gt(waitAt(14'000), Duration(100), "half of the time of 20 fast upstreams");
    cr_assert_leq(waitAt(100'000), Duration(2000));
}
