#include "fireflyhaven/explain/logquery.h"

#include <sstream>

#include <criterion/criterion.h>

using namespace fireflyhaven::explain;

namespace {

// Log lines of two hosts, some with a prefix that a log collector adds, and one truncated line.
const char* const LOG_TEXT = R"(
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

std::vector<LogLine> parsedLines()
{
    std::istringstream in(LOG_TEXT);
    return readLogLines(in);
}

}

Test(logquery, unstructuredLinesAreSkipped) { cr_assert(parsedLines().size() == 7); }

Test(logquery, requestTraceListsStepsInTimeOrder)
{
    const auto trace = requestTrace(parsedLines(), "r-1");
    cr_assert(trace.has_value());
    cr_assert(*trace
        == "2026-08-14T10:55:02.150Z  h1  sent  upstream=i-a  expected_ms=31\n"
           "2026-08-14T10:55:02.170Z  h1  attempt_failed  upstream=i-a  reason=connection lost\n"
           "2026-08-14T10:55:02.171Z  h1  failed  status=502  reason=connection lost\n");
}

Test(logquery, unknownRequestHasNoTrace)
{
    cr_assert_not(requestTrace(parsedLines(), "r-3").has_value());
    cr_assert_not(requestTrace({}, "r-1").has_value());
}

Test(logquery, hostStateIsLastSummaryAndLaterEvents)
{
    const auto state = hostStateAt(parsedLines(), "h1", "2026-08-14T10:55:02.500Z");
    cr_assert(state.has_value());
    cr_assert(*state
        == "2026-08-14T10:55:00.000Z  h1  beliefs  configuration=42  avoided=[]\n"
           "2026-08-14T10:55:02.124Z  h1  upstream_gone  upstream=i-a  reason=registration ended\n");
    cr_assert_not(hostStateAt(parsedLines(), "h1", "2026-08-14T10:54:59.000Z").has_value());
    cr_assert_not(hostStateAt(parsedLines(), "h2", "2026-08-14T10:56:00.000Z").has_value());
}
