#include "fireflyhaven/http/memorybudget.h"

#include <criterion/criterion.h>

#include <deque>

using namespace fireflyhaven::http;

namespace {

constexpr std::size_t KB = 1024;
constexpr std::size_t MAX_BYTES = 1000 * KB;

// A connection that gives up its memory when it is told to.
class Connection final : public IMemoryHolder {
public:
    explicit Connection(MemoryBudget& budget)
        : m_budget(budget)
    {
    }

    void use(const MemoryUse& use) { m_budget.update(*this, use); }
    void refuseIncomplete() override
    {
        ++refusals;
        m_budget.update(*this, {});
    }
    void endUnsent() override
    {
        ++ends;
        m_budget.remove(*this);
    }

    int refusals = 0;
    int ends = 0;

private:
    MemoryBudget& m_budget;
};

// A budget and some connections.
struct Process {
    explicit Process(std::size_t n)
    {
        for (std::size_t k = 0; k < n; ++k)
            connections.emplace_back(budget);
    }

    MemoryBudget budget { MAX_BYTES };
    std::deque<Connection> connections;
};

}

Test(memoryBudget, largestIncompleteRequestIsRefused)
{
    Process it(3);
    it.connections[0].use({ .incomplete = 300 * KB });
    it.connections[1].use({ .incomplete = 400 * KB });
    it.connections[2].use({ .incomplete = 200 * KB });
    cr_assert_eq(it.connections[1].refusals, 1);
    cr_assert_eq(it.connections[0].refusals + it.connections[2].refusals, 0);
    cr_assert_eq(it.budget.usedBytes(), 500 * KB);
    cr_assert_eq(it.budget.refusedRequests(), 1);
}

Test(memoryBudget, newestOfEqualRequestsIsRefused)
{
    Process it(4);
    for (Connection& connection : it.connections)
        connection.use({ .incomplete = 200 * KB });
    cr_assert_eq(it.connections[3].refusals, 1);
    cr_assert_eq(it.budget.usedBytes(), 600 * KB);
}

// Guards against giving up what runs, which could not be refused as not run.
Test(memoryBudget, servedRequestIsNeverGivenUp)
{
    Process it(2);
    it.connections[0].use({ .served = MAX_BYTES });
    it.connections[1].use({ .incomplete = 100 * KB });
    cr_assert_eq(it.connections[0].refusals + it.connections[0].ends, 0);
    cr_assert_eq(it.connections[1].refusals, 1);
}

// Guards against a crowd of large requests that leaves no room for ordinary ones.
Test(memoryBudget, smallRequestFindsRoomBesideLargeOnes)
{
    Process it(21);
    for (std::size_t n = 0; n < 20; ++n) {
        it.connections[n].use({ .incomplete = 100 * KB });
        if (it.connections[n].refusals == 0)
            it.connections[n].use({ .served = 100 * KB });
    }
    it.connections[20].use({ .incomplete = 16 * KB });
    cr_assert_eq(it.connections[20].refusals, 0);
    cr_assert_eq(it.budget.usedBytes(), 716 * KB);
}

Test(memoryBudget, callerThatTakesNoAnswersIsEndedWhereNothingCanBeRefused)
{
    Process it(3);
    it.connections[0].use({ .served = 500 * KB });
    it.connections[1].use({ .unsent = 300 * KB });
    it.connections[2].use({ .unsent = 250 * KB });
    cr_assert_eq(it.connections[1].ends, 1);
    cr_assert_eq(it.connections[2].ends, 0);
    cr_assert_eq(it.budget.endedConnections(), 1);
}

Test(memoryBudget, connectionThatIsGoneHoldsNothing)
{
    Process it(2);
    it.connections[0].use({ .incomplete = 700 * KB });
    it.budget.remove(it.connections[0]);
    it.connections[1].use({ .incomplete = 700 * KB });
    cr_assert_eq(it.connections[0].refusals + it.connections[1].refusals, 0);
    cr_assert_eq(it.budget.usedBytes(), 700 * KB);
}
