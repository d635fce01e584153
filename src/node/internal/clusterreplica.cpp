#include "clusterreplica.h"

#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/adapters/ratingservice.h"

#include <spdlog/spdlog.h>

namespace fireflyhaven::node {

namespace {

constexpr std::size_t READ_BATCH_RECORDS = 2000;
constexpr std::uint64_t MAX_READ_RECORDS = 10'000;
constexpr Duration READ_POLL_TIMEOUT { 1000 };
constexpr Duration RETRY_DELAY { 200 };
constexpr Duration WRITE_INTERVAL { 2 };
constexpr Duration HOST_LIST_INTERVAL { 2000 };
constexpr int RECEIVE_TIMEOUT_MS = 50;
constexpr Duration TICK_INTERVAL { 100 };
constexpr std::size_t MAX_RECENT_RECORDS = 10'000;
// Delay between the hosts that may write the same snapshot.
constexpr Duration SNAPSHOT_STAGGER { 5000 };

cluster::WriterOptions writerOptions(WriterId writer) { return { .writer = writer, .seed = writer.value() }; }

std::map<HostId, Incarnation> incarnationsOf(const cluster::ClusterFold& fold)
{
    std::map<HostId, Incarnation> incarnations;
    for (const auto& [id, member] : fold.membership().members())
        incarnations[id] = member.incarnation;
    return incarnations;
}

}

ClusterReplica::ClusterReplica(const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics,
    std::unique_ptr<peer::HeartbeatSocket> socket, ReplicaHooks hooks)
    : m_settings(settings)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_socket(std::move(socket))
    , m_readLog(settings.platformAddress, adapters::CONTROL_STREAM)
    , m_writeLog(settings.platformAddress, adapters::CONTROL_STREAM)
    , m_state { .fold = {},
        .tracker = membership::MembershipTracker({ .self = settings.host, .region = settings.region }),
        .owners = ownership::OwnerTable() }
    , m_writer(writerOptions(WriterId(randomNumber())))
    , m_writerId(m_writer.writer())
    , m_lists(std::make_shared<config::Lists>())
{
}

ClusterReplica::~ClusterReplica() { stop(); }

void ClusterReplica::stop()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    for (std::thread& it : m_threads)
        it.join();
    m_threads.clear();
}

void ClusterReplica::start()
{
    m_threads.emplace_back([this] { readLoop(); });
    m_threads.emplace_back([this] { writeLoop(); });
    m_threads.emplace_back([this] { membershipLoop(); });
    m_threads.emplace_back([this] { hostListLoop(); });
}

std::shared_ptr<const config::Lists> ClusterReplica::lists() const
{
    absl::MutexLock lock(&m_mutex);
    return m_lists;
}

bool ClusterReplica::waitForStop(Duration timeout) const
{
    absl::MutexLock lock(&m_mutex);
    return m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping), absl::Milliseconds(timeout.count()));
}

void ClusterReplica::readLoop()
{
    while (!waitForStop(Duration(0))) {
        if (bootstrap())
            break;
        waitForStop(RETRY_DELAY);
    }
    while (!waitForStop(Duration(0)))
        readOnce();
}

// Restores the state from the newest snapshot in the log. Without a snapshot, starts from the first record, provided
// that the log still has it.
bool ClusterReplica::bootstrap()
{
    return handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(page, m_readLog.read(Offset(1), 1, Duration(0)));
            m_logReachable = true;
            if (restoreSnapshot(page.first, page.next))
                return true;
            if (page.first > Offset(1))
                spdlog::error(
                    "cannot bootstrap: the log starts at offset {} and contains no snapshot", page.first.value());
            return page.first == Offset(1);
        },
        [&](const Failure&) { return false; });
}

// Searches for the newest snapshot backwards from the end of the log, in windows of growing size.
bool ClusterReplica::restoreSnapshot(Offset first, Offset next)
{
    std::uint64_t window = READ_BATCH_RECORDS;
    std::uint64_t end = next.value();
    while (end > first.value()) {
        const std::uint64_t from = end > first.value() + window ? end - window : first.value();
        const bool found = handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(page, m_readLog.read(Offset(from), end - from, Duration(0)));
                for (auto it = page.records.rbegin(); it != page.records.rend(); ++it) {
                    const std::optional<cluster::Record> record = cluster::decodeRecord(it->text);
                    if (!record || record->entries.empty())
                        continue;
                    const auto* snapshot = std::get_if<cluster::SnapshotEntry>(&record->entries.back());
                    if (!snapshot || snapshot->coveredOffset.next() < first)
                        continue;
                    absl::MutexLock lock(&m_mutex);
                    const auto previousIncarnations = incarnationsOf(m_state.fold);
                    m_state.fold = cluster::ClusterFold::fromSnapshot(*snapshot);
                    m_state.owners.reset(
                        m_state.fold.config().lists(), m_state.fold.membership(), m_state.fold.governingOffset());
                    applyGoverningChange(previousIncarnations);
                    spdlog::info(
                        "restored the state from the snapshot that covers offset {}", snapshot->coveredOffset.value());
                    return true;
                }
                return false;
            },
            [](const Failure&) { return false; });
        if (found)
            return true;
        end = from;
        window = std::min(window * 2, MAX_READ_RECORDS);
    }
    return false;
}

void ClusterReplica::readOnce()
{
    const Offset from = read([](const ReplicaState& it) { return it.fold.offset().next(); });
    const bool logReached = handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(page, m_readLog.read(from, READ_BATCH_RECORDS, READ_POLL_TIMEOUT));
            if (page.first > from) {
                spdlog::warn("the log keeps records from {} only; starting from a snapshot", page.first.value());
                if (!bootstrap())
                    waitForStop(RETRY_DELAY);
                return true;
            }
            absl::MutexLock lock(&m_mutex);
            for (const adapters::LogRecord& it : page.records) {
                if (it.offset == m_state.fold.offset().next())
                    applyRecord(it);
            }
            m_lastFreshAt = m_clock.now();
            if (!m_caughtUp && m_state.fold.offset().next() >= page.next) {
                m_caughtUp = true;
                m_state.owners.reset(
                    m_state.fold.config().lists(), m_state.fold.membership(), m_state.fold.governingOffset());
                applyGoverningChange(incarnationsOf(m_state.fold));
            }
            return true;
        },
        [&](const Failure&) { return false; });
    if (m_logReachable.exchange(logReached) != logReached)
        spdlog::warn("log {}", logReached ? "reachable again" : "unreachable");
    if (logReached)
        return;
    m_metrics.count("log_read_failures");
    catchUpFromPeers();
    waitForStop(RETRY_DELAY);
}

void ClusterReplica::catchUpFromPeers()
{
    std::vector<membership::HostAddress> addresses;
    Offset from;
    {
        absl::MutexLock lock(&m_mutex);
        from = m_state.fold.offset().next();
        for (const HostId& id : m_state.tracker.hostsAhead(m_clock.now())) {
            if (const membership::Member* member = m_state.fold.membership().find(id))
                addresses.push_back(member->address);
        }
    }
    for (const membership::HostAddress& address : addresses) {
        const std::vector<adapters::LogRecord> records = m_hooks.fetchFromPeer(address, from);
        if (records.empty())
            continue;
        m_metrics.count("records_fetched_from_peers", records.size());
        absl::MutexLock lock(&m_mutex);
        for (const adapters::LogRecord& it : records) {
            if (it.offset == m_state.fold.offset().next())
                applyRecord(it);
        }
        return;
    }
}

void ClusterReplica::applyRecord(const adapters::LogRecord& logRecord)
{
    const Offset previousGoverning = m_state.fold.governingOffset();
    const auto previousIncarnations = incarnationsOf(m_state.fold);
    m_recentRecords.push_back(logRecord);
    if (m_recentRecords.size() > MAX_RECENT_RECORDS)
        m_recentRecords.pop_front();
    const std::optional<cluster::Record> record = cluster::decodeRecord(logRecord.text);
    if (!record) {
        m_state.fold.skip(logRecord.offset);
        m_metrics.count("log_records_unreadable");
        return;
    }
    const cluster::RecordOutcome outcome = m_state.fold.apply(*record, logRecord.offset);
    m_metrics.count("log_records_folded");
    for (const cluster::Entry& entry : record->entries) {
        const auto* ratings = std::get_if<quality::RatingsEntry>(&entry);
        if (ratings && record->id.writer != m_writerId && !outcome.ignored)
            m_hooks.onPeerRatings(*ratings);
    }
    for (const cluster::TicketOutcome& it : m_writer.onApplied(record->id, outcome, logRecord.offset))
        deliverOutcome(it);
    if (m_state.fold.governingOffset() != previousGoverning)
        applyGoverningChange(previousIncarnations);
    else
        m_state.tracker.onFoldUpdated(
            m_state.fold.membership(), m_state.fold.offset(), m_state.fold.governingOffset(), m_clock.now());
}

void ClusterReplica::applyGoverningChange(const std::map<HostId, Incarnation>& previousIncarnations)
{
    const cluster::ClusterFold& fold = m_state.fold;
    if (m_caughtUp)
        m_state.owners.update(fold.config().lists(), fold.membership(), fold.governingOffset());
    m_lists = std::make_shared<config::Lists>(fold.config().lists());
    m_state.tracker.onFoldUpdated(fold.membership(), fold.offset(), fold.governingOffset(), m_clock.now());
    m_hooks.onGoverningChange(m_state);
    for (const auto& [id, incarnation] : previousIncarnations) {
        const membership::Member* member = fold.membership().find(id);
        if (member && member->incarnation == incarnation)
            continue;
        spdlog::info("member {} (incarnation {}) has left", id.value(), incarnation.value());
        m_hooks.onMemberLeft(id);
    }
    for (const auto& [id, member] : fold.membership().members()) {
        const auto it = previousIncarnations.find(id);
        if (it == previousIncarnations.end() || it->second != member.incarnation)
            spdlog::info("member {} (incarnation {}) has joined", id.value(), member.incarnation.value());
    }
}

void ClusterReplica::deliverOutcome(const cluster::TicketOutcome& outcome)
{
    if (m_pendingProposal == outcome.ticket)
        m_pendingProposal.reset();
    const auto it = m_ticketOutcomes.find(outcome.ticket);
    if (it != m_ticketOutcomes.end())
        it->second = outcome;
    const auto handler = m_lateOutcomeHandlers.extract(outcome.ticket);
    if (handler.empty())
        return;
    if (std::optional<cluster::Entry> entry = handler.mapped()(outcome))
        m_writer.submit(std::move(*entry));
}

Result<cluster::TicketOutcome> ClusterReplica::write(
    cluster::Entry entry, Duration wait, LateOutcomeHandler onLateOutcome)
{
    absl::MutexLock lock(&m_mutex);
    const std::optional<cluster::Ticket> ticket = m_writer.submit(std::move(entry));
    if (!ticket)
        return failure(ErrorCode::Unavailable, "too many records wait for the log");
    std::optional<cluster::TicketOutcome>& outcome = m_ticketOutcomes[*ticket];
    const auto outcomeArrived = [&]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return outcome.has_value() || m_stopping; };
    m_mutex.AwaitWithTimeout(absl::Condition(&outcomeArrived), absl::Milliseconds(wait.count()));
    const std::optional<cluster::TicketOutcome> result = outcome;
    m_ticketOutcomes.erase(*ticket);
    if (result && result->outcome.kind != cluster::EntryOutcome::Kind::Unknown)
        return *result;
    if (!result && m_writer.cancel(*ticket))
        return failure(ErrorCode::Unavailable, "the log did not take the record in time; it was not written");
    if (!result && onLateOutcome)
        m_lateOutcomeHandlers[*ticket] = std::move(onLateOutcome);
    return failure(ErrorCode::OutcomeUnknown, "the log did not confirm the record in time; it may still be accepted");
}

bool ClusterReplica::writeAsync(cluster::Entry entry)
{
    absl::MutexLock lock(&m_mutex);
    return m_writer.submit(std::move(entry)).has_value();
}

void ClusterReplica::writeLoop()
{
    while (!waitForStop(WRITE_INTERVAL)) {
        std::optional<cluster::Record> record;
        {
            absl::MutexLock lock(&m_mutex);
            if (m_caughtUp)
                record = m_writer.poll(m_clock.now(), m_clock.wallNow());
        }
        if (!record)
            continue;
        const bool appended = handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(m_writeLog.append(cluster::encodeRecord(*record)));
                return true;
            },
            [](const Failure&) { return false; });
        m_metrics.count(appended ? "log_appends" : "log_append_failures");
        absl::MutexLock lock(&m_mutex);
        m_writer.onAppendResponse(appended, m_clock.now());
    }
}

void ClusterReplica::membershipLoop()
{
    TimePoint lastTick {};
    while (!waitForStop(Duration(0))) {
        const std::optional<membership::Heartbeat> heartbeat = m_socket->receive(RECEIVE_TIMEOUT_MS);
        if (heartbeat && !m_leaving) {
            absl::MutexLock lock(&m_mutex);
            m_state.tracker.onHeartbeat(*heartbeat, m_clock.now());
        }
        if (heartbeat && !heartbeat->report.suspensions.empty())
            m_hooks.onSuspensions(heartbeat->report.suspensions);
        const TimePoint now = m_clock.now();
        if (now - lastTick < TICK_INTERVAL || m_leaving)
            continue;
        lastTick = now;
        membership::HostReport report = m_hooks.report();
        report.logReachable = m_logReachable;
        std::vector<membership::TrackerAction> actions;
        {
            absl::MutexLock lock(&m_mutex);
            if (m_state.tracker.hasMajorityContact(now) && m_state.tracker.hostsAhead(now).empty())
                m_lastFreshAt = now;
            if (m_caughtUp)
                actions = m_state.tracker.tick(std::move(report), now);
        }
        performActions(actions);
        writeSnapshotIfDue();
    }
}

void ClusterReplica::performActions(const std::vector<membership::TrackerAction>& actions)
{
    for (const membership::TrackerAction& action : actions) {
        if (const auto* it = std::get_if<membership::SendHeartbeat>(&action))
            m_socket->send(it->to, it->heartbeat);
        else if (const auto* admit = std::get_if<membership::WriteAdmit>(&action))
            propose(admit->entry);
        else if (const auto* confirm = std::get_if<membership::WriteConfirm>(&action))
            propose(confirm->entry);
        else if (const auto* evict = std::get_if<membership::WriteEvict>(&action))
            propose(evict->entry);
        else
            propose(membership::JoinEntry { .host = m_settings.host,
                .dataCentre = m_settings.dataCentre,
                .region = m_settings.region,
                .address = { .ip = m_settings.ip, .peerPort = m_settings.peerPort, .httpPort = m_settings.httpPort },
                .writer = m_writerId });
    }
}

// At most one proposal is pending, so that proposals do not pile up during an outage of the log.
void ClusterReplica::propose(cluster::Entry entry)
{
    absl::MutexLock lock(&m_mutex);
    if (!m_pendingProposal)
        m_pendingProposal = m_writer.submit(std::move(entry));
}

void ClusterReplica::hostListLoop()
{
    while (!waitForStop(HOST_LIST_INTERVAL)) {
        const auto listedHosts = handleFailure(
            [&]() -> Result<std::optional<std::set<HostId>>> {
                BOOST_LEAF_AUTO(hosts, adapters::readHostList(m_settings.platformAddress));
                return std::optional(std::move(hosts));
            },
            [](const Failure&) { return std::optional<std::set<HostId>>(); });
        if (!listedHosts)
            continue;
        absl::MutexLock lock(&m_mutex);
        m_state.tracker.onHostList(*listedHosts, m_clock.now());
    }
}

// Staggers the hosts so that normally only one writes the snapshot: each host waits the longer, the later its rank in
// a hash order that changes with each snapshot.
void ClusterReplica::writeSnapshotIfDue()
{
    absl::MutexLock lock(&m_mutex);
    const cluster::ClusterFold& fold = m_state.fold;
    if (!m_caughtUp || fold.offset().value() < fold.snapshotOffset().value() + m_settings.snapshotIntervalRecords) {
        m_snapshotDueSince.reset();
        return;
    }
    const TimePoint now = m_clock.now();
    if (!m_snapshotDueSince)
        m_snapshotDueSince = now;
    const std::uint64_t seed = fold.snapshotOffset().value();
    const std::uint64_t ownHash = stableHash(m_settings.host.value(), seed);
    Duration delay { 0 };
    for (const HostId& id : m_state.tracker.reachableHosts(now)) {
        if (stableHash(id.value(), seed) < ownHash)
            delay += SNAPSHOT_STAGGER;
    }
    if (now - *m_snapshotDueSince < delay || !m_logReachable)
        return;
    m_snapshotDueSince = now + SNAPSHOT_STAGGER;
    m_writer.submit(fold.snapshot());
    m_metrics.count("snapshots_written");
}

std::vector<adapters::LogRecord> ClusterReplica::recentRecords(Offset from) const
{
    constexpr std::size_t MAX_RECORDS_PER_FETCH = 1000;
    absl::MutexLock lock(&m_mutex);
    std::vector<adapters::LogRecord> records;
    if (m_recentRecords.empty() || m_recentRecords.front().offset > from)
        return records;
    for (std::size_t n = from.value() - m_recentRecords.front().offset.value(); n < m_recentRecords.size(); ++n) {
        if (records.size() == MAX_RECORDS_PER_FETCH)
            break;
        records.push_back(m_recentRecords[n]);
    }
    return records;
}

bool ClusterReplica::isStale() const
{
    absl::MutexLock lock(&m_mutex);
    return !m_caughtUp || m_clock.now() - m_lastFreshAt > m_settings.staleConfigLimit;
}

bool ClusterReplica::writesPending() const
{
    absl::MutexLock lock(&m_mutex);
    return !m_writer.idle();
}

void ClusterReplica::leave(Duration wait)
{
    m_leaving = true;
    membership::HostIncarnation self = read([](const ReplicaState& it) { return it.tracker.selfIncarnation(); });
    if (self.incarnation == Incarnation(0))
        return;
    handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(write(membership::LeaveEntry { .life = self }, wait));
            return true;
        },
        [](const Failure& it) {
            spdlog::warn("leave entry not confirmed by the log: {}", it.message);
            return false;
        });
}

nlohmann::json ClusterReplica::dump() const
{
    absl::MutexLock lock(&m_mutex);
    const TimePoint now = m_clock.now();
    nlohmann::json members = nlohmann::json::object();
    for (const auto& [id, member] : m_state.fold.membership().members()) {
        const bool self = id == m_settings.host;
        const membership::HostReport* report = m_state.tracker.reportOf(id, now);
        members[id.value()] = { { "incarnation", member.incarnation }, { "data_centre", member.dataCentre },
            { "voter", member.voter }, { "heard", self || report },
            { "governing",
                self         ? m_state.fold.governingOffset()
                    : report ? report->governingOffset
                             : Offset(0) } };
    }
    nlohmann::json owners = nlohmann::json::object();
    for (const auto& [upstream, owner] : m_state.owners.assignment())
        owners[upstream.value()] = { { "owner", owner }, { "since", m_state.owners.ownerSince(upstream) } };
    return { { "log",
                 { { "reachable", m_logReachable.load() }, { "offset", m_state.fold.offset() },
                     { "governing", m_state.fold.governingOffset() }, { "caught_up", m_caughtUp },
                     { "snapshot", m_state.fold.snapshotOffset() }, { "waiting_entries", m_writer.queuedCount() },
                     { "lists_age_ms", (now - m_lastFreshAt).count() } } },
        { "membership",
            { { "self", m_state.tracker.selfIncarnation().incarnation },
                { "may_act", m_state.tracker.mayActAsOwner(now) }, { "settled", m_state.tracker.settledOffset(now) },
                { "members", members } } },
        { "ownership", owners }, { "idempotency", { { "claims", m_state.fold.claims().size() } } },
        { "peer",
            { { "heartbeat_bytes_sent", m_socket->bytesSent() },
                { "heartbeat_bytes_received", m_socket->bytesReceived() },
                { "heartbeats_rejected", m_socket->rejected() } } } };
}

}
