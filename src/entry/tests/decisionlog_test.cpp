#include "../internal/decisionlog.h"

#include "flowfixture.h"

#include "fireflyhaven/telemetry/jsonformatter.h"

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::entry;

namespace {

// A decision log whose output is captured.
struct CapturedDecisionLog {
    CapturedDecisionLog()
    {
        auto logger
            = std::make_shared<spdlog::logger>("captured", std::make_shared<spdlog::sinks::ostream_sink_mt>(text));
        logger->set_formatter(telemetry::makeJsonFormatter());
        spdlog::set_default_logger(logger);
    }
    int countLinesWith(const std::string& part) const
    {
        std::istringstream lines(text.str());
        int n = 0;
        for (std::string line; std::getline(lines, line);)
            n += line.find(part) != std::string::npos ? 1 : 0;
        return n;
    }

    std::ostringstream text;
    VirtualClock clock;
    telemetry::Metrics metrics;
    DecisionLog log { clock, metrics, { .maxRoutineLinesPerSecond = 10 } };
    CallerRequest request { .attempt = AttemptId("a-1") };
};

}

Test(decisionLog, lineContainsRequestInputsAndConfigurationAge)
{
    CapturedDecisionLog it;
    it.log.onFlowEvent({ .step = FlowStep::Refused,
        .request = it.request,
        .elapsed = Duration(12),
        .status = 503,
        .reason = "no eligible upstream before the deadline",
        .retryAfter = Duration(300),
        .configuration = catalog::ConfigurationVersion(7),
        .configurationAge = Duration(450) });
    const auto line = nlohmann::json::parse(it.text.str());
    cr_assert(line["event"] == "request_refused" && line["level"] == "warning");
    cr_assert(line["request"] == "a-1" && line["status"] == 503 && line["retry_after_ms"] == 300);
    cr_assert(line["configuration"] == 7 && line["configuration_age_ms"] == 450);
    cr_assert(line["reason"] == "no eligible upstream before the deadline");
}

// Guards against losing failure lines in a burst of requests: only lines of routine steps may be dropped.
Test(decisionLog, routineLinesAreLimitedAndFailuresKept)
{
    CapturedDecisionLog it;
    for (int i = 0; i < 500; ++i) {
        it.log.onFlowEvent({ .step = FlowStep::Answered, .request = it.request });
        it.log.onFlowEvent({ .step = FlowStep::Failed, .request = it.request });
    }
    cr_assert(it.countLinesWith("request_answered") == 10);
    cr_assert(it.countLinesWith("request_failed") == 500);
    it.clock.advance(Duration(1000));
    it.log.onFlowEvent({ .step = FlowStep::Answered, .request = it.request });
    cr_assert(it.countLinesWith("request_answered") == 11);
}

Test(decisionLog, stepsAndOutcomesAreCounted)
{
    CapturedDecisionLog it;
    it.log.onFlowEvent({ .step = FlowStep::Sent, .request = it.request });
    it.log.onFlowEvent({ .step = FlowStep::Answered, .request = it.request, .elapsed = Duration(40) });
    const auto counters = it.metrics.dump();
    cr_assert(counters["request_steps{step=\"sent\"}"] == 1);
    cr_assert(counters["requests{route=\"none\",outcome=\"answered\"}"] == 1);
}

Test(decisionLog, firstTokenPredictionErrorIsMeasuredAndNotLogged)
{
    CapturedDecisionLog it;
    it.log.onFlowEvent(
        { .step = FlowStep::FirstToken, .request = it.request, .expected = Duration(100), .observed = Duration(40) });
    cr_assert(it.metrics.text().find("first_token_prediction_error_seconds_sum 0.06") != std::string::npos);
    cr_assert(it.text.str().empty());
}

// Guards against logs that do not tell which host was told of an upstream's limit, and by which answer.
Test(decisionLog, limitsOfUpstreamsAreLoggedAndSendsToThemCounted)
{
    CapturedDecisionLog it;
    it.log.onFlowEvent({ .step = FlowStep::LimitNamed,
        .request = it.request,
        .upstream = UpstreamId("u"),
        .limit = RequestRate(1.8) });
    const auto line = nlohmann::json::parse(it.text.str());
    cr_assert(line["event"] == "request_limit_named" && line["upstream"] == "u" && line["limit_per_second"] == 1.8);
    it.log.onFlowEvent({ .step = FlowStep::Sent, .request = it.request, .limit = RequestRate(1.8) });
    it.log.onFlowEvent({ .step = FlowStep::Sent, .request = it.request });
    cr_assert(it.metrics.dump()["sends_to_limited_upstreams"] == 1);
}

// Guards against load figures that are dropped without a word, and against a line for each answer that holds them.
Test(decisionLog, unreadableLoadIsLoggedOncePerUpstreamAndCounted)
{
    CapturedDecisionLog it;
    for (int i = 0; i < 5; ++i) {
        for (const char* upstream : { "u-1", "u-2" })
            it.log.onFlowEvent(
                { .step = FlowStep::LoadUnreadable, .request = it.request, .upstream = UpstreamId(upstream) });
    }
    cr_assert_eq(it.countLinesWith("request_load_unreadable"), 2);
    cr_assert_eq(it.countLinesWith("u-1"), 1);
    cr_assert(it.metrics.dump()["request_steps{step=\"load_unreadable\"}"] == 10);
}
