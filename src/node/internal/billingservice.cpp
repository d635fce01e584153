#include "billingservice.h"

#include "peermessages.h"

#include <spdlog/spdlog.h>

namespace fireflyhaven::node {

namespace {

// How long an answer's last byte waits for its bill to be safe.
constexpr Duration SAFE_PATIENCE { 2000 };
constexpr Duration APPEND_PAUSE { 20 };
constexpr Duration APPEND_RETRY_PAUSE { 300 };
constexpr Duration COPY_TIMEOUT { 1000 };

}

BillingService::BillingService(const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics,
    ClusterReplica& replica, peer::PeerClient& peers)
    : m_settings(settings)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_replica(replica)
    , m_peers(peers)
    , m_log(settings.platform, adapters::BILLS_STREAM)
    , m_holder({ .self = settings.host, .dataCentre = settings.dataCentre })
{
}

BillingService::~BillingService()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    if (m_thread.joinable())
        m_thread.join();
}

void BillingService::start()
{
    m_thread = std::thread([this] { appendLoop(); });
}

bool BillingService::accepting() const
{
    absl::MutexLock lock(&m_mutex);
    return m_holder.accepting();
}

void BillingService::settle(const billing::Bill& bill)
{
    const std::string key = bill.key();
    const std::vector<billing::PeerHost> peers = livePeers();
    std::vector<HostId> targets;
    {
        absl::MutexLock lock(&m_mutex);
        targets = m_holder.enqueue(bill, peers, m_clock.now());
        m_dueNow = m_dueNow || targets.empty();
    }
    for (const HostId& host : targets)
        m_copiers.run([this, host, bill] { copyTo(host, bill); });
    absl::MutexLock lock(&m_mutex);
    const auto safe = [&]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_holder.isDurable(key); };
    if (!m_mutex.AwaitWithTimeout(absl::Condition(&safe), absl::Milliseconds(SAFE_PATIENCE.count())))
        m_metrics.count("bills_released_unsafe");
}

void BillingService::copyTo(const HostId& host, const billing::Bill& bill)
{
    const std::optional<membership::HostAddress> address = addressOf(host);
    if (!address)
        return;
    const PeerRequest request = StoreBill { .holder = m_settings.host, .bill = bill };
    const bool stored = handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(call, m_peers.call(*address, encodeMessage(request)));
            return !call->next(COPY_TIMEOUT).empty();
        },
        [](const Failure&) { return false; });
    m_metrics.count(stored ? "bill_copies_stored" : "bill_copies_failed");
    absl::MutexLock lock(&m_mutex);
    if (stored)
        m_holder.onCopyStored(bill.key(), host);
}

void BillingService::appendLoop()
{
    while (true) {
        std::vector<billing::Bill> bills;
        {
            absl::MutexLock lock(&m_mutex);
            const auto woken = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_stopping || m_dueNow; };
            m_mutex.AwaitWithTimeout(absl::Condition(&woken), absl::Milliseconds(APPEND_PAUSE.count()));
            if (m_stopping)
                return;
            m_dueNow = false;
            bills = m_holder.nextBatch(m_clock.now());
        }
        if (bills.empty()) {
            releaseAtPeers();
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
        m_holder.onAppended(appended);
        if (!appended)
            m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping), absl::Milliseconds(APPEND_RETRY_PAUSE.count()));
    }
}

void BillingService::releaseAtPeers()
{
    std::map<HostId, std::vector<std::string>> released;
    {
        absl::MutexLock lock(&m_mutex);
        released = m_holder.takeReleasedCopies();
    }
    for (const auto& [host, keys] : released) {
        const std::optional<membership::HostAddress> address = addressOf(host);
        if (!address)
            continue;
        const PeerRequest request = ReleaseBills { .holder = m_settings.host, .keys = keys };
        // A release that is lost leaves a copy that the peer appends once more at worst; readers count the first.
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

void BillingService::storeCopy(const HostId& holder, const billing::Bill& bill)
{
    absl::MutexLock lock(&m_mutex);
    m_holder.storeCopy(holder, bill);
}

void BillingService::releaseCopies(const HostId& holder, const std::vector<std::string>& keys)
{
    absl::MutexLock lock(&m_mutex);
    m_holder.releaseCopies(holder, keys);
}

void BillingService::onMemberGone(const HostId& host)
{
    absl::MutexLock lock(&m_mutex);
    m_holder.onOriginRemoved(host);
}

bool BillingService::flush(Duration wait)
{
    absl::MutexLock lock(&m_mutex);
    m_holder.disableLinger();
    const auto idle = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_holder.idle(); };
    return m_mutex.AwaitWithTimeout(absl::Condition(&idle), absl::Milliseconds(wait.count()));
}

nlohmann::json BillingService::dump() const
{
    absl::MutexLock lock(&m_mutex);
    return { { "waiting", m_holder.pendingCount() }, { "copies_held", m_holder.copyCount() } };
}

Result<nlohmann::json> summarizeBills(const std::string& platform)
{
    constexpr std::size_t READ_BATCH = 5000;
    adapters::HttpLogService log(platform, adapters::BILLS_STREAM);
    std::set<std::string> seen;
    std::map<std::string, std::pair<std::uint64_t, std::int64_t>> totals;
    std::uint64_t repeats = 0;
    Offset from(1);
    while (true) {
        BOOST_LEAF_AUTO(page, log.read(from, READ_BATCH, Duration(0)));
        for (const adapters::LogItem& item : page.items) {
            from = item.offset.next();
            const auto document = parseJson(item.text);
            const auto bills = document ? fromJson<std::vector<billing::Bill>>(*document) : std::nullopt;
            if (!bills)
                continue;
            for (const billing::Bill& bill : *bills) {
                if (!seen.insert(bill.key()).second) {
                    ++repeats;
                    continue;
                }
                auto& [count, micros] = totals[bill.workspace.value()];
                ++count;
                micros += bill.total().micros;
            }
        }
        if (page.items.empty())
            break;
    }
    nlohmann::json workspaces = nlohmann::json::object();
    for (const auto& [workspace, total] : totals)
        workspaces[workspace] = { { "requests", total.first }, { "cost_micros", total.second } };
    return nlohmann::json { { "workspaces", workspaces }, { "requests", seen.size() }, { "repeats_ignored", repeats } };
}

}
