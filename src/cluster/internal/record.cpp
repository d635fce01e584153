#include "fireflyhaven/cluster/types/record.h"

namespace fireflyhaven::cluster {

namespace {

// Stored names of the entry kinds, in the order of the alternatives of Entry.
constexpr const char* ENTRY_KIND_NAMES[]
    = { "config", "join", "admit", "confirm", "leave", "evict", "claim", "result", "ratings", "suspend", "snapshot" };
static_assert(std::size(ENTRY_KIND_NAMES) == std::variant_size_v<Entry>);

nlohmann::json encodeBody(const ConfigEntry& entry) { return config::changeSetToJson(entry.changes); }
nlohmann::json encodeBody(const SnapshotEntry& entry)
{
    return { { "covers", entry.coveredOffset }, { "state", entry.state } };
}
template <typename T> nlohmann::json encodeBody(const T& entry) { return entry; }

template <typename T> std::optional<Entry> decodeBody(const nlohmann::json& body)
{
    std::optional<T> entry = fromJson<T>(body);
    if (!entry)
        return std::nullopt;
    return Entry(std::move(*entry));
}

template <> std::optional<Entry> decodeBody<ConfigEntry>(const nlohmann::json& body)
{
    std::optional<config::ChangeSet> changes = config::changeSetFromJson(body);
    if (!changes)
        return std::nullopt;
    return Entry(ConfigEntry { .changes = std::move(*changes) });
}

template <> std::optional<Entry> decodeBody<SnapshotEntry>(const nlohmann::json& body)
{
    if (!body.is_object() || !body.contains("covers") || !body["covers"].is_number_unsigned()
        || !body.contains("state"))
        return std::nullopt;
    return Entry(SnapshotEntry { .coveredOffset = body["covers"].get<Offset>(), .state = body["state"] });
}

template <std::size_t Index = 0> std::optional<Entry> decodeEntry(const std::string& kind, const nlohmann::json& body)
{
    if constexpr (Index < std::variant_size_v<Entry>) {
        if (kind == ENTRY_KIND_NAMES[Index])
            return decodeBody<std::variant_alternative_t<Index, Entry>>(body);
        return decodeEntry<Index + 1>(kind, body);
    }
    return std::nullopt;
}

}

std::string encodeRecord(const Record& record)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const Entry& it : record.entries) {
        nlohmann::json body = std::visit([](const auto& entry) { return encodeBody(entry); }, it);
        entries.push_back({ { "kind", ENTRY_KIND_NAMES[it.index()] }, { "body", std::move(body) } });
    }
    const nlohmann::json document { { "writer", record.id.writer }, { "sequence", record.id.sequence },
        { "written_ms", record.writtenMs }, { "entries", std::move(entries) } };
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<Record> decodeRecord(const std::string& text)
{
    const std::optional<nlohmann::json> document = parseJson(text);
    const auto isUnsigned
        = [&](const char* name) { return document->contains(name) && (*document)[name].is_number_unsigned(); };
    if (!document || !document->is_object() || !isUnsigned("writer") || !isUnsigned("sequence")
        || !document->contains("written_ms") || !(*document)["written_ms"].is_number_integer()
        || !document->contains("entries") || !(*document)["entries"].is_array())
        return std::nullopt;
    Record record { .id = { .writer = (*document)["writer"].get<WriterId>(), .sequence = (*document)["sequence"] },
        .writtenMs = (*document)["written_ms"],
        .entries = {} };
    for (const nlohmann::json& node : (*document)["entries"]) {
        if (!node.is_object() || !node.contains("kind") || !node["kind"].is_string() || !node.contains("body"))
            return std::nullopt;
        std::optional<Entry> entry = decodeEntry(node["kind"].get<std::string>(), node["body"]);
        if (!entry)
            return std::nullopt;
        record.entries.push_back(std::move(*entry));
    }
    return record;
}

}
