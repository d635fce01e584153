#include "fireflyhaven/store/propagationbudget.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::store;

namespace {

PropagationBounds boundsOf(Duration bound, Duration reachable)
{
    return { .configuration = bound, .upstreamDrain = bound, .reachable = reachable };
}

}

Test(propagationBudget, partsOfEachPathAddUpToLessThanItsBound)
{
    for (const Duration bound : { Duration(2000), Duration(3000), Duration(4000) }) {
        const PropagationBudget it(boundsOf(bound, bound + Duration(1000)));
        cr_expect(it.violations().empty(), "%s", it.violations().c_str());
    }
}

// Guards against settings whose bounds no host can keep: they are refused at the start instead of being missed.
Test(propagationBudget, shortBoundIsNamedWithItsParts)
{
    const PropagationBudget it(boundsOf(Duration(800), Duration(3000)));
    const std::string text = it.violations();
    cr_assert(text.find("source lost over two hops") != std::string::npos, "%s", text.c_str());
    cr_assert(text.find("answer of the store 300 ms") != std::string::npos, "%s", text.c_str());
    cr_assert(text.find("way to the store regained") == std::string::npos, "%s", text.c_str());
}

Test(propagationBudget, shortTimeAfterReturnIsNamed)
{
    const PropagationBudget it(boundsOf(Duration(3000), Duration(2000)));
    cr_assert(it.violations().find("way to the store regained") != std::string::npos);
}
