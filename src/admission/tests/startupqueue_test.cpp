#include "fireflyhaven/admission/startupqueue.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::admission;

namespace {

constexpr TimePoint START { Duration(100'000) };
constexpr StartupQueueOptions OPTIONS { .period = Duration(1000), .maxRequests = 3, .maxBytes = 1000 };

EarlyRequest request(std::uint64_t id, std::size_t bytes = 10)
{
    return { .id = TicketId(id), .bytes = bytes, .deadline = Duration(20'000) };
}

}

Test(startupQueue, requestWaitsUntilTheEndOfThePeriodAtMost)
{
    StartupQueue it(OPTIONS, START);
    cr_assert(it.offer(request(1), START + Duration(100)) == START + Duration(1000));
    cr_assert_not(it.offer(request(2), START + Duration(1000)).has_value(), "the period is over");
    cr_assert_eq(it.size(), 1);
}

// Guards against callers whose whole time passes before they are told to go elsewhere.
Test(startupQueue, requestWaitsForPartOfItsDeadlineOnly)
{
    StartupQueue it(OPTIONS, START);
    EarlyRequest brief = request(1);
    brief.deadline = Duration(600);
    cr_assert(it.offer(brief, START + Duration(100)) == START + Duration(400));
}

Test(startupQueue, waitingTimesAreSpread)
{
    StartupQueue it(OPTIONS, START);
    EarlyRequest early = request(1);
    early.spread = 0.8;
    cr_assert(it.offer(early, START) == START + Duration(800));
    cr_assert(it.offer(request(2), START) == START + Duration(1000));
}

// The load: callers come back to a host that has just started faster than it can take them.
Test(startupQueue, numberAndMemoryOfWaitingRequestsAreLimited)
{
    StartupQueue it(OPTIONS, START);
    cr_assert(it.offer(request(1, 600), START).has_value());
    cr_assert_not(it.offer(request(2, 401), START).has_value(), "the memory is used up");
    cr_assert(it.offer(request(3, 400), START).has_value());
    cr_assert(it.offer(request(4, 0), START).has_value());
    cr_assert_not(it.offer(request(5, 0), START).has_value(), "too many wait");
    it.remove(TicketId(3));
    cr_assert(it.offer(request(6, 400), START).has_value());
    cr_assert_eq(it.bytes(), 1000);
    for (const std::uint64_t id : { 1, 3, 4, 6, 6 })
        it.remove(TicketId(id));
    cr_assert(it.size() == 0 && it.bytes() == 0);
}

Test(startupQueue, nothingWaitsWithoutAPeriod)
{
    StartupQueue it({ .period = Duration(0) }, START);
    cr_assert_not(it.offer(request(1), START).has_value());
}
