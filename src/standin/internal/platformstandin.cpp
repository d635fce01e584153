#include "fireflyhaven/standin/platformstandin.h"

#include "fireflyhaven/common/json.h"
#include "fireflyhaven/http/types/status.h"

#include <absl/time/clock.h>

#include <algorithm>

namespace fireflyhaven::standin {

namespace {

http::Response jsonResponse(const nlohmann::json& body)
{
    return {
        .status = STATUS_OK, .headers = { { "Content-Type", "application/json" } }, .body = body.dump(), .stream = {}
    };
}

http::Response errorResponse(int status) { return { .status = status, .headers = {}, .body = "{}", .stream = {} }; }

std::uint64_t numberParameter(const http::Request& request, const std::string& name, std::uint64_t defaultValue)
{
    const std::string& text = request.parameter(name);
    const bool isNumber
        = !text.empty() && text.size() < 19 && text.find_first_not_of("0123456789") == std::string::npos;
    return isNumber ? std::stoull(text) : defaultValue;
}

}

PlatformStandin::PlatformStandin(std::size_t retention, const IClock& clock)
    : m_retention(retention)
    , m_clock(clock)
{
}

http::Response PlatformStandin::handle(const http::Request& request)
{
    if (request.path == "/fault" && request.method == "POST") {
        const auto document = parseJson(request.body);
        const auto faults = document ? fromJson<Faults>(*document) : std::nullopt;
        if (!faults)
            return errorResponse(STATUS_BAD_REQUEST);
        absl::MutexLock lock(&m_mutex);
        m_faults = *faults;
        return jsonResponse(nlohmann::json(m_faults));
    }
    int slowMs = 0;
    {
        absl::MutexLock lock(&m_mutex);
        if (request.path == "/stats")
            return jsonResponse({ { "appends", m_appends }, { "ratings", m_ratings } });
        if (m_faults.down)
            return errorResponse(STATUS_UNAVAILABLE);
        slowMs = m_faults.slowMs;
    }
    absl::SleepFor(absl::Milliseconds(slowMs));
    if (request.path.rfind("/log/", 0) == 0)
        return handleLog(request);
    if (request.path.rfind("/hosts", 0) == 0)
        return handleHosts(request);
    if (request.path == "/rate" && request.method == "POST")
        return rate(request);
    return errorResponse(STATUS_NOT_FOUND);
}

http::Response PlatformStandin::handleLog(const http::Request& request)
{
    const std::string rest = request.path.substr(std::string("/log/").size());
    const auto slash = rest.find('/');
    const std::string stream = rest.substr(0, slash);
    const std::string operation = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (operation == "append" && request.method == "POST")
        return append(stream, request.body);
    if (operation == "read")
        return read(stream, request);
    return errorResponse(STATUS_NOT_FOUND);
}

http::Response PlatformStandin::append(const std::string& name, const std::string& text)
{
    absl::MutexLock lock(&m_mutex);
    if (m_faults.loseAppends > 0) {
        --m_faults.loseAppends;
        return errorResponse(STATUS_UNAVAILABLE);
    }
    Stream& stream = m_streams[name];
    const std::uint64_t offset = stream.next();
    stream.records.push_back(text);
    ++m_appends;
    if (stream.records.size() > m_retention) {
        stream.records.pop_front();
        ++stream.first;
    }
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        return errorResponse(STATUS_UNAVAILABLE);
    }
    return jsonResponse({ { "offset", offset } });
}

http::Response PlatformStandin::read(const std::string& name, const http::Request& request)
{
    constexpr std::uint64_t MAX_RECORDS = 10'000;
    const std::uint64_t from = std::max<std::uint64_t>(1, numberParameter(request, "from", 1));
    const std::uint64_t maxRecords = std::min(MAX_RECORDS, numberParameter(request, "most", MAX_RECORDS));
    const std::uint64_t waitMs = numberParameter(request, "wait_ms", 0);
    absl::MutexLock lock(&m_mutex);
    const auto ready = [&]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
        const auto it = m_streams.find(name);
        return m_faults.down || (it != m_streams.end() && it->second.next() > from);
    };
    m_mutex.AwaitWithTimeout(absl::Condition(&ready), absl::Milliseconds(waitMs));
    if (m_faults.down)
        return errorResponse(STATUS_UNAVAILABLE);
    const Stream& stream = m_streams[name];
    nlohmann::json records = nlohmann::json::array();
    for (std::uint64_t n = std::max(from, stream.first); n < stream.next() && records.size() < maxRecords; ++n)
        records.push_back({ { "offset", n }, { "text", stream.records[n - stream.first] } });
    return jsonResponse({ { "first", stream.first }, { "next", stream.next() }, { "records", std::move(records) } });
}

http::Response PlatformStandin::handleHosts(const http::Request& request)
{
    absl::MutexLock lock(&m_mutex);
    if (request.method == "GET")
        return jsonResponse({ { "hosts", m_hosts } });
    const std::string id = request.path.size() > 7 ? request.path.substr(7) : std::string();
    if (id.empty())
        return errorResponse(STATUS_BAD_REQUEST);
    if (request.method == "DELETE")
        m_hosts.erase(id);
    else
        m_hosts[id] = request.body;
    return jsonResponse({ { "hosts", m_hosts } });
}

// Rates an answer as bad if it contains "[bad]", the marker that the engine stand-in puts into bad answers.
http::Response PlatformStandin::rate(const http::Request& request)
{
    absl::MutexLock lock(&m_mutex);
    const TimePoint now = m_clock.now();
    if (now - m_ratingWindowStart >= std::chrono::seconds(1)) {
        m_ratingWindowStart = now;
        m_ratingsInWindow = 0;
    }
    if (m_faults.ratingsPerSecond > 0 && m_ratingsInWindow >= m_faults.ratingsPerSecond)
        return errorResponse(STATUS_TOO_MANY_REQUESTS);
    ++m_ratingsInWindow;
    ++m_ratings;
    const auto document = parseJson(request.body);
    if (!document || !document->is_object() || !document->contains("answer") || !(*document)["answer"].is_string())
        return errorResponse(STATUS_BAD_REQUEST);
    const bool bad = (*document)["answer"].get_ref<const std::string&>().find("[bad]") != std::string::npos;
    return jsonResponse({ { "good", !bad } });
}

}
