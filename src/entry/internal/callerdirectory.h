#pragma once

#include "directoryhostselector.h"
#include "fireflyhaven/entry/types/settings.h"
#include "fireflyhaven/entry/wirecodec.h"
#include "fireflyhaven/fleet/hosttable.h"

namespace fireflyhaven::entry {

// Tells callers which hosts to use.
class CallerDirectory {
public:
    // What this host says of itself.
    struct OwnState {
        bool takesCallers = false;
        bool isDraining = false;
    };

    // `hosts` are the other hosts.
    CallerDirectory(const EntrySettings& settings, const fleet::HostTable& hosts)
        : m_settings(settings)
        , m_hosts(hosts)
        , m_selector(settings.frontend)
    {
    }

    // Addresses of the hosts that accept callers, those in the caller's data centre first; in the layered exchange only
    // a selection of them. If there are none, this host's own address, unless it is draining.
    std::vector<http::Endpoint> addressesFor(const AddressQuery& query, const OwnState& own, TimePoint now) const;

private:
    const EntrySettings& m_settings;
    const fleet::HostTable& m_hosts;
    DirectoryHostSelector m_selector;
};

}
