#include "fakecluster.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::tests;

Test(scenarios, clusterComesUpAndServes)
{
    FakeCluster cluster({});
    cluster.run(Duration(15'000));
    cr_assert(cluster.isWhole());
    for (const auto& [id, upstream] : cluster.upstreams())
        cr_assert_gt(upstream.sent, 0);
    cr_assert(cluster.violations().empty());
}
