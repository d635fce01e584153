#pragma once

#include "fireflyhaven/config/types/lists.h"

namespace fireflyhaven::config {

inline std::string keyText(const ModelVersion& key) { return key.text(); }
inline std::string keyText(const AllowanceKey& key) { return key.text(); }
template <typename Tag> std::string keyText(const StrongId<Tag>& key) { return key.value(); }

// Calls `visit` with the map of the collection.
template <typename ListsType, typename Visit>
decltype(auto) visitCollection(ListsType& lists, Collection collection, Visit&& visit)
{
    switch (collection) {
    case Collection::DataCentres:
        return visit(lists.dataCentres);
    case Collection::Versions:
        return visit(lists.versions);
    case Collection::Upstreams:
        return visit(lists.upstreams);
    case Collection::Plans:
        return visit(lists.plans);
    case Collection::Workspaces:
        return visit(lists.workspaces);
    case Collection::Allowances:
        break;
    }
    return visit(lists.allowances);
}

inline void assignKey(ModelVersion& key, const std::string& text) { key = ModelVersion::parse(text); }
inline void assignKey(AllowanceKey& key, const std::string& text)
{
    const auto slash = text.find('/');
    key.plan = PlanName(text.substr(0, slash));
    key.task = TaskName(slash == std::string::npos ? std::string() : text.substr(slash + 1));
}
template <typename Tag> void assignKey(StrongId<Tag>& key, const std::string& text) { key = StrongId<Tag>(text); }

// Converts the text form of a key to the key type of the map.
template <typename Map> typename Map::key_type keyFromText(const Map&, const std::string& text)
{
    typename Map::key_type key;
    assignKey(key, text);
    return key;
}

}
