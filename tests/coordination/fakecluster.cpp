#include "fakecluster.h"

#include <algorithm>
#include <iostream>

namespace fireflyhaven::tests {

namespace {

constexpr int UPSTREAM_LIMIT = 8;
constexpr Duration LONGEST_REQUEST { 3000 };
constexpr Duration LONGEST_DELAY { 20 };
const RegionId REGION("r");
const char* const VERSION = "m@1";

std::string centreName(int n) { return "dc" + std::to_string(n); }

nlohmann::json listsFor(const FakeClusterOptions& options)
{
    nlohmann::json document {
        { "versions", { { VERSION, { { "state", "active" }, { "input_price", 1 }, { "output_price", 1 } } } } },
        { "data_centres", nlohmann::json::object() }, { "upstreams", nlohmann::json::object() }
    };
    for (int n = 0; n < options.dataCentres; ++n) {
        document["data_centres"][centreName(n)] = { { "region", REGION.value() } };
        for (int u = 0; u < options.upstreamsPerDataCentre; ++u) {
            document["upstreams"]["u" + std::to_string(n) + "-" + std::to_string(u)]
                = { { "address", "10.0.0.1:80" }, { "data_centre", centreName(n) }, { "kind", "engine" },
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
    m_operatorView.apply(changes, Offset(1));
    m_log.append(
        { .id = { WriterId(++m_lastWriter), 1 }, .writtenMs = 0, .entries = { cluster::ConfigEntry { changes } } });
    for (const auto& [id, item] : m_operatorView.lists().upstreams)
        m_upstreams[id] = {};
    for (int n = 0; n < options.dataCentres; ++n) {
        for (int h = 0; h < options.hostsPerDataCentre; ++h)
            m_hosts.push_back(
                makeHost(HostId("h" + std::to_string(n) + std::to_string(h)), DataCentreId(centreName(n))));
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
    m_cuts.clear();
    m_log.down = false;
    for (FakeHost& it : m_hosts) {
        it.logCut = false;
        it.fetchCut = false;
        it.pausedUntil = m_now;
    }
    trace("heal");
}

FakeHost* FakeCluster::find(const HostId& id)
{
    const auto it = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const FakeHost& host) { return host.id == id; });
    return it == m_hosts.end() ? nullptr : &*it;
}

void FakeCluster::change(
    std::size_t viaHost, config::Collection collection, const std::string& key, const nlohmann::json& patch)
{
    FakeHost& host = m_hosts[viaHost];
    const nlohmann::json items = config::collectionToJson(host.fold.config().lists(), collection);
    if (!items.contains(key))
        return;
    nlohmann::json wanted = items;
    wanted[key].update(patch);
    const config::ChangeSet changes
        = config::diffLists(host.fold.config().lists(), { { config::collectionName(collection), wanted } });
    if (!changes.empty())
        host.writer.submit(cluster::ConfigEntry { .changes = changes });
    trace("change " + key + " " + patch.dump() + " via " + host.id.value());
}

void FakeCluster::claim(std::size_t viaHost, const idempotency::CallKey& call)
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
    append(m_hosts[n]);
    kill(n);
    trace("leave " + m_hosts[n].id.value());
}

void FakeCluster::run(Duration time)
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
        readLog(host);
        deliver(host);
        tick(host);
        append(host);
        work(host);
    }
    // Datagrams to a host that is dead or paused are lost after a while.
    std::erase_if(m_network, [&](const auto& it) { return it.first + Duration(500) < m_now; });
    check();
}

void FakeCluster::readLog(FakeHost& host)
{
    if (!m_log.down && !host.logCut) {
        fold(host, m_log.records.size());
        if (!host.caughtUp) {
            host.caughtUp = true;
            host.owners.reset(host.fold.config().lists(), host.fold.membership(), host.fold.governingOffset());
            host.tracker.onFoldUpdated(host.fold.membership(), host.fold.offset(), host.fold.governingOffset(), m_now);
        }
        return;
    }
    if (host.fetchCut)
        return;
    for (const HostId& id : host.tracker.hostsAhead(m_now)) {
        FakeHost* peer = find(id);
        if (!isRunning(*peer) || isCut(id, host.id) || isCut(host.id, id) || !host.caughtUp)
            continue;
        fold(host, peer->fold.offset().value());
        return;
    }
}

void FakeCluster::fold(FakeHost& host, std::size_t until)
{
    while (host.fold.offset().value() < until) {
        const Offset offset = host.fold.offset().next();
        const cluster::Record& record = m_log.records[offset.value() - 1];
        const Offset governing = host.fold.governingOffset();
        const cluster::RecordOutcome verdict = host.fold.apply(record, offset);
        if (host.fold.governingOffset() != governing && host.caughtUp)
            host.owners.update(host.fold.config().lists(), host.fold.membership(), host.fold.governingOffset());
        host.tracker.onFoldUpdated(host.fold.membership(), offset, host.fold.governingOffset(), m_now);
        for (const cluster::TicketOutcome& it : host.writer.onApplied(record.id, verdict, offset))
            applyVerdict(host, it);
    }
}

void FakeCluster::applyVerdict(FakeHost& host, const cluster::TicketOutcome& verdict)
{
    if (host.proposal == verdict.ticket)
        host.proposal.reset();
    const auto claimed = host.claims.find(verdict.ticket);
    if (claimed == host.claims.end() || !verdict.outcome.accepted())
        return;
    if (++m_dispatched[claimed->second] > 1)
        violate("a call that may run once ran twice", claimed->second.text());
}

void FakeCluster::deliver(FakeHost& host)
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

void FakeCluster::tick(FakeHost& host)
{
    if (!host.caughtUp)
        return;
    std::uniform_int_distribution<Duration::rep> delay(0, LONGEST_DELAY.count());
    for (membership::TrackerAction& action : host.tracker.tick({}, m_now)) {
        if (auto* it = std::get_if<membership::SendHeartbeat>(&action)) {
            const HostId to(it->to.ip);
            ++m_messageCount;
            if (!isCut(host.id, to))
                m_network.emplace(m_now + Duration(delay(m_random)), Message { to, std::move(it->heartbeat) });
            continue;
        }
        if (host.proposal)
            continue;
        if (const auto* admit = std::get_if<membership::WriteAdmit>(&action)) {
            host.proposal = host.writer.submit(admit->entry);
        } else if (const auto* confirm = std::get_if<membership::WriteConfirm>(&action)) {
            host.proposal = host.writer.submit(confirm->entry);
        } else if (const auto* evict = std::get_if<membership::WriteEvict>(&action)) {
            host.proposal = host.writer.submit(evict->entry);
            trace(host.id.value() + " evicts " + evict->entry.lives.front().host.value());
        } else {
            host.proposal = host.writer.submit(membership::JoinEntry { .host = host.id,
                .dataCentre = host.dataCentre,
                .region = REGION,
                .address = { .ip = host.id.value() },
                .writer = host.writer.writer() });
        }
    }
}

void FakeCluster::append(FakeHost& host)
{
    if (!host.caughtUp)
        return;
    const auto record = host.writer.poll(m_now, WallTime(m_now.time_since_epoch()));
    if (!record)
        return;
    const bool reachable = !m_log.down && !host.logCut;
    if (reachable) {
        m_log.append(*record);
        for (const cluster::Entry& it : record->entries) {
            if (const auto* changed = std::get_if<cluster::ConfigEntry>(&it))
                noteServiceChange(changed->changes);
        }
    }
    const bool answered = reachable && m_lostAnswers == 0;
    if (reachable && m_lostAnswers > 0)
        --m_lostAnswers;
    host.writer.onAppendResponse(answered, m_now);
}

void FakeCluster::noteServiceChange(const config::ChangeSet& changes)
{
    if (m_operatorView.apply(changes, Offset(m_log.records.size())).outcome != config::ChangeOutcome::Accepted)
        return;
    for (const auto& [id, item] : m_operatorView.lists().dataCentres) {
        if (item.value.inService)
            m_outSince.erase(id);
        else
            m_outSince.emplace(id, m_now);
    }
}

bool FakeCluster::mayAct(const FakeHost& host) const
{
    return host.alive && host.caughtUp && host.tracker.mayActAsOwner(m_now);
}

bool FakeCluster::hasRight(const FakeHost& host, const UpstreamId& upstream) const
{
    const HostId* owner = host.owners.ownerOf(upstream);
    return mayAct(host) && owner && *owner == host.id
        && host.tracker.settledOffset(m_now) >= host.owners.ownerSince(upstream);
}

bool FakeCluster::isWhole() const
{
    return std::all_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& upstream) {
        return std::any_of(m_hosts.begin(), m_hosts.end(),
            [&](const FakeHost& host) { return isRunning(host) && hasRight(host, upstream.first); });
    });
}

void FakeCluster::work(FakeHost& host)
{
    for (auto& [id, upstream] : m_upstreams) {
        const auto* item = config::findItem(host.fold.config().lists().upstreams, id);
        const bool usable = item && host.fold.config().lists().dataCentres.at(item->value.dataCentre).value.inService;
        const bool right = m_options.naiveSending ? host.caughtUp : hasRight(host, id);
        if (!usable || !right)
            continue;
        const Offset since = m_options.naiveSending ? Offset(1) : host.owners.ownerSince(id);
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
        int reported = 0;
        for (const auto& [at, running] : upstream.history) {
            if (at + REPORT_LAG <= m_now)
                reported = running;
        }
        it->second.second.onLoadReport({ .running = reported, .restarts = 0 }, m_now);
        const bool wants = std::uniform_int_distribution<int>(0, 3)(m_random) == 0;
        if (wants && it->second.second.allowance(m_now) > 0)
            send(host, id);
    }
}

void FakeCluster::send(FakeHost& host, const UpstreamId& id)
{
    FakeUpstream& upstream = m_upstreams[id];
    host.ramps.at(id).second.onSent();
    std::uniform_int_distribution<Duration::rep> length(100, LONGEST_REQUEST.count());
    upstream.running.emplace(m_now + Duration(length(m_random)), host.id);
    upstream.history.emplace_back(m_now, static_cast<int>(upstream.running.size()));
    ++upstream.sent;
    if (static_cast<int>(upstream.running.size()) > upstream.coldLimit) {
        ++upstream.overloads;
        if (!m_options.naiveSending)
            violate("an upstream in cold start got more than it bears", id.value() + " from " + host.id.value());
    }
    const DataCentreId& centre = m_operatorView.lists().upstreams.at(id).value.dataCentre;
    const auto out = m_outSince.find(centre);
    const bool hostReads = !host.logCut && !m_log.down;
    const Duration bound = hostReads ? OUT_OF_SERVICE_BOUND : CUT_OFF_BOUND;
    const bool bounded = hostReads || !m_log.down;
    if (out != m_outSince.end() && bounded && m_now - out->second > bound)
        violate("a data centre taken out got new work", centre.value() + " from " + host.id.value());
}

void FakeCluster::finishRequests()
{
    for (auto& [id, upstream] : m_upstreams) {
        const auto end = upstream.running.upper_bound(m_now);
        for (auto it = upstream.running.begin(); it != end; it = upstream.running.erase(it)) {
            FakeHost* host = find(it->second);
            const auto ramp = host->ramps.find(id);
            if (host->alive && ramp != host->ramps.end() && ramp->second.second.inFlight() > 0)
                ramp->second.second.onAnswered(std::nullopt);
        }
        upstream.history.emplace_back(m_now, static_cast<int>(upstream.running.size()));
        while (upstream.history.size() > 2 && upstream.history[1].first + REPORT_LAG <= m_now)
            upstream.history.pop_front();
    }
}

void FakeCluster::check()
{
    if (m_options.naiveSending)
        return;
    for (const auto& [id, upstream] : m_upstreams) {
        std::string holders;
        int n = 0;
        for (const FakeHost& host : m_hosts) {
            if (!hasRight(host, id))
                continue;
            ++n;
            holders += " " + host.id.value();
        }
        if (n > 1)
            violate("an upstream has two owners", id.value() + ":" + holders);
    }
}

void FakeCluster::violate(const std::string& promise, const std::string& seen)
{
    m_violations.push_back({ .promise = promise, .seen = seen });
    trace("VIOLATION " + promise + ": " + seen);
}

void FakeCluster::trace(std::string line)
{
    constexpr std::size_t KEPT_LINES = 60;
    m_trace.push_back(
        std::to_string((m_now.time_since_epoch() - Duration(1'000'000)).count()) + " ms " + std::move(line));
    if (m_trace.size() > KEPT_LINES)
        m_trace.pop_front();
}

void FakeCluster::printTrace() const
{
    std::cerr << "seed " << m_options.seed << "\n";
    for (const std::string& line : m_trace)
        std::cerr << "  " << line << "\n";
}

}
