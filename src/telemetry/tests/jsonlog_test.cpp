#include "fireflyhaven/telemetry/jsonformatter.h"
#include "fireflyhaven/telemetry/logevent.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>

#include <criterion/criterion.h>

using namespace fireflyhaven::telemetry;

namespace {

// Replaces the default logger by one that captures its output.
class CapturedLog {
public:
    explicit CapturedLog(const std::string& host = {})
    {
        auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(m_text);
        auto logger = std::make_shared<spdlog::logger>("captured", sink);
        logger->set_formatter(makeJsonFormatter(host));
        spdlog::set_default_logger(logger);
    }
    std::string text() const { return m_text.str(); }
    nlohmann::json line() const { return nlohmann::json::parse(m_text.str()); }

private:
    std::ostringstream m_text;
};

}

Test(jsonlog, eventIsOneLineWithItsFields)
{
    CapturedLog log;
    logEvent(spdlog::level::info, "request_sent", { { "request", "r-1" }, { "expected_ms", 12 } });
    const auto line = log.line();
    cr_assert(line["event"] == "request_sent");
    cr_assert(line["level"] == "info");
    cr_assert(line["request"] == "r-1");
    cr_assert(line["expected_ms"] == 12);
    cr_assert(line["time"].get<std::string>().ends_with("Z"));
    cr_assert(log.text().find('\n') == log.text().size() - 1);
}

Test(jsonlog, hostIsInEachLine)
{
    CapturedLog log("h\"1");
    logEvent(spdlog::level::info, "store_lost");
    cr_assert(log.line()["host"] == "h\"1" && log.line()["event"] == "store_lost");
}

Test(jsonlog, plainMessageIsEscaped)
{
    CapturedLog log;
    spdlog::warn("a \"quoted\" text\nwith two lines");
    cr_assert(log.line()["event"] == "message");
    cr_assert(log.line()["text"] == "a \"quoted\" text\nwith two lines");
}

// Ids and paths come from callers and may hold arbitrary bytes, which must not make the line invalid JSON.
Test(jsonlog, invalidUtf8KeepsTheLineParseable)
{
    CapturedLog log;
    logEvent(spdlog::level::info, "request_sent", { { "request", "\xff\xfe{\"event\":" } });
    cr_assert(log.line()["event"] == "request_sent");
}

Test(jsonlog, lineBelowLogLevelIsNotWritten)
{
    CapturedLog log;
    logEvent(spdlog::level::debug, "request_sent");
    cr_assert(log.text().empty());
}
