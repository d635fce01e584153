#include "fireflyhaven/telemetry/jsonformatter.h"

#include <nlohmann/json.hpp>
#include <spdlog/pattern_formatter.h>

namespace fireflyhaven::telemetry {

namespace {

constexpr std::string_view STRUCTURED_PREFIX = "{\"event\":";

std::string toJsonString(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Pattern flag that writes the fields of a message without the outer braces.
class FieldsFlag final : public spdlog::custom_flag_formatter {
public:
    explicit FieldsFlag(const std::string& host)
    {
        if (!host.empty())
            m_host = "\"host\":" + toJsonString(host) + ",";
    }

    void format(const spdlog::details::log_msg& message, const std::tm&, spdlog::memory_buf_t& out) override
    {
        const std::string_view payload(message.payload.data(), message.payload.size());
        out.append(m_host.data(), m_host.data() + m_host.size());
        if (payload.starts_with(STRUCTURED_PREFIX)) {
            const std::string_view fields = payload.substr(1, payload.size() - 2);
            out.append(fields.data(), fields.data() + fields.size());
            return;
        }
        const std::string text = toJsonString(payload);
        constexpr std::string_view PLAIN_MESSAGE_FIELDS = "\"event\":\"message\",\"text\":";
        out.append(PLAIN_MESSAGE_FIELDS.data(), PLAIN_MESSAGE_FIELDS.data() + PLAIN_MESSAGE_FIELDS.size());
        out.append(text.data(), text.data() + text.size());
    }
    std::unique_ptr<custom_flag_formatter> clone() const override { return std::make_unique<FieldsFlag>(*this); }

private:
    std::string m_host;
};

}

std::unique_ptr<spdlog::formatter> makeJsonFormatter(const std::string& host)
{
    auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc);
    formatter->add_flag<FieldsFlag>('J', host).set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%J})");
    return formatter;
}

}
