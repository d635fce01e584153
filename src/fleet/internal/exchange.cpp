#include "fireflyhaven/fleet/exchange.h"

#include <algorithm>
#include <utility>

namespace fireflyhaven::fleet {

namespace {

// Source id of the sums over all other hosts, in the same id space as the hosts.
const HostId FLEET_AGGREGATE_ID("sum of the fleet");
constexpr std::size_t MAX_ROSTER_ENTRIES = 100;
constexpr std::size_t MAX_GOSSIP_ADDRESSES = 8;
constexpr std::size_t MAX_PROBES = 8;
constexpr Duration SEED_INTERVAL { 400 };
constexpr Duration AGGREGATOR_SEED_INTERVAL { 3000 };
// Two hosts that send sums of the same data centre within this time are competing aggregators.
constexpr Duration COMPETING_AGGREGATOR_WINDOW { 1000 };
// During its first ticks a host sends full reports and contacts the seeds: if all hosts start at once, an aggregator
// does not know which hosts are missing.
constexpr std::uint32_t STARTUP_TICKS = 25;
// Minimum time between two roster replies to a host that sends its reports to hosts other than its aggregators.
constexpr Duration ROSTER_REPLY_INTERVAL { 500 };
// Sums that were not renewed for this long no longer count.
constexpr Duration AGGREGATE_TIMEOUT { 4000 };
// A host that reported upstreams within this time is busy and gets digests with counters; idle hosts get digests that
// only show that the aggregator is alive.
constexpr Duration BUSY_WINDOW { 5000 };
constexpr std::uint32_t BUSY_DIGEST_INTERVAL_TICKS = 2;
constexpr std::uint32_t IDLE_DIGEST_INTERVAL_TICKS = 2;
// Rosters are sent once in this many ticks, and with the next digest after the ranked hosts changed.
constexpr std::uint32_t ROSTER_INTERVAL_TICKS = 15;
// A session is repeated in each digest up to this age since its last request; full digests list older ones too.
constexpr std::uint32_t RECENT_SESSION_AGE_MS = 1200;

HostId aggregateIdOf(const DataCentreId& dataCentre) { return HostId("sum of data centre " + dataCentre.value()); }

}

Exchange::Exchange(ExchangeOptions options, IReportDelegate& delegate)
    : m_options(std::move(options))
    , m_delegate(delegate)
    , m_hosts(m_options.self, { .dataCentre = m_options.dataCentre, .capacity = m_options.capacity })
{
}

bool Exchange::isAggregator() const
{
    return std::find(m_aggregators.begin(), m_aggregators.end(), m_options.self) != m_aggregators.end();
}

bool Exchange::isPrimaryAggregator() const { return !m_aggregators.empty() && m_aggregators.front() == m_options.self; }

bool Exchange::hasLivePeers(TimePoint now) const { return !m_hosts.live(now).empty(); }

int Exchange::sharingHostCount(TimePoint now) const
{
    const int known = m_hosts.sharingHostCount(now);
    if (!m_hosts.isLayered())
        return known;
    // The table holds only some hosts of the other data centres, so their host counts are taken from the rosters.
    int hosts = 1;
    for (const auto& [id, it] : m_hosts.hosts())
        hosts += it.report.dataCentre == m_options.dataCentre ? 1 : 0;
    for (const auto& [dataCentre, n] : m_remoteHostCounts)
        hosts += n;
    return std::max(hosts, known);
}

void Exchange::onAddress(const HostId& host, const http::Endpoint& peerAddress, TimePoint now)
{
    m_hosts.onAddress(host, peerAddress, now);
}

http::Endpoint Exchange::addressOf(const HostId& host) const { return m_hosts.hosts().at(host).peerAddress; }

std::vector<Datagram> Exchange::onDatagram(
    const std::string& bytes, const http::Endpoint& from, TimePoint now, bool& unreadable)
{
    std::vector<Datagram> out;
    if (const auto report = decodeReport(bytes)) {
        onHostReport(*report, from, now);
        const bool expected = isAggregator() && report->dataCentre == m_options.dataCentre;
        if (m_hosts.isLayered() && !expected)
            sendRosters(out, report->host, report->dataCentre, from, now);
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
    const std::uint64_t previousIncarnation = known == m_hosts.hosts().end() ? 0 : known->second.report.incarnation;
    const auto before = m_hosts.onReport(report, from, now);
    if (!before)
        return;
    for (const http::Endpoint& it : report.gossipAddresses.items) {
        const auto hasAddress = [&](const auto& entry) { return entry.second.peerAddress == it; };
        const bool isKnown
            = it == m_options.peerAddress || std::any_of(m_hosts.hosts().begin(), m_hosts.hosts().end(), hasAddress);
        // The report holds only the address. The entry gets a temporary id until the host's own report arrives.
        if (!isKnown)
            m_hosts.onAddress(HostId("at " + it.text()), it, now);
    }
    // In the layered topology only aggregators of the host's data centre use its report; other hosts get it as part of
    // a sum.
    if (m_hosts.isLayered() && (!isAggregator() || report.dataCentre != m_options.dataCentre))
        return;
    const bool newIncarnation = previousIncarnation != report.incarnation || !m_activeSources.contains(report.host);
    m_activeSources.insert(report.host);
    m_delegate.onReport(*before, report, newIncarnation, now);
    if (report.dataCentre == m_options.dataCentre)
        m_localAggregate.onReport(report.host, report, newIncarnation, now);
    m_fleetAggregate.onReport(report.host, report, newIncarnation, now);
}

bool Exchange::acceptDigest(const FleetDigest& digest, TimePoint now)
{
    LastDigest& latest = m_lastDigests[digest.from];
    const bool old = digest.incarnation < latest.incarnation
        || (digest.incarnation == latest.incarnation && digest.sequence <= latest.sequence);
    // A host whose wall clock was set back restarts with a smaller incarnation; it is accepted after a silence.
    const bool silent = now - latest.receivedAt >= AGGREGATE_TIMEOUT;
    if (old && !silent)
        return false;
    latest = { .incarnation = digest.incarnation, .sequence = digest.sequence, .receivedAt = now };
    return true;
}

void Exchange::onDigest(std::vector<Datagram>& out, const FleetDigest& digest, TimePoint now)
{
    if (digest.from == m_options.self || digest.from.empty() || !acceptDigest(digest, now))
        return;
    m_hosts.markAlive(digest.from, now);
    for (const Roster& it : digest.rosters.items) {
        m_hosts.onRoster(it, now);
        if (it.dataCentre != m_options.dataCentre)
            m_remoteHostCounts[it.dataCentre] = it.hostCount;
    }
    const bool own = digest.dataCentre == m_options.dataCentre;
    if (digest.scope == DigestScope::DataCentre && !own && isAggregator()) {
        removeSourcesIf([&](const HostId& it) { return isHostOf(it, digest.dataCentre); });
        introduceCompetingAggregators(out, digest, now);
        onAggregate(aggregateIdOf(digest.dataCentre), digest, now);
    } else if (digest.scope == DigestScope::Presence && own) {
        m_digestReceivedAt = now;
    } else if (digest.scope == DigestScope::Fleet && own) {
        m_digestReceivedAt = now;
        if (isAggregator())
            return;
        removeSourcesIf([](const HostId& it) { return it != FLEET_AGGREGATE_ID; });
        onAggregate(FLEET_AGGREGATE_ID, digest, now);
    }
}

// Two hosts of one data centre that both send its sums are not in each other's host tables. Both get a roster that
// lists the other one.
void Exchange::introduceCompetingAggregators(std::vector<Datagram>& out, const FleetDigest& digest, TimePoint now)
{
    const auto last = m_receivedAggregates.find(aggregateIdOf(digest.dataCentre));
    if (last == m_receivedAggregates.end() || last->second.from == digest.from
        || now - last->second.receivedAt >= COMPETING_AGGREGATOR_WINDOW)
        return;
    for (const HostId& it : { last->second.from, digest.from })
        m_hosts.markAlive(it, now);
    for (const HostId& it : { last->second.from, digest.from }) {
        const auto host = m_hosts.hosts().find(it);
        if (host != m_hosts.hosts().end())
            sendRosters(out, it, digest.dataCentre, host->second.peerAddress, now);
    }
}

void Exchange::onAggregate(const HostId& source, const FleetDigest& digest, TimePoint now)
{
    ReceivedAggregate& known = m_receivedAggregates[source];
    const bool sameSender = known.from == digest.from && known.report.incarnation == digest.incarnation;
    const bool newIncarnation = !sameSender || !m_activeSources.contains(source);
    HostReport report { .host = source,
        .incarnation = digest.incarnation,
        .sequence = digest.sequence,
        .dataCentre = digest.dataCentre,
        .upstreams = digest.upstreams,
        .trials = digest.trials,
        .baselineTimes = digest.baselineTimes,
        .rollouts = digest.rollouts,
        .sessions = digest.sessions,
        .speeds = digest.speeds,
        .demands = digest.demands };
    // Upstreams that are no longer listed have no requests in flight.
    for (const UpstreamCounters& it : known.report.upstreams.items) {
        const auto isSame = [&](const UpstreamCounters& listed) { return listed.upstream == it.upstream; };
        const auto& listed = digest.upstreams.items;
        if ((it.inFlight || it.pendingPrefillMs) && std::none_of(listed.begin(), listed.end(), isSame))
            report.upstreams.items.push_back({ .upstream = it.upstream, .good = it.good, .failed = it.failed });
    }
    // The previous report is passed on even if another aggregator sent it: answers of a trial that were already counted
    // must not count again.
    const HostReport before = std::exchange(known.report, report);
    known.from = digest.from;
    known.receivedAt = now;
    m_activeSources.insert(source);
    m_delegate.onReport(before, report, newIncarnation, now);
    if (source != FLEET_AGGREGATE_ID)
        m_fleetAggregate.onReport(source, report, newIncarnation, now);
}

void Exchange::clearSource(const HostId& source)
{
    m_delegate.onHostSilent(source);
    m_localAggregate.onSilent(source);
    m_fleetAggregate.onSilent(source);
}

void Exchange::removeSourcesIf(const std::function<bool(const HostId&)>& condition)
{
    std::erase_if(m_activeSources, [&](const HostId& it) {
        if (!condition(it))
            return false;
        clearSource(it);
        return true;
    });
}

bool Exchange::isHostOf(const HostId& source, const DataCentreId& dataCentre) const
{
    const auto it = m_hosts.hosts().find(source);
    return it != m_hosts.hosts().end() && it->second.report.dataCentre == dataCentre;
}

void Exchange::removeSilentSources(TimePoint now)
{
    removeSourcesIf([&](const HostId& it) {
        const auto aggregate = m_receivedAggregates.find(it);
        if (aggregate != m_receivedAggregates.end())
            return now - aggregate->second.receivedAt >= AGGREGATE_TIMEOUT;
        const auto host = m_hosts.hosts().find(it);
        return host == m_hosts.hosts().end() || !m_hosts.hasRecentReport(host->second, now);
    });
}

std::vector<Datagram> Exchange::tick(TimePoint now)
{
    ++m_ticks;
    removeSilentSources(now);
    m_hosts.removeExpired(now);
    suspectAggregators(now);
    chooseTopology(now);
    const bool full = m_sequence % m_options.reportsPerFullReport == 0 || m_ticks < STARTUP_TICKS;
    return m_hosts.isLayered() ? sendLayered(full, now) : sendFlat(full, now);
}

std::vector<Datagram> Exchange::reportNow(TimePoint now)
{
    return m_hosts.isLayered() ? sendLayered(true, now) : sendFlat(true, now);
}

// Digests arrive several times per second. Without them the aggregators are dead or do not receive this host's reports.
void Exchange::suspectAggregators(TimePoint now)
{
    if (m_aggregators.empty() || isPrimaryAggregator()) {
        m_awaitingDigestSince = now;
        return;
    }
    const HostId& first = m_aggregators.front();
    if (isAggregator()) {
        m_awaitingDigestSince = now;
        const auto it = m_hosts.hosts().find(first);
        const bool hasReported = it != m_hosts.hosts().end() && it->second.lastReportAt;
        if (hasReported && now - *it->second.lastReportAt >= m_options.primaryAggregatorTimeout)
            m_hosts.markSuspected(first, now);
        return;
    }
    if (now - std::max(m_digestReceivedAt, m_awaitingDigestSince) < m_options.aggregatorTimeout)
        return;
    for (const HostId& it : m_aggregators)
        m_hosts.markSuspected(it, now);
    m_awaitingDigestSince = now;
}

void Exchange::chooseTopology(TimePoint now)
{
    const std::size_t live = m_hosts.live(now).size();
    const bool receivesDigests
        = m_digestReceivedAt != TimePoint {} && now - m_digestReceivedAt < m_options.aggregatorTimeout;
    const std::size_t maxFlat = m_hosts.isLayered() ? m_options.maxFlatPeers / 2 : m_options.maxFlatPeers;
    const bool layered = !m_options.alwaysFlat && (receivesDigests || live > maxFlat);
    if (m_hosts.isLayered() && !layered)
        removeSourcesIf([&](const HostId& it) { return m_receivedAggregates.contains(it); });
    m_hosts.setLayered(layered);
    m_aggregators.clear();
    if (!layered)
        return;
    m_aggregators = m_hosts.ranked(m_options.dataCentre, now);
    m_aggregators.resize(std::min(m_aggregators.size(), m_options.aggregatorsPerDataCentre));
    if (isAggregator())
        removeSourcesIf([](const HostId& it) { return it == FLEET_AGGREGATE_ID; });
}

HostReport Exchange::makeReport(bool full, TimePoint now)
{
    HostReport it { .host = m_options.self,
        .incarnation = m_options.incarnation,
        .sequence = ++m_sequence,
        .frontend = m_options.frontend,
        .dataCentre = m_options.dataCentre,
        .capacity = m_options.capacity };
    m_delegate.fillReport(it, full, now);
    m_hosts.setOwnState({ .acceptsRequests = it.acceptsRequests, .reachesStore = it.reachesStore });
    return it;
}

std::vector<Datagram> Exchange::sendFlat(bool full, TimePoint now)
{
    HostReport own = makeReport(full, now);
    if (full) {
        const auto live = m_hosts.live(now);
        for (std::size_t n = 0; n < std::min(MAX_GOSSIP_ADDRESSES, live.size()); ++n)
            own.gossipAddresses.items.push_back(live[(m_sequence + n) % live.size()]->peerAddress);
    }
    const std::string bytes = encodeReport(own);
    std::vector<Datagram> out;
    for (const http::Endpoint& it : m_hosts.reportTargets(MAX_PROBES, now))
        out.push_back({ .to = it, .bytes = bytes });
    contactSeeds(out, bytes, now);
    return out;
}

std::vector<Datagram> Exchange::sendLayered(bool full, TimePoint now)
{
    std::vector<Datagram> out;
    const bool aggregator = isAggregator();
    const HostReport own = makeReport(full || aggregator, now);
    const bool idle = own.upstreams.items.empty();
    const bool isNews = std::exchange(m_reportedStoreAccess, own.reachesStore) != own.reachesStore;
    const bool due = full || aggregator || !idle || isNews || m_ticks % m_options.idleReportIntervalTicks == 0;
    const std::string bytes = due ? encodeReport(own) : std::string();
    for (const HostId& it : m_aggregators) {
        if (due && it != m_options.self)
            out.push_back({ .to = addressOf(it), .bytes = bytes });
    }
    if (due)
        contactSeeds(out, bytes, now);
    if (!aggregator)
        return out;
    m_localAggregate.onReport(m_options.self, own, false, now);
    m_fleetAggregate.onReport(m_options.self, own, false, now);
    if (!isPrimaryAggregator())
        return out;
    for (const http::Endpoint& it : m_hosts.probeTargets(MAX_PROBES, now))
        out.push_back({ .to = it, .bytes = bytes });
    m_ownSpeeds = own.speeds;
    sendToDataCentres(out, now);
    sendToHosts(out, now);
    return out;
}

bool Exchange::needsSeeds(TimePoint now) const
{
    if (m_options.seeds.empty())
        return false;
    if (!hasLivePeers(now) || m_ticks < STARTUP_TICKS)
        return true;
    const bool digestsTimedOut = now - m_digestReceivedAt >= m_options.aggregatorTimeout;
    return m_hosts.isLayered() && !isAggregator() && digestsTimedOut;
}

void Exchange::contactSeeds(std::vector<Datagram>& out, const std::string& report, TimePoint now)
{
    // An aggregator contacts the seeds occasionally, in case its view of the fleet is a partition with itself alone.
    const Duration interval = needsSeeds(now) ? SEED_INTERVAL : AGGREGATOR_SEED_INTERVAL;
    if ((!needsSeeds(now) && !isAggregator()) || now - m_seedsContactedAt < interval)
        return;
    m_seedsContactedAt = now;
    for (const http::Endpoint& it : m_options.seeds) {
        if (it != m_options.peerAddress)
            out.push_back({ .to = it, .bytes = report });
    }
}

FleetDigest Exchange::makeDigest(DigestScope scope)
{
    return { .from = m_options.self,
        .incarnation = m_options.incarnation,
        .sequence = ++m_digestSequence,
        .dataCentre = m_options.dataCentre,
        .scope = scope };
}

Roster Exchange::rosterOf(const DataCentreId& dataCentre, std::size_t maxEntries, TimePoint now) const
{
    const std::vector<HostId> ranked = m_hosts.ranked(dataCentre, now);
    const auto remote = m_remoteHostCounts.find(dataCentre);
    const std::size_t reportedCount = remote == m_remoteHostCounts.end() ? 0 : remote->second;
    Roster roster { .dataCentre = dataCentre,
        .hostCount = static_cast<std::uint16_t>(std::max(reportedCount, ranked.size())) };
    for (const HostId& id : ranked) {
        if (roster.entries.items.size() >= maxEntries)
            break;
        if (id == m_options.self) {
            roster.entries.items.push_back({ .host = id,
                .incarnation = m_options.incarnation,
                .peerAddress = m_options.peerAddress,
                .frontend = m_options.frontend,
                .capacity = m_options.capacity,
                .acceptsRequests = m_hosts.acceptsRequests(id),
                .reachesStore = m_hosts.reachesStore(id) });
            continue;
        }
        const KnownHost& it = m_hosts.hosts().at(id);
        const TimePoint lastSeenAt
            = std::max(it.lastReportAt.value_or(TimePoint {}), it.confirmedAt.value_or(TimePoint {}));
        roster.entries.items.push_back({ .host = id,
            .incarnation = it.report.incarnation,
            .ageMs = static_cast<std::uint32_t>((now - lastSeenAt).count()),
            .peerAddress = it.peerAddress,
            .frontend = it.report.frontend,
            .capacity = it.report.capacity,
            .acceptsRequests = it.report.acceptsRequests,
            .reachesStore = it.report.reachesStore });
    }
    return roster;
}

void Exchange::addRosters(
    FleetDigest& digest, const DataCentreId& fullRosterOf, bool replaceEarlier, TimePoint now) const
{
    for (const DataCentreId& it : m_hosts.dataCentres(now)) {
        Roster roster = rosterOf(it, it == fullRosterOf ? MAX_ROSTER_ENTRIES : m_options.partialRosterSize, now);
        roster.replacesEarlier = replaceEarlier;
        digest.rosters.items.push_back(std::move(roster));
    }
}

void Exchange::sendToDataCentres(std::vector<Datagram>& out, TimePoint now)
{
    FleetDigest sums = makeDigest(DigestScope::DataCentre);
    m_localAggregate.fill(sums, HostId(), now);
    sums.speeds = m_ownSpeeds;
    Roster roster = rosterOf(m_options.dataCentre, m_options.partialRosterSize, now);
    roster.replacesEarlier = true;
    sums.rosters.items.push_back(std::move(roster));
    const std::string bytes = encodeDigest(sums);
    for (const DataCentreId& dataCentre : m_hosts.dataCentres(now)) {
        if (dataCentre == m_options.dataCentre)
            continue;
        std::vector<HostId> targets = m_hosts.ranked(dataCentre, now);
        targets.resize(std::min(targets.size(), m_options.aggregatorsPerDataCentre));
        for (const HostId& it : targets)
            out.push_back({ .to = addressOf(it), .bytes = bytes });
    }
}

void Exchange::sendToHosts(std::vector<Datagram>& out, TimePoint now)
{
    std::vector<HostId> ranking = m_hosts.ranked(m_options.dataCentre, now);
    std::vector<HostId> readers = m_hosts.storeReaders(now);
    if (ranking != m_lastRanking || readers != m_lastStoreReaders)
        m_rosterChangedTick = m_ticks;
    m_lastRanking = std::move(ranking);
    m_lastStoreReaders = std::move(readers);
    const bool changed = m_ticks - m_rosterChangedTick < IDLE_DIGEST_INTERVAL_TICKS;
    std::uint32_t position = m_ticks;
    for (const auto& [id, host] : m_hosts.hosts()) {
        const bool isMember = host.report.dataCentre == m_options.dataCentre && m_hosts.hasRecentReport(host, now);
        if (!isMember || std::find(m_aggregators.begin(), m_aggregators.end(), id) != m_aggregators.end())
            continue;
        // Spreads the digests of the hosts over different ticks.
        ++position;
        const bool busy = m_localAggregate.isBusy(id, BUSY_WINDOW, now);
        if (position % (busy ? BUSY_DIGEST_INTERVAL_TICKS : IDLE_DIGEST_INTERVAL_TICKS) != 0)
            continue;
        const bool rosterDue = position % ROSTER_INTERVAL_TICKS < IDLE_DIGEST_INTERVAL_TICKS;
        sendToHost(out, host, changed || rosterDue, now);
    }
}

void Exchange::sendToHost(std::vector<Datagram>& out, const KnownHost& host, bool withRosters, TimePoint now)
{
    const bool busy = m_localAggregate.isBusy(host.report.host, BUSY_WINDOW, now);
    FleetDigest it = makeDigest(busy ? DigestScope::Fleet : DigestScope::Presence);
    if (busy) {
        m_fleetAggregate.fill(it, host.report.host, now);
        it.speeds = m_ownSpeeds;
        keepRecentSessions(it);
    }
    if (withRosters)
        addRosters(it, m_options.dataCentre, true, now);
    out.push_back({ .to = host.peerAddress, .bytes = encodeDigest(it) });
}

// Removes sessions that earlier digests listed, except in the periodic full digests.
void Exchange::keepRecentSessions(FleetDigest& digest) const
{
    if (m_ticks % m_options.reportsPerFullReport < BUSY_DIGEST_INTERVAL_TICKS)
        return;
    std::erase_if(digest.sessions.items, [](const ActiveSession& it) { return it.ageMs >= RECENT_SESSION_AGE_MS; });
}

// Sends a host the rosters, at most once per ROSTER_REPLY_INTERVAL. The roster of `dataCentre`, its own, is the full
// one.
void Exchange::sendRosters(std::vector<Datagram>& out, const HostId& host, const DataCentreId& dataCentre,
    const http::Endpoint& address, TimePoint now)
{
    TimePoint& last = m_rostersSentAt[host];
    if (last != TimePoint {} && now - last < ROSTER_REPLY_INTERVAL)
        return;
    last = now;
    FleetDigest it = makeDigest(DigestScope::Hosts);
    addRosters(it, dataCentre, false, now);
    out.push_back({ .to = address, .bytes = encodeDigest(it) });
}

}
