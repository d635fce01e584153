#include "fireflyhaven/adapters/ratingservice.h"

#include "fireflyhaven/http/client.h"

namespace fireflyhaven::adapters {

HttpRatingService::HttpRatingService(const std::string& address, Duration timeout)
    : m_base("http://" + address)
    , m_timeout(timeout)
{
}

Result<bool> HttpRatingService::rate(
    const quality::RatingKey& key, const std::string& prompt, const std::string& answer)
{
    const nlohmann::json body { { "task", key.task }, { "version", key.version }, { "prompt", prompt },
        { "answer", answer } };
    const http::Call call { .method = "POST",
        .url = m_base + "/rate",
        .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
        .timeout = m_timeout };
    BOOST_LEAF_AUTO(text, http::fetch(call));
    const std::optional<nlohmann::json> document = parseJson(text);
    if (!document || !document->is_object() || !document->contains("good") || !(*document)["good"].is_boolean())
        return failure(ErrorCode::Protocol, "the rating can't be read");
    return (*document)["good"].get<bool>();
}

Result<std::set<HostId>> readHostList(const std::string& address)
{
    BOOST_LEAF_AUTO(text, http::fetch({ .url = "http://" + address + "/hosts" }));
    const std::optional<nlohmann::json> document = parseJson(text);
    if (!document || !document->is_object() || !document->contains("hosts") || !(*document)["hosts"].is_object())
        return failure(ErrorCode::Protocol, "the host list can't be read");
    std::set<HostId> hosts;
    for (const auto& [id, state] : (*document)["hosts"].items())
        hosts.insert(HostId(id));
    return hosts;
}

}
