#include "fireflyhaven/explain/logquery.h"

#include <sstream>

#include <criterion/criterion.h>

using namespace fireflyhaven::explain;

namespace {

// Lines as two hosts wrote them, with what a collector put before some of them.
const char* const RECORDED = R"(
started by hand
29.1 h1 {"time":"2026-08-14T10:55:00.000Z","level":"info","host":"h1","event":"beliefs","configuration":42,"avoided":[]}
{"time":"2026-08-14T10:55:02.124Z","level":"info","host":"h1","event":"upstream_gone","upstream":"i-a","reason":"registration ended"}
{"time":"2026-08-14T10:55:02.170Z","level":"warning","host":"h1","event":"request_attempt_failed","request":"r-1","upstream":"i-a","reason":"connection lost"}
{"time":"2026-08-14T10:55:02.150Z","level":"info","host":"h1","event":"request_sent","request":"r-1","upstream":"i-a","expected_ms":31}
{"time":"2026-08-14T10:55:02.171Z","level":"warning","host":"h1","event":"request_failed","request":"r-1","status":502,"reason":"connection lost"}
{"time":"2026-08-14T10:55:02.160Z","level":"info","host":"h2","event":"request_sent","request":"r-2","upstream":"i-b"}
{"time":"2026-08-14T10:55:03.000Z","level":"warning","host":"h1","event":"store_lost","topic":"operator"}
{"time":"2026-08-14T10:55:03.0
)";

std::vector<LogLine> recorded()
{
    std::istringstream in(RECORDED);
    return readLogLines(in);
}

}

Test(story, lines_that_are_not_structured_are_left_out) { cr_assert(recorded().size() == 7); }

Test(story, a_requests_steps_stand_in_order_with_what_decided_them)
{
    const auto story = storyOf(recorded(), "r-1");
    cr_assert(story.has_value());
    cr_assert(*story
        == "2026-08-14T10:55:02.150Z  h1  sent  upstream=i-a  expected_ms=31\n"
           "2026-08-14T10:55:02.170Z  h1  attempt_failed  upstream=i-a  reason=connection lost\n"
           "2026-08-14T10:55:02.171Z  h1  failed  status=502  reason=connection lost\n");
}

Test(story, a_request_that_no_line_names_has_none)
{
    cr_assert_not(storyOf(recorded(), "r-3").has_value());
    cr_assert_not(storyOf({}, "r-1").has_value());
}

Test(story, beliefs_are_the_last_summary_and_what_changed_since)
{
    const auto beliefs = beliefsOf(recorded(), "h1", "2026-08-14T10:55:02.500Z");
    cr_assert(beliefs.has_value());
    cr_assert(*beliefs
        == "2026-08-14T10:55:00.000Z  h1  beliefs  configuration=42  avoided=[]\n"
           "2026-08-14T10:55:02.124Z  h1  upstream_gone  upstream=i-a  reason=registration ended\n");
    cr_assert_not(beliefsOf(recorded(), "h1", "2026-08-14T10:54:59.000Z").has_value());
    cr_assert_not(beliefsOf(recorded(), "h2", "2026-08-14T10:56:00.000Z").has_value());
}
