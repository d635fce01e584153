#pragma once

#include "fireflyhaven/common/types/ids.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace fireflyhaven {

template <typename Tag> void to_json(nlohmann::json& node, const StrongId<Tag>& id) { node = id.value(); }
template <typename Tag> void from_json(const nlohmann::json& node, StrongId<Tag>& id)
{
    id = StrongId<Tag>(node.get<std::string>());
}

template <typename Tag> void to_json(nlohmann::json& node, const StrongNumber<Tag>& n) { node = n.value(); }
template <typename Tag> void from_json(const nlohmann::json& node, StrongNumber<Tag>& n)
{
    n = StrongNumber<Tag>(node.get<std::uint64_t>());
}

inline void to_json(nlohmann::json& node, const ModelVersion& it) { node = it.text(); }
inline void from_json(const nlohmann::json& node, ModelVersion& it)
{
    it = ModelVersion::parse(node.get<std::string>());
}

inline void to_json(nlohmann::json& node, const Cost& it) { node = it.micros; }
inline void from_json(const nlohmann::json& node, Cost& it) { it.micros = node.get<std::int64_t>(); }

// Parses untrusted text; returns no value if it is not valid JSON.
inline std::optional<nlohmann::json> parseJson(const std::string& text)
{
    nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded())
        return std::nullopt;
    return document;
}

// Converts untrusted JSON to a typed value; returns no value if fields are missing or have the wrong type.
template <typename T> std::optional<T> fromJson(const nlohmann::json& node)
{
    try {
        return node.get<T>();
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

}
