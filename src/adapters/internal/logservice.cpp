#include "fireflyhaven/adapters/logservice.h"

#include "fireflyhaven/common/json.h"
#include "fireflyhaven/http/client.h"

namespace fireflyhaven::adapters {

namespace {

constexpr Duration APPEND_TIMEOUT { 2000 };
// Added to the time that the log itself waits for records.
constexpr Duration READ_TIMEOUT_MARGIN { 2000 };

std::optional<LogPage> pageFromJson(const nlohmann::json& document)
{
    try {
        LogPage page {
            .first = document.at("first").get<Offset>(), .next = document.at("next").get<Offset>(), .records = {}
        };
        for (const nlohmann::json& it : document.at("records"))
            page.records.push_back({ it.at("offset").get<Offset>(), it.at("text").get<std::string>() });
        return page;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

}

HttpLogService::HttpLogService(const std::string& address, const std::string& stream)
    : m_base("http://" + address + "/log/" + stream)
{
}

Result<Offset> HttpLogService::append(const std::string& text)
{
    BOOST_LEAF_AUTO(response,
        http::fetch({ .method = "POST", .url = m_base + "/append", .body = text, .timeout = APPEND_TIMEOUT }));
    const std::optional<nlohmann::json> document = parseJson(response);
    if (!document || !document->is_object() || !document->contains("offset")
        || !(*document)["offset"].is_number_unsigned())
        return failure(ErrorCode::Protocol, "the log's answer to an append can't be read");
    return (*document)["offset"].get<Offset>();
}

Result<LogPage> HttpLogService::read(Offset from, std::size_t maxRecords, Duration wait)
{
    const std::string query = "?from=" + std::to_string(from.value()) + "&most=" + std::to_string(maxRecords)
        + "&wait_ms=" + std::to_string(wait.count());
    BOOST_LEAF_AUTO(response, http::fetch({ .url = m_base + "/read" + query, .timeout = wait + READ_TIMEOUT_MARGIN }));
    const std::optional<nlohmann::json> document = parseJson(response);
    std::optional<LogPage> page = document ? pageFromJson(*document) : std::nullopt;
    if (!page)
        return failure(ErrorCode::Protocol, "the log's answer to a read can't be read");
    return std::move(*page);
}

}
