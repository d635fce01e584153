#include "fireflyhaven/fleet/exchange.h"

#include <algorithm>

namespace fireflyhaven::fleet {

namespace {

// Names the sums over all other hosts, beside the ids of hosts.
const HostId FLEET("sum of the fleet");
constexpr std::size_t MOST_IN_ROSTER = 100;
constexpr std::size_t NAMED_ADDRESSES = 8;
constexpr std::size_t MOST_PROBES = 8;
constexpr Duration SEED_INTERVAL { 400 };
constexpr Duration AGGREGATOR_SEED_INTERVAL { 3000 };
// Digests of one data centre that come from two hosts within this time are those of rivals.
constexpr Duration RIVAL_WINDOW { 1000 };
// At the start of all hosts an aggregator does not know yet whom it has not heard of.
constexpr std::uint32_t START_INTERVALS = 25;
// Shortest time between two answers to a host that reports to the wrong place.
constexpr Duration WELCOME_INTERVAL { 500 };
// Sums that were not renewed for this long count no more.
constexpr Duration SUM_SILENCE { 4000 };
// A host that named upstreams within this time gets whole digests; others learn who lives. Each at so many intervals.
constexpr Duration BUSY { 5000 };
constexpr std::uint32_t BUSY_DIGEST_INTERVALS = 2;
constexpr std::uint32_t IDLE_DIGEST_INTERVALS = 2;
// Rosters travel that often, and with the next digest of an idle host where they changed.
constexpr std::uint32_t ROSTER_INTERVALS = 15;
// A session is told again within this time after its last request, and with each full digest.
constexpr std::uint32_t RECENT_SESSION_MS = 1200;

HostId sumOf(const DataCentreId& dataCentre) { return HostId("sum of data centre " + dataCentre.value()); }

}

Exchange::Exchange(ExchangeOptions options, IReportPart& part)
    : m_options(std::move(options))
    , m_part(part)
    , m_hosts(m_options.self, { .dataCentre = m_options.dataCentre, .capacity = m_options.capacity })
{
}

bool Exchange::isAggregator() const
{
    return std::find(m_aggregators.begin(), m_aggregators.end(), m_options.self) != m_aggregators.end();
}

bool Exchange::isInTouch(TimePoint now) const { return !m_hosts.live(now).empty(); }

int Exchange::sharers(TimePoint now) const
{
    const int known = m_hosts.sharers(now);
    if (!m_hosts.isLayered())
        return known;
    // The hosts of other data centres are known in part only.
    int hosts = 1;
    for (const auto& [id, it] : m_hosts.hosts())
        hosts += it.report.dataCentre == m_options.dataCentre ? 1 : 0;
    for (const auto& [dataCentre, n] : m_hostsElsewhere)
        hosts += n;
    return std::max(hosts, known);
}

void Exchange::onAddress(const HostId& host, const http::Endpoint& peerAddress, TimePoint now)
{
    m_hosts.onAddress(host, peerAddress, now);
}

http::Endpoint Exchange::addressOf(const HostId& host) const { return m_hosts.hosts().at(host).peerAddress; }

// Receiving.

std::vector<Datagram> Exchange::onDatagram(
    const std::string& bytes, const http::Endpoint& from, TimePoint now, bool& unreadable)
{
    std::vector<Datagram> out;
    if (const auto report = decodeReport(bytes)) {
        onHostReport(*report, from, now);
        const bool expected = isAggregator() && report->dataCentre == m_options.dataCentre;
        if (m_hosts.isLayered() && !expected)
            tellRosters(out, report->host, report->dataCentre, from, now);
    } else if (const auto digest = decodeDigest(bytes)) {
        onDigest(out, *digest, now);
    } else {
        unreadable = true;
    }
    return out;
}

void Exchange::onHostReport(const HostReport& report, const http::Endpoint& from, TimePoint now)
{
    const auto known = m_hosts.hosts().find(report.host);
    const std::uint64_t lifeBefore = known == m_hosts.hosts().end() ? 0 : known->second.report.life;
    const auto before = m_hosts.onReport(report, from, now);
    if (!before)
        return;
    for (const http::Endpoint& it : report.otherHosts.items) {
        const auto hasAddress = [&](const auto& entry) { return entry.second.peerAddress == it; };
        const bool isKnown
            = it == m_options.peerAddress || std::any_of(m_hosts.hosts().begin(), m_hosts.hosts().end(), hasAddress);
        // Its id is learned from its own report.
        if (!isKnown)
            m_hosts.onAddress(HostId("at " + it.text()), it, now);
    }
    // Elsewhere its report comes as a part of a sum.
    if (m_hosts.isLayered() && (!isAggregator() || report.dataCentre != m_options.dataCentre))
        return;
    const bool newLife = lifeBefore != report.life || !m_sources.contains(report.host);
    m_sources.insert(report.host);
    m_part.onReport(*before, report, newLife, now);
    if (report.dataCentre == m_options.dataCentre)
        m_local.onReport(report.host, report, newLife, now);
    m_all.onReport(report.host, report, newLife, now);
}

bool Exchange::isNew(const FleetDigest& digest, TimePoint now)
{
    Sender& sender = m_senders[digest.from];
    const bool old = digest.life < sender.life || (digest.life == sender.life && digest.sequence <= sender.sequence);
    // A host whose time of day was set back starts anew with a smaller number.
    const bool silent = now - sender.at >= SUM_SILENCE;
    if (old && !silent)
        return false;
    sender = { .life = digest.life, .sequence = digest.sequence, .at = now };
    return true;
}

void Exchange::onDigest(std::vector<Datagram>& out, const FleetDigest& digest, TimePoint now)
{
    if (digest.from == m_options.self || digest.from.empty() || !isNew(digest, now))
        return;
    m_hosts.onSign(digest.from, now);
    for (const Roster& it : digest.rosters.items) {
        m_hosts.onRoster(it, now);
        if (it.dataCentre != m_options.dataCentre)
            m_hostsElsewhere[it.dataCentre] = it.hosts;
    }
    const bool own = digest.dataCentre == m_options.dataCentre;
    if (digest.scope == DigestScope::DataCentre && !own && isAggregator()) {
        dropIf([&](const HostId& it) { return isHostOf(it, digest.dataCentre); });
        introduceRivals(out, digest, now);
        onSums(sumOf(digest.dataCentre), digest, now);
    } else if (digest.scope == DigestScope::Presence && own) {
        m_digestAt = now;
    } else if (digest.scope == DigestScope::Fleet && own) {
        m_digestAt = now;
        if (isAggregator())
            return;
        dropIf([](const HostId& it) { return it != FLEET; });
        onSums(FLEET, digest, now);
    }
}

// Two hosts of one data centre that each tell its sums do not know of each other.
void Exchange::introduceRivals(std::vector<Datagram>& out, const FleetDigest& digest, TimePoint now)
{
    const auto last = m_summed.find(sumOf(digest.dataCentre));
    if (last == m_summed.end() || last->second.from == digest.from || now - last->second.at >= RIVAL_WINDOW)
        return;
    for (const HostId& it : { last->second.from, digest.from })
        m_hosts.onSign(it, now);
    for (const HostId& it : { last->second.from, digest.from }) {
        const auto host = m_hosts.hosts().find(it);
        if (host != m_hosts.hosts().end())
            tellRosters(out, it, digest.dataCentre, host->second.peerAddress, now);
    }
}

void Exchange::onSums(const HostId& source, const FleetDigest& digest, TimePoint now)
{
    Summed& known = m_summed[source];
    const bool sameSender = known.from == digest.from && known.report.life == digest.life;
    const bool newLife = !sameSender || !m_sources.contains(source);
    HostReport report { .host = source,
        .life = digest.life,
        .sequence = digest.sequence,
        .dataCentre = digest.dataCentre,
        .upstreams = digest.upstreams,
        .trials = digest.trials,
        .oldTimes = digest.oldTimes,
        .rollouts = digest.rollouts,
        .sessions = digest.sessions };
    // What is not listed is at rest.
    for (const UpstreamCounters& it : known.report.upstreams.items) {
        const auto isSame = [&](const UpstreamCounters& listed) { return listed.upstream == it.upstream; };
        const auto& listed = digest.upstreams.items;
        if ((it.inFlight || it.pendingPrefillMs) && std::none_of(listed.begin(), listed.end(), isSame))
            report.upstreams.items.push_back({ .upstream = it.upstream, .good = it.good, .failed = it.failed });
    }
    // Where another aggregator tells now, answers of a trial that were counted already must not count again.
    const HostReport before = std::exchange(known.report, report);
    known.from = digest.from;
    known.at = now;
    m_sources.insert(source);
    m_part.onReport(before, report, newLife, now);
    if (source != FLEET)
        m_all.onReport(source, report, newLife, now);
}

void Exchange::drop(const HostId& source)
{
    m_part.onHostSilent(source);
    m_local.onSilent(source);
    m_all.onSilent(source);
}

void Exchange::dropIf(const std::function<bool(const HostId&)>& condition)
{
    std::erase_if(m_sources, [&](const HostId& it) {
        if (!condition(it))
            return false;
        drop(it);
        return true;
    });
}

bool Exchange::isHostOf(const HostId& source, const DataCentreId& dataCentre) const
{
    const auto it = m_hosts.hosts().find(source);
    return it != m_hosts.hosts().end() && it->second.report.dataCentre == dataCentre;
}

void Exchange::dropSilent(TimePoint now)
{
    dropIf([&](const HostId& it) {
        const auto summed = m_summed.find(it);
        if (summed != m_summed.end())
            return now - summed->second.at >= SUM_SILENCE;
        const auto host = m_hosts.hosts().find(it);
        return host == m_hosts.hosts().end() || !m_hosts.isHeard(host->second, now);
    });
}

// Sending.

std::vector<Datagram> Exchange::tick(TimePoint now)
{
    ++m_ticks;
    dropSilent(now);
    m_hosts.forgetSilent(now);
    suspectAggregators(now);
    chooseLayout(now);
    const bool full = m_sequence % m_options.reportsPerFullOne == 0 || m_ticks < START_INTERVALS;
    return m_hosts.isLayered() ? sendLayered(full, now) : sendFlat(full, now);
}

std::vector<Datagram> Exchange::reportNow(TimePoint now)
{
    return m_hosts.isLayered() ? sendLayered(true, now) : sendFlat(true, now);
}

// Digests come several times a second: without them the aggregators are dead, or do not hear this host.
void Exchange::suspectAggregators(TimePoint now)
{
    if (m_aggregators.empty() || m_aggregators.front() == m_options.self) {
        m_waitingSince = now;
        return;
    }
    const HostId& first = m_aggregators.front();
    if (isAggregator()) {
        m_waitingSince = now;
        const auto it = m_hosts.hosts().find(first);
        const bool heard = it != m_hosts.hosts().end() && it->second.heardAt;
        if (heard && now - *it->second.heardAt >= m_options.firstAggregatorSilence)
            m_hosts.onSuspected(first, now);
        return;
    }
    if (now - std::max(m_digestAt, m_waitingSince) < m_options.aggregatorSilence)
        return;
    for (const HostId& it : m_aggregators)
        m_hosts.onSuspected(it, now);
    m_waitingSince = now;
}

void Exchange::chooseLayout(TimePoint now)
{
    const std::size_t live = m_hosts.live(now).size();
    const bool told = m_digestAt != TimePoint {} && now - m_digestAt < m_options.aggregatorSilence;
    const std::size_t few = m_hosts.isLayered() ? m_options.mostFlatHosts / 2 : m_options.mostFlatHosts;
    const bool layered = !m_options.alwaysFlat && (told || live > few);
    if (m_hosts.isLayered() && !layered)
        dropIf([&](const HostId& it) { return m_summed.contains(it); });
    m_hosts.setLayered(layered);
    m_aggregators.clear();
    if (!layered)
        return;
    m_aggregators = m_hosts.ranked(m_options.dataCentre, now);
    m_aggregators.resize(std::min(m_aggregators.size(), m_options.aggregators));
    if (isAggregator())
        dropIf([](const HostId& it) { return it == FLEET; });
}

HostReport Exchange::report(bool full, TimePoint now)
{
    HostReport it { .host = m_options.self,
        .life = m_options.life,
        .sequence = ++m_sequence,
        .frontend = m_options.frontend,
        .dataCentre = m_options.dataCentre,
        .capacity = m_options.capacity };
    m_part.fillReport(it, full, now);
    m_hosts.setOwnState({ .takesCallers = it.takesCallers, .reachesStore = it.reachesStore });
    return it;
}

std::vector<Datagram> Exchange::sendFlat(bool full, TimePoint now)
{
    HostReport own = report(full, now);
    if (full) {
        const auto live = m_hosts.live(now);
        for (std::size_t n = 0; n < std::min(NAMED_ADDRESSES, live.size()); ++n)
            own.otherHosts.items.push_back(live[(m_sequence + n) % live.size()]->peerAddress);
    }
    const std::string bytes = encodeReport(own);
    std::vector<Datagram> out;
    for (const http::Endpoint& it : m_hosts.reportTargets(MOST_PROBES, now))
        out.push_back({ .to = it, .bytes = bytes });
    askSeeds(out, bytes, now);
    return out;
}

std::vector<Datagram> Exchange::sendLayered(bool full, TimePoint now)
{
    std::vector<Datagram> out;
    const bool aggregator = isAggregator();
    const HostReport own = report(full || aggregator, now);
    const bool idle = own.upstreams.items.empty();
    const bool due = full || aggregator || !idle || m_ticks % m_options.idleIntervals == 0;
    const std::string bytes = due ? encodeReport(own) : std::string();
    for (const HostId& it : m_aggregators) {
        if (due && it != m_options.self)
            out.push_back({ .to = addressOf(it), .bytes = bytes });
    }
    if (due)
        askSeeds(out, bytes, now);
    if (!aggregator)
        return out;
    m_local.onReport(m_options.self, own, false, now);
    m_all.onReport(m_options.self, own, false, now);
    if (m_aggregators.front() != m_options.self)
        return out;
    for (const http::Endpoint& it : m_hosts.probeTargets(MOST_PROBES, now))
        out.push_back({ .to = it, .bytes = bytes });
    tellDataCentres(out, now);
    tellHosts(out, now);
    return out;
}

bool Exchange::needsSeeds(TimePoint now) const
{
    if (m_options.seeds.empty())
        return false;
    if (!isInTouch(now) || m_ticks < START_INTERVALS)
        return true;
    const bool digestsSilent = now - m_digestAt >= m_options.aggregatorSilence;
    return m_hosts.isLayered() && !isAggregator() && digestsSilent;
}

void Exchange::askSeeds(std::vector<Datagram>& out, const std::string& report, TimePoint now)
{
    // An aggregator asks now and then, lest it be one for itself alone.
    const Duration interval = needsSeeds(now) ? SEED_INTERVAL : AGGREGATOR_SEED_INTERVAL;
    if ((!needsSeeds(now) && !isAggregator()) || now - m_seedsAskedAt < interval)
        return;
    m_seedsAskedAt = now;
    for (const http::Endpoint& it : m_options.seeds) {
        if (it != m_options.peerAddress)
            out.push_back({ .to = it, .bytes = report });
    }
}

FleetDigest Exchange::digest(DigestScope scope)
{
    return { .from = m_options.self,
        .life = m_options.life,
        .sequence = ++m_digestSequence,
        .dataCentre = m_options.dataCentre,
        .scope = scope };
}

Roster Exchange::rosterOf(const DataCentreId& dataCentre, std::size_t most, TimePoint now) const
{
    const std::vector<HostId> ranked = m_hosts.ranked(dataCentre, now);
    const auto elsewhere = m_hostsElsewhere.find(dataCentre);
    const std::size_t told = elsewhere == m_hostsElsewhere.end() ? 0 : elsewhere->second;
    Roster roster { .dataCentre = dataCentre, .hosts = static_cast<std::uint16_t>(std::max(told, ranked.size())) };
    for (const HostId& id : ranked) {
        if (roster.entries.items.size() >= most)
            break;
        if (id == m_options.self) {
            roster.entries.items.push_back({ .host = id,
                .life = m_options.life,
                .peerAddress = m_options.peerAddress,
                .frontend = m_options.frontend,
                .capacity = m_options.capacity,
                .takesCallers = m_hosts.takesCallers(id),
                .reachesStore = m_hosts.reachesStore(id) });
            continue;
        }
        const KnownHost& it = m_hosts.hosts().at(id);
        const TimePoint sign = std::max(it.heardAt.value_or(TimePoint {}), it.vouchedAt.value_or(TimePoint {}));
        roster.entries.items.push_back({ .host = id,
            .life = it.report.life,
            .ageMs = static_cast<std::uint32_t>((now - sign).count()),
            .peerAddress = it.peerAddress,
            .frontend = it.report.frontend,
            .capacity = it.report.capacity,
            .takesCallers = it.report.takesCallers,
            .reachesStore = it.report.reachesStore });
    }
    return roster;
}

void Exchange::addRosters(FleetDigest& digest, const DataCentreId& whole, bool replaceEarlier, TimePoint now) const
{
    for (const DataCentreId& it : m_hosts.dataCentres(now)) {
        Roster roster = rosterOf(it, it == whole ? MOST_IN_ROSTER : m_options.namedHosts, now);
        roster.replacesEarlier = replaceEarlier;
        digest.rosters.items.push_back(std::move(roster));
    }
}

void Exchange::tellDataCentres(std::vector<Datagram>& out, TimePoint now)
{
    FleetDigest sums = digest(DigestScope::DataCentre);
    m_local.fill(sums, HostId(), now);
    Roster roster = rosterOf(m_options.dataCentre, m_options.namedHosts, now);
    roster.replacesEarlier = true;
    sums.rosters.items.push_back(std::move(roster));
    const std::string bytes = encodeDigest(sums);
    for (const DataCentreId& dataCentre : m_hosts.dataCentres(now)) {
        if (dataCentre == m_options.dataCentre)
            continue;
        std::vector<HostId> targets = m_hosts.ranked(dataCentre, now);
        targets.resize(std::min(targets.size(), m_options.aggregators));
        for (const HostId& it : targets)
            out.push_back({ .to = addressOf(it), .bytes = bytes });
    }
}

void Exchange::tellHosts(std::vector<Datagram>& out, TimePoint now)
{
    std::vector<HostId> roster = m_hosts.ranked(m_options.dataCentre, now);
    if (roster != m_lastRoster)
        m_rosterChangedAt = m_ticks;
    m_lastRoster = std::move(roster);
    const bool changed = m_ticks - m_rosterChangedAt < IDLE_DIGEST_INTERVALS;
    std::uint32_t position = m_ticks;
    for (const auto& [id, host] : m_hosts.hosts()) {
        const bool isMember = host.report.dataCentre == m_options.dataCentre && m_hosts.isHeard(host, now);
        if (!isMember || std::find(m_aggregators.begin(), m_aggregators.end(), id) != m_aggregators.end())
            continue;
        // Hosts have their turns at different intervals.
        ++position;
        const bool busy = m_local.isBusy(id, BUSY, now);
        if (position % (busy ? BUSY_DIGEST_INTERVALS : IDLE_DIGEST_INTERVALS) != 0)
            continue;
        const bool rosterDue = position % ROSTER_INTERVALS < IDLE_DIGEST_INTERVALS;
        tellHost(out, host, changed || rosterDue, now);
    }
}

void Exchange::tellHost(std::vector<Datagram>& out, const KnownHost& host, bool withRosters, TimePoint now)
{
    const bool busy = m_local.isBusy(host.report.host, BUSY, now);
    FleetDigest it = digest(busy ? DigestScope::Fleet : DigestScope::Presence);
    if (busy) {
        m_all.fill(it, host.report.host, now);
        keepNewSessions(it);
    }
    if (withRosters)
        addRosters(it, m_options.dataCentre, true, now);
    out.push_back({ .to = host.peerAddress, .bytes = encodeDigest(it) });
}

// Leaves out the sessions that were told before, but for a whole list now and then.
void Exchange::keepNewSessions(FleetDigest& digest) const
{
    if (m_ticks % m_options.reportsPerFullOne < BUSY_DIGEST_INTERVALS)
        return;
    std::erase_if(digest.sessions.items, [](const SessionAtWork& it) { return it.ageMs >= RECENT_SESSION_MS; });
}

// Tells a host where the aggregators of its data centre are.
void Exchange::tellRosters(std::vector<Datagram>& out, const HostId& host, const DataCentreId& dataCentre,
    const http::Endpoint& address, TimePoint now)
{
    TimePoint& last = m_welcomed[host];
    if (last != TimePoint {} && now - last < WELCOME_INTERVAL)
        return;
    last = now;
    FleetDigest it = digest(DigestScope::Hosts);
    addRosters(it, dataCentre, false, now);
    out.push_back({ .to = address, .bytes = encodeDigest(it) });
}

}
