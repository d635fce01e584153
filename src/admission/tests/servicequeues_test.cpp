#include "fireflyhaven/admission/servicequeues.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::admission;

namespace {

const TimePoint NOW { Duration(100'000) };
const ServiceName SERVICE("s");

WaitingRequest request(std::uint64_t id, const std::string& workspace, int priority = 5, int startByMs = 5000)
{
    return { .id = TicketId(id),
        .service = SERVICE,
        .workspace = WorkspaceId(workspace),
        .priority = priority,
        .startBy = NOW + Duration(startByMs) };
}

}

Test(waitingroom, theMostUrgentRequestIsNext)
{
    WaitingRoom room;
    room.offer(request(1, "a", 2), NOW);
    room.offer(request(2, "a", 0), NOW);
    room.offer(request(3, "a", 1), NOW);
    cr_assert(room.next(SERVICE, NOW) == TicketId(2));
    cr_assert(room.next(SERVICE, NOW) == TicketId(3));
    cr_assert(room.next(SERVICE, NOW) == TicketId(1));
}

// Pattern: one workspace sends many times its usual (hot workspace).
Test(waitingroom, aBusyWorkspaceDoesNotHoldUpTheOthers)
{
    WaitingRoom room;
    for (std::uint64_t n = 0; n < 50; ++n)
        room.offer(request(n, "busy"), NOW);
    room.offer(request(100, "quiet"), NOW);
    bool served = false;
    for (int n = 0; n < 3; ++n)
        served = room.next(SERVICE, NOW) == TicketId(100) || served;
    cr_assert(served);
}

// Pattern: burst over what the upstreams take.
Test(waitingroom, whatWouldNotGetItsTurnInTimeIsRefusedAtOnce)
{
    WaitingRoom room({ .capacity = 512, .firstRate = 10 });
    int waiting = 0;
    std::optional<Duration> refused;
    for (std::uint64_t n = 0; n < 30; ++n) {
        const WaitingResult result = room.offer(request(n, "a", 5, 1000), NOW);
        waiting += result.refusedFor ? 0 : 1;
        refused = result.refusedFor ? result.refusedFor : refused;
    }
    cr_assert_eq(waiting, 10, "ten start in a second");
    cr_assert(refused && *refused >= Duration(1000));
}

Test(waitingroom, theRateOfStartsIsLearned)
{
    WaitingRoom room({ .capacity = 512, .firstRate = 50 });
    for (int n = 0; n < 400; ++n)
        room.onStarted(SERVICE, NOW + Duration(200 * n));
    const TimePoint now = NOW + Duration(200 * 399);
    cr_assert_float_eq(static_cast<double>(room.expectedWait(SERVICE, now).count()), 200, 20);
}

Test(waitingroom, aRequestThatCouldNotStartKeepsItsPlace)
{
    WaitingRoom room;
    room.offer(request(1, "a"), NOW);
    room.offer(request(2, "b"), NOW);
    const auto first = room.next(SERVICE, NOW);
    room.putBack(request(first->value(), first == TicketId(1) ? "a" : "b"));
    cr_assert(room.next(SERVICE, NOW) == first);
    cr_assert_eq(room.size(), 1);
}

Test(waitingroom, aFullRoomSendsTheLeastUrgentAway)
{
    WaitingRoom room({ .capacity = 2 });
    room.offer(request(1, "a", 5), NOW);
    room.offer(request(2, "a", 5), NOW);
    const WaitingResult result = room.offer(request(3, "a", 0), NOW);
    cr_assert_not(result.refusedFor.has_value());
    cr_assert(result.shed.has_value());
    cr_assert(room.offer(request(4, "a", 9), NOW).refusedFor.has_value());
}
