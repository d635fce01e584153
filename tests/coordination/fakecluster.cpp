#include "fakecluster.h"

#include <algorithm>
#include <iostream>

namespace fireflyhaven::tests {

namespace {

constexpr int UPSTREAM_LIMIT = 8;
constexpr Duration MAX_REQUEST_DURATION { 3000 };
constexpr Duration MAX_NETWORK_DELAY { 20 };
const RegionId REGION("r");
const char* const VERSION = "m@1";

std::string dataCentreName(int n) { return "dc" + std::to_string(n); }

nlohmann::json listsFor(const FakeClusterOptions& options)
{
    nlohmann::json document {
        { "versions", { { VERSION, { { "state", "active" }, { "input_price", 1 }, { "output_price", 1 } } } } },
        { "data_centres", nlohmann::json::object() }, { "upstreams", nlohmann::json::object() }
    };
    for (int n = 0; n < options.dataCentres; ++n) {
        document["data_centres"][dataCentreName(n)] = { { "region", REGION.value() } };
        for (int u = 0; u < options.upstreamsPerDataCentre; ++u) {
            document["upstreams"]["u" + std::to_string(n) + "-" + std::to_string(u)]
                = { { "address", "10.0.0.1:80" }, { "data_centre", dataCentreName(n) }, { "kind", "engine" },
                      { "versions", { VERSION } }, { "cold_limit", 2 }, { "limit", UPSTREAM_LIMIT } };
        }
    }
    return document;
}

}

FakeCluster::FakeCluster(FakeClusterOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    const config::ChangeSet changes = config::diffLists({}, listsFor(options));
    m_loggedConfig.apply(changes, Offset(1));
    m_log.append(
        { .id = { WriterId(++m_lastWriter), 1 }, .writtenMs = 0, .entries = { cluster::ConfigEntry { changes } } });
    for (const auto& [id, item] : m_loggedConfig.lists().upstreams)
        m_upstreams[id] = {};
    for (int n = 0; n < options.dataCentres; ++n) {
        for (int h = 0; h < options.hostsPerDataCentre; ++h)
            m_hosts.push_back(
                makeHost(HostId("h" + std::to_string(n) + std::to_string(h)), DataCentreId(dataCentreName(n))));
    }
}

FakeHost FakeCluster::makeHost(const HostId& id, const DataCentreId& dataCentre)
{
    const WriterId writer(++m_lastWriter);
    return { .id = id,
        .dataCentre = dataCentre,
        .fold = {},
        .tracker = membership::MembershipTracker({ .self = id, .region = REGION, .lease = LEASE }),
        .owners = ownership::OwnerTable(),
        .writer = cluster::GroupWriter({ .writer = writer, .seed = writer.value() }) };
}

void FakeCluster::restart(std::size_t n)
{
    m_hosts[n] = makeHost(m_hosts[n].id, m_hosts[n].dataCentre);
    trace("restart " + m_hosts[n].id.value());
}

void FakeCluster::heal()
{
    m_cutLinks.clear();
    m_log.down = false;
    for (FakeHost& it : m_hosts) {
        it.logUnreachable = false;
        it.recordFetchBlocked = false;
        it.pausedUntil = m_now;
    }
    trace("heal");
}

FakeHost* FakeCluster::find(const HostId& id)
{
    const auto it = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const FakeHost& host) { return host.id == id; });
    return it == m_hosts.end() ? nullptr : &*it;
}

void FakeCluster::changeConfig(
    std::size_t viaHost, config::Collection collection, const std::string& key, const nlohmann::json& patch)
{
    FakeHost& host = m_hosts[viaHost];
    const nlohmann::json items = config::collectionToJson(host.fold.config().lists(), collection);
    if (!items.contains(key))
        return;
    nlohmann::json patchedItems = items;
    patchedItems[key].update(patch);
    const config::ChangeSet changes
        = config::diffLists(host.fold.config().lists(), { { config::collectionName(collection), patchedItems } });
    if (!changes.empty())
        host.writer.submit(cluster::ConfigEntry { .changes = changes });
    trace("change " + key + " " + patch.dump() + " via " + host.id.value());
}

void FakeCluster::submitClaim(std::size_t viaHost, const idempotency::CallKey& call)
{
    FakeHost& host = m_hosts[viaHost];
    const auto ticket = host.writer.submit(idempotency::ClaimEntry { .call = call,
        .holder = host.tracker.selfIncarnation(),
        .bodyDigest = "b",
        .issuedMs = m_now.time_since_epoch().count() });
    host.claims[*ticket] = call;
}

void FakeCluster::leave(std::size_t n)
{
    m_hosts[n].writer.submit(membership::LeaveEntry { .life = m_hosts[n].tracker.selfIncarnation() });
    appendPendingRecord(m_hosts[n]);
    kill(n);
    trace("leave " + m_hosts[n].id.value());
}

void FakeCluster::runFor(Duration time)
{
    for (const TimePoint end = m_now + time; m_now < end;)
        step();
}

void FakeCluster::step()
{
    m_now += STEP;
    finishRequests();
    for (FakeHost& host : m_hosts) {
        if (!isRunning(host))
            continue;
        readRecords(host);
        deliverHeartbeats(host);
        tickTracker(host);
        appendPendingRecord(host);
        sendRequests(host);
    }
    // Heartbeats to a dead or paused host are lost 500 ms after they were due.
    std::erase_if(m_network, [&](const auto& it) { return it.first + Duration(500) < m_now; });
    checkOwners();
}

void FakeCluster::readRecords(FakeHost& host)
{
    if (!m_log.down && !host.logUnreachable) {
        foldRecords(host, m_log.records.size());
        if (!host.caughtUp) {
            host.caughtUp = true;
            host.owners.reset(host.fold.config().lists(), host.fold.membership(), host.fold.governingOffset());
            host.tracker.onFoldUpdated(host.fold.membership(), host.fold.offset(), host.fold.governingOffset(), m_now);
        }
        return;
    }
    if (host.recordFetchBlocked)
        return;
    for (const HostId& id : host.tracker.hostsAhead(m_now)) {
        FakeHost* peer = find(id);
        if (!isRunning(*peer) || isLinkCut(id, host.id) || isLinkCut(host.id, id) || !host.caughtUp)
            continue;
        foldRecords(host, peer->fold.offset().value());
        return;
    }
}

void FakeCluster::foldRecords(FakeHost& host, std::size_t until)
{
    while (host.fold.offset().value() < until) {
        const Offset offset = host.fold.offset().next();
        const cluster::Record& record = m_log.records[offset.value() - 1];
        const Offset governing = host.fold.governingOffset();
        const cluster::RecordOutcome recordOutcome = host.fold.apply(record, offset);
        if (host.fold.governingOffset() != governing && host.caughtUp)
            host.owners.update(host.fold.config().lists(), host.fold.membership(), host.fold.governingOffset());
        host.tracker.onFoldUpdated(host.fold.membership(), offset, host.fold.governingOffset(), m_now);
        for (const cluster::TicketOutcome& it : host.writer.onApplied(record.id, recordOutcome, offset))
            applyOutcome(host, it);
    }
}

void FakeCluster::applyOutcome(FakeHost& host, const cluster::TicketOutcome& ticketOutcome)
{
    if (host.pendingProposal == ticketOutcome.ticket)
        host.pendingProposal.reset();
    const auto claim = host.claims.find(ticketOutcome.ticket);
    if (claim == host.claims.end() || !ticketOutcome.outcome.accepted())
        return;
    if (++m_dispatchCounts[claim->second] > 1)
        recordViolation("a non-repeatable call ran more than once", claim->second.text());
}

void FakeCluster::deliverHeartbeats(FakeHost& host)
{
    for (auto it = m_network.begin(); it != m_network.end() && it->first <= m_now;) {
        if (it->second.to != host.id) {
            ++it;
            continue;
        }
        host.tracker.onHeartbeat(it->second.heartbeat, m_now);
        it = m_network.erase(it);
    }
}

void FakeCluster::tickTracker(FakeHost& host)
{
    if (!host.caughtUp)
        return;
    std::uniform_int_distribution<Duration::rep> delay(0, MAX_NETWORK_DELAY.count());
    for (membership::TrackerAction& action : host.tracker.tick({}, m_now)) {
        if (auto* it = std::get_if<membership::SendHeartbeat>(&action)) {
            const HostId to(it->to.ip);
            ++m_messageCount;
            if (!isLinkCut(host.id, to))
                m_network.emplace(m_now + Duration(delay(m_random)), Message { to, std::move(it->heartbeat) });
            continue;
        }
        if (host.pendingProposal)
            continue;
        if (const auto* admit = std::get_if<membership::WriteAdmit>(&action)) {
            host.pendingProposal = host.writer.submit(admit->entry);
        } else if (const auto* confirm = std::get_if<membership::WriteConfirm>(&action)) {
            host.pendingProposal = host.writer.submit(confirm->entry);
        } else if (const auto* evict = std::get_if<membership::WriteEvict>(&action)) {
            host.pendingProposal = host.writer.submit(evict->entry);
            trace(host.id.value() + " evicts " + evict->entry.lives.front().host.value());
        } else {
            host.pendingProposal = host.writer.submit(membership::JoinEntry { .host = host.id,
                .dataCentre = host.dataCentre,
                .region = REGION,
                .address = { .ip = host.id.value() },
                .writer = host.writer.writer() });
        }
    }
}

void FakeCluster::appendPendingRecord(FakeHost& host)
{
    if (!host.caughtUp)
        return;
    const auto record = host.writer.poll(m_now, WallTime(m_now.time_since_epoch()));
    if (!record)
        return;
    const bool reachable = !m_log.down && !host.logUnreachable;
    if (reachable) {
        m_log.append(*record);
        for (const cluster::Entry& it : record->entries) {
            if (const auto* changed = std::get_if<cluster::ConfigEntry>(&it))
                recordServiceChange(changed->changes);
        }
    }
    const bool answered = reachable && m_appendAnswersToDrop == 0;
    if (reachable && m_appendAnswersToDrop > 0)
        --m_appendAnswersToDrop;
    host.writer.onAppendResponse(answered, m_now);
}

void FakeCluster::recordServiceChange(const config::ChangeSet& changes)
{
    if (m_loggedConfig.apply(changes, Offset(m_log.records.size())).outcome != config::ChangeOutcome::Accepted)
        return;
    for (const auto& [id, item] : m_loggedConfig.lists().dataCentres) {
        if (item.value.inService)
            m_outOfServiceSince.erase(id);
        else
            m_outOfServiceSince.emplace(id, m_now);
    }
}

bool FakeCluster::mayAct(const FakeHost& host) const
{
    return host.alive && host.caughtUp && host.tracker.mayActAsOwner(m_now);
}

bool FakeCluster::maySendTo(const FakeHost& host, const UpstreamId& upstream) const
{
    const HostId* owner = host.owners.ownerOf(upstream);
    return mayAct(host) && owner && *owner == host.id
        && host.tracker.settledOffset(m_now) >= host.owners.ownerSince(upstream);
}

bool FakeCluster::allUpstreamsOwned() const
{
    return std::all_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& upstream) {
        return std::any_of(m_hosts.begin(), m_hosts.end(),
            [&](const FakeHost& host) { return isRunning(host) && maySendTo(host, upstream.first); });
    });
}

void FakeCluster::sendRequests(FakeHost& host)
{
    for (auto& [id, upstream] : m_upstreams) {
        const auto* item = config::findItem(host.fold.config().lists().upstreams, id);
        const bool usable = item && host.fold.config().lists().dataCentres.at(item->value.dataCentre).value.inService;
        const bool maySend = m_options.uncoordinatedSending ? host.caughtUp : maySendTo(host, id);
        if (!usable || !maySend)
            continue;
        const Offset since = m_options.uncoordinatedSending ? Offset(1) : host.owners.ownerSince(id);
        auto it = host.ramps.find(id);
        if (it == host.ramps.end()) {
            const dispatch::RampOptions options {
                .coldLimit = upstream.coldLimit, .limit = upstream.coldLimit, .maxReportLag = REPORT_LAG
            };
            it = host.ramps.emplace(id, std::make_pair(since, dispatch::ConcurrencyRamp(options, m_now))).first;
        }
        if (it->second.first != since) {
            it->second.first = since;
            it->second.second.onTakeover(m_now);
        }
        int reportedInFlight = 0;
        for (const auto& [at, inFlight] : upstream.inFlightHistory) {
            if (at + REPORT_LAG <= m_now)
                reportedInFlight = inFlight;
        }
        it->second.second.onLoadReport({ .running = reportedInFlight, .restarts = 0 }, m_now);
        const bool hasRequest = std::uniform_int_distribution<int>(0, 3)(m_random) == 0;
        if (hasRequest && it->second.second.allowance(m_now) > 0)
            sendRequest(host, id);
    }
}

void FakeCluster::sendRequest(FakeHost& host, const UpstreamId& id)
{
    FakeUpstream& upstream = m_upstreams[id];
    host.ramps.at(id).second.onSent();
    std::uniform_int_distribution<Duration::rep> requestDuration(100, MAX_REQUEST_DURATION.count());
    upstream.inFlightRequests.emplace(m_now + Duration(requestDuration(m_random)), host.id);
    upstream.inFlightHistory.emplace_back(m_now, static_cast<int>(upstream.inFlightRequests.size()));
    ++upstream.sent;
    if (static_cast<int>(upstream.inFlightRequests.size()) > upstream.coldLimit) {
        ++upstream.overloads;
        if (!m_options.uncoordinatedSending)
            recordViolation("a cold upstream exceeded its cold limit", id.value() + " from " + host.id.value());
    }
    const DataCentreId& dataCentre = m_loggedConfig.lists().upstreams.at(id).value.dataCentre;
    const auto outSince = m_outOfServiceSince.find(dataCentre);
    const bool logReadable = !host.logUnreachable && !m_log.down;
    const Duration bound = logReadable ? OUT_OF_SERVICE_BOUND : OUT_OF_SERVICE_BOUND_WITHOUT_LOG;
    const bool boundApplies = logReadable || !m_log.down;
    if (outSince != m_outOfServiceSince.end() && boundApplies && m_now - outSince->second > bound)
        recordViolation(
            "an out-of-service data centre got a new request", dataCentre.value() + " from " + host.id.value());
}

void FakeCluster::finishRequests()
{
    for (auto& [id, upstream] : m_upstreams) {
        const auto end = upstream.inFlightRequests.upper_bound(m_now);
        for (auto it = upstream.inFlightRequests.begin(); it != end; it = upstream.inFlightRequests.erase(it)) {
            FakeHost* host = find(it->second);
            const auto ramp = host->ramps.find(id);
            if (host->alive && ramp != host->ramps.end() && ramp->second.second.inFlight() > 0)
                ramp->second.second.onAnswered(std::nullopt);
        }
        upstream.inFlightHistory.emplace_back(m_now, static_cast<int>(upstream.inFlightRequests.size()));
        while (upstream.inFlightHistory.size() > 2 && upstream.inFlightHistory[1].first + REPORT_LAG <= m_now)
            upstream.inFlightHistory.pop_front();
    }
}

void FakeCluster::checkOwners()
{
    if (m_options.uncoordinatedSending)
        return;
    for (const auto& [id, upstream] : m_upstreams) {
        std::string ownerNames;
        int n = 0;
        for (const FakeHost& host : m_hosts) {
            if (!maySendTo(host, id))
                continue;
            ++n;
            ownerNames += " " + host.id.value();
        }
        if (n > 1)
            recordViolation("several hosts may send to an upstream", id.value() + ":" + ownerNames);
    }
}

void FakeCluster::recordViolation(const std::string& invariant, const std::string& detail)
{
    m_violations.push_back({ .invariant = invariant, .detail = detail });
    trace("VIOLATION " + invariant + ": " + detail);
}

void FakeCluster::trace(std::string line)
{
    constexpr std::size_t MAX_TRACE_LINES = 60;
    m_trace.push_back(
        std::to_string((m_now.time_since_epoch() - Duration(1'000'000)).count()) + " ms " + std::move(line));
    if (m_trace.size() > MAX_TRACE_LINES)
        m_trace.pop_front();
}

void FakeCluster::printTrace() const
{
    std::cerr << "seed " << m_options.seed << "\n";
    for (const std::string& line : m_trace)
        std::cerr << "  " << line << "\n";
}

}
