#include "fireflyhaven/store/readtiming.h"

#include "fireflyhaven/store/readsourceselector.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::store;

namespace {
// Duration of a direct read of the store that is answered at once.
constexpr Duration DIRECT_READ { 50 };
constexpr PropagationBounds BOUNDS { .revocation = Duration(5000), .upstreamDrain = Duration(3000) };
}

// Guards against a late drain: while an upstream drains, the host from which its data centre reads loses the store and
// then stops answering, together with the fallback sources.
Test(readtiming, drainIsSeenWithinBoundOverTwoHopsAfterSourceFailure)
{
    for (const Duration drain : { Duration(2000), Duration(3000), Duration(4000) }) {
        const ReadTiming it({ .upstreamDrain = drain });
        const Duration wait = it.fromHost(Topic::Upstreams, true).wait;
        const auto fallbackAttempts = static_cast<Duration::rep>(ReadSourceOptions().maxFailedSources) - 1;
        const Duration worstCaseDelay = it.maxSourceAge(Topic::Upstreams, true) + wait + RELAY_TIMEOUT
            + FALLBACK_SOURCE_TIMEOUT * fallbackAttempts + DIRECT_READ;
        cr_assert(worstCaseDelay < drain, "%lld ms", static_cast<long long>(worstCaseDelay.count()));
    }
}

// Guards against direct reads of the store by every host while nothing changes, caused by data that counts as too old.
Test(readtiming, sourceAgeWithoutChangesStaysBelowMaximum)
{
    constexpr Duration TRANSFER_DELAY { 100 };
    const ReadTiming it(BOUNDS);
    const Duration readerAge = it.fromStore(Topic::Upstreams, true).interval + TRANSFER_DELAY;
    const Duration first = readerAge + it.fromHost(Topic::Upstreams, true).wait;
    cr_assert(first < it.maxSourceAge(Topic::Upstreams, true));
    const Duration statusAge = it.fromStore(Topic::Status, true).interval + it.fromHost(Topic::Status, true).wait;
    cr_assert(statusAge + TRANSFER_DELAY < it.maxSourceAge(Topic::Status, true));
    // A host that is read from passes each confirmation on at once, so that the waits of the hops do not add up.
    for (const bool overTwoHops : { false, true }) {
        const Duration operatorAge = it.fromStore(Topic::Operator, overTwoHops).wait + 2 * TRANSFER_DELAY;
        cr_assert(operatorAge < it.maxSourceAge(Topic::Operator, overTwoHops));
        const Duration upstreamAge = it.fromStore(Topic::Upstreams, overTwoHops).interval + 2 * TRANSFER_DELAY;
        cr_assert(upstreamAge < it.maxSourceAge(Topic::Upstreams, overTwoHops));
    }
}

// Guards against a time-out that is chosen apart from the bound that it serves: a host gives up its source, asks
// another one in vain, and reads the store.
Test(readtiming, changeIsSeenWithinBoundAfterSourceFailure)
{
    for (const Duration bound : { Duration(2000), Duration(3000), Duration(4000) }) {
        const ReadTiming it({ .configuration = bound, .upstreamDrain = bound });
        for (const Topic topic : { Topic::Operator, Topic::Upstreams }) {
            const Duration flat = it.maxSourceAge(topic, false) + STORE_ANSWER_TIME + FALLBACK_SOURCE_TIMEOUT;
            cr_assert(flat < bound, "%ld ms", static_cast<long>(flat.count()));
            const Duration layered
                = it.maxSourceAge(topic, true) + SUBSTITUTE_HEAD_START + FALLBACK_SOURCE_TIMEOUT + STORE_ANSWER_TIME;
            cr_assert(layered < bound, "%ld ms", static_cast<long>(layered.count()));
            cr_assert(it.bound(topic) == bound);
        }
    }
}

// Guards against keys that lose their confirmation without a failure. Keys are confirmed as of the start of the store
// read from which the chain of hosts obtained them.
Test(readtiming, keysStayConfirmedOverTwoHops)
{
    const ReadTiming it(BOUNDS);
    const Duration age = it.fromStore(Topic::Operator, true).wait * 2 + it.fromHost(Topic::Operator, true).wait * 2;
    cr_assert(age < BOUNDS.revocation);
}
