#pragma once

#include "fireflyhaven/store/readsourceselector.h"
#include "fireflyhaven/store/readtiming.h"

#include <string>
#include <string_view>
#include <vector>

namespace fireflyhaven::store {

// How a host comes to know a change in the store.
enum class ReadPath {
    // It reads the store, which answers.
    Store,
    // The host that it reads from falls silent, and it reads the store itself.
    SourceLost,
    // The same in a layered fleet, where the first hosts of the data centre replace the source.
    SourceLostOverTwoHops,
    // It had no way to the store or to a current host, and has one again. Counted from that moment.
    WayRegained,
    // It starts while others run. Counted from the start.
    Start,
};

// A named part of a worst case.
struct PropagationPart {
    std::string_view name;
    Duration time {};
};

// The longest time that a change takes on each path until a host acts on it, as a sum of named parts. Holds for hosts
// that handle their events in time; what a large record takes to transfer comes on top, and is limited by
// `transferAllowance`. Does no I/O.
class PropagationBudget {
public:
    explicit PropagationBudget(const PropagationBounds& bounds, const ReadSourceOptions& options = {});

    std::vector<PropagationPart> parts(ReadPath path, Topic topic) const;
    Duration worstCase(ReadPath path, Topic topic) const;
    // The time that the path may take: the topic's bound, or where the host had no way, the time after which it counts
    // as reachable.
    Duration limit(ReadPath path, Topic topic) const;
    // What the parts leave of the limit for the transfer of records; negative if they are longer than the limit.
    Duration transferAllowance(ReadPath path, Topic topic) const { return limit(path, topic) - worstCase(path, topic); }
    // One line for each path whose worst case is longer than its limit, with the parts; empty if there is none.
    std::string violations() const;

private:
    const PropagationBounds m_bounds;
    const ReadTiming m_timing;
    const ReadSourceOptions m_options;
};

}
