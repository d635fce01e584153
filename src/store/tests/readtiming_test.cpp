#include "fireflyhaven/store/readtiming.h"

#include "fireflyhaven/store/readerchoice.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::store;

namespace {
// A read of the store that is answered at once.
constexpr Duration OWN_READ { 50 };
constexpr ReadBounds BOUNDS { .revocation = Duration(5000), .upstreamDrain = Duration(3000) };
}

// Pattern: the host that all of a data centre read from is cut off from the store, and goes silent a moment later
// together with those that are asked after it, while an upstream leaves.
Test(readtiming, overTwoStepsALeavingUpstreamIsKnownInTimeWhereTheSourceFails)
{
    for (const Duration drain : { Duration(2000), Duration(3000), Duration(4000) }) {
        const ReadTiming it({ .upstreamDrain = drain });
        const Duration wait = it.fromHost(Topic::Upstreams, true).wait;
        const auto others = static_cast<Duration::rep>(ReaderChoiceOptions().mostFailedSources) - 1;
        const Duration known
            = it.oldestFromHost(Topic::Upstreams, true) + wait + RELAY_TIMEOUT + SUBSTITUTE_TIMEOUT * others + OWN_READ;
        cr_assert(known < drain, "%lld ms", static_cast<long long>(known.count()));
    }
}

// Otherwise each host would read the store for itself on a quiet day.
Test(readtiming, whatASourceKnowsOnAQuietDayIsNotTooOld)
{
    constexpr Duration ON_THE_WAY { 100 };
    const ReadTiming it(BOUNDS);
    const Duration reader = it.fromStore(Topic::Upstreams, true).interval + ON_THE_WAY;
    const Duration first = reader + it.fromHost(Topic::Upstreams, true).wait;
    cr_assert(first < it.oldestFromHost(Topic::Upstreams, true));
    const Duration status = it.fromStore(Topic::Status, true).interval + it.fromHost(Topic::Status, true).wait;
    cr_assert(status + ON_THE_WAY < it.oldestFromHost(Topic::Status, true));
    const Duration operators = it.fromStore(Topic::Operator, true).wait + it.fromHost(Topic::Operator, true).wait;
    cr_assert(operators + ON_THE_WAY < it.oldestFromHost(Topic::Operator, true));
}

// Keys count as confirmed as of the beginning of the read that the chain of hosts goes back to.
Test(readtiming, keysStayConfirmedOverTwoSteps)
{
    const ReadTiming it(BOUNDS);
    const Duration age = it.fromStore(Topic::Operator, true).wait * 2 + it.fromHost(Topic::Operator, true).wait * 2;
    cr_assert(age < BOUNDS.revocation);
}
