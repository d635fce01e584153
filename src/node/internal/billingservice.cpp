#include "billingservice.h"

#include "peermessages.h"

#include <spdlog/spdlog.h>

namespace fireflyhaven::node {

namespace {

// How long the last byte of an answer is held back until its bill is durable.
constexpr Duration DURABILITY_TIMEOUT { 2000 };
constexpr Duration APPEND_INTERVAL { 20 };
constexpr Duration APPEND_RETRY_DELAY { 300 };
constexpr Duration COPY_TIMEOUT { 1000 };

}

BillingService::BillingService(const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics,
    ClusterReplica& replica, peer::PeerClient& peers)
    : m_settings(settings)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_replica(replica)
    , m_peers(peers)
    , m_log(settings.platformAddress, adapters::BILLS_STREAM)
    , m_buffer({ .self = settings.host, .dataCentre = settings.dataCentre })
{
}

BillingService::~BillingService()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    if (m_appendThread.joinable())
        m_appendThread.join();
}

void BillingService::start()
{
    m_appendThread = std::thread([this] { appendLoop(); });
}

bool BillingService::accepting() const
{
    absl::MutexLock lock(&m_mutex);
    return m_buffer.accepting();
}

void BillingService::makeDurable(const billing::Bill& bill)
{
    const std::string key = bill.key();
    const std::vector<billing::PeerHost> peers = livePeers();
    std::vector<HostId> copyTargets;
    {
        absl::MutexLock lock(&m_mutex);
        copyTargets = m_buffer.enqueue(bill, peers, m_clock.now());
        m_appendNow = m_appendNow || copyTargets.empty();
    }
    for (const HostId& host : copyTargets)
        m_copyWorkers.run([this, host, bill] { copyTo(host, bill); });
    absl::MutexLock lock(&m_mutex);
    const auto durable = [&]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_buffer.isDurable(key); };
    if (!m_mutex.AwaitWithTimeout(absl::Condition(&durable), absl::Milliseconds(DURABILITY_TIMEOUT.count())))
        m_metrics.count("bills_released_unsafe");
}

void BillingService::copyTo(const HostId& host, const billing::Bill& bill)
{
    const std::optional<membership::HostAddress> address = addressOf(host);
    if (!address)
        return;
    const PeerRequest request = StoreBill { .origin = m_settings.host, .bill = bill };
    const bool stored = handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(call, m_peers.call(*address, encodeMessage(request)));
            return !call->next(COPY_TIMEOUT).empty();
        },
        [](const Failure&) { return false; });
    m_metrics.count(stored ? "bill_copies_stored" : "bill_copies_failed");
    absl::MutexLock lock(&m_mutex);
    if (stored)
        m_buffer.onCopyStored(bill.key(), host);
}

void BillingService::appendLoop()
{
    while (true) {
        std::vector<billing::Bill> bills;
        {
            absl::MutexLock lock(&m_mutex);
            const auto hasWork = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_stopping || m_appendNow; };
            m_mutex.AwaitWithTimeout(absl::Condition(&hasWork), absl::Milliseconds(APPEND_INTERVAL.count()));
            if (m_stopping)
                return;
            m_appendNow = false;
            bills = m_buffer.nextBatch(m_clock.now());
        }
        if (bills.empty()) {
            releasePeerCopies();
            continue;
        }
        const std::string text = nlohmann::json(bills).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        const bool appended = handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(m_log.append(text));
                return true;
            },
            [](const Failure&) { return false; });
        m_metrics.count(appended ? "bills_appended" : "bill_append_failures", appended ? bills.size() : 1);
        absl::MutexLock lock(&m_mutex);
        m_buffer.onAppended(appended);
        if (!appended)
            m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping), absl::Milliseconds(APPEND_RETRY_DELAY.count()));
    }
}

void BillingService::releasePeerCopies()
{
    std::map<HostId, std::vector<std::string>> releasedKeys;
    {
        absl::MutexLock lock(&m_mutex);
        releasedKeys = m_buffer.takeReleasedCopies();
    }
    for (const auto& [host, keys] : releasedKeys) {
        const std::optional<membership::HostAddress> address = addressOf(host);
        if (!address)
            continue;
        const PeerRequest request = ReleaseBills { .origin = m_settings.host, .keys = keys };
        // If the release is lost, the peer keeps its copy and at worst appends it a second time. Readers count only the
        // first bill of a request.
        handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(m_peers.call(*address, encodeMessage(request)));
                return true;
            },
            [](const Failure&) { return false; });
    }
}

std::optional<membership::HostAddress> BillingService::addressOf(const HostId& host) const
{
    return m_replica.read([&](const ReplicaState& state) -> std::optional<membership::HostAddress> {
        const membership::Member* member = state.fold.membership().find(host);
        return member ? std::optional(member->address) : std::nullopt;
    });
}

std::vector<billing::PeerHost> BillingService::livePeers() const
{
    return m_replica.read([&](const ReplicaState& state) {
        std::vector<billing::PeerHost> peers;
        for (const HostId& id : state.tracker.reachableHosts(m_clock.now())) {
            if (const membership::Member* member = state.fold.membership().find(id))
                peers.push_back({ .host = id, .dataCentre = member->dataCentre });
        }
        return peers;
    });
}

void BillingService::storeCopy(const HostId& origin, const billing::Bill& bill)
{
    absl::MutexLock lock(&m_mutex);
    m_buffer.storeCopy(origin, bill);
}

void BillingService::releaseCopies(const HostId& origin, const std::vector<std::string>& keys)
{
    absl::MutexLock lock(&m_mutex);
    m_buffer.releaseCopies(origin, keys);
}

void BillingService::onMemberLeft(const HostId& host)
{
    absl::MutexLock lock(&m_mutex);
    m_buffer.onOriginRemoved(host);
}

bool BillingService::flush(Duration wait)
{
    absl::MutexLock lock(&m_mutex);
    m_buffer.disableLinger();
    const auto idle = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_buffer.idle(); };
    return m_mutex.AwaitWithTimeout(absl::Condition(&idle), absl::Milliseconds(wait.count()));
}

nlohmann::json BillingService::dump() const
{
    absl::MutexLock lock(&m_mutex);
    return { { "waiting", m_buffer.pendingCount() }, { "copies_held", m_buffer.copyCount() } };
}

Result<nlohmann::json> summarizeBills(const std::string& platform)
{
    constexpr std::size_t READ_BATCH_RECORDS = 5000;
    adapters::HttpLogService log(platform, adapters::BILLS_STREAM);
    std::set<std::string> seenKeys;
    std::map<std::string, std::pair<std::uint64_t, std::int64_t>> totals;
    std::uint64_t duplicateCount = 0;
    Offset readFrom(1);
    while (true) {
        BOOST_LEAF_AUTO(page, log.read(readFrom, READ_BATCH_RECORDS, Duration(0)));
        for (const adapters::LogRecord& record : page.records) {
            readFrom = record.offset.next();
            const auto document = parseJson(record.text);
            const auto bills = document ? fromJson<std::vector<billing::Bill>>(*document) : std::nullopt;
            if (!bills)
                continue;
            for (const billing::Bill& bill : *bills) {
                if (!seenKeys.insert(bill.key()).second) {
                    ++duplicateCount;
                    continue;
                }
                auto& [count, micros] = totals[bill.workspace.value()];
                ++count;
                micros += bill.total().micros;
            }
        }
        if (page.records.empty())
            break;
    }
    nlohmann::json workspaces = nlohmann::json::object();
    for (const auto& [workspace, total] : totals)
        workspaces[workspace] = { { "requests", total.first }, { "cost_micros", total.second } };
    return nlohmann::json { { "workspaces", workspaces }, { "requests", seenKeys.size() },
        { "repeats_ignored", duplicateCount } };
}

}
