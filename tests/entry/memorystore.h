#pragma once

#include "fireflyhaven/store/recordstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <memory>
#include <vector>

namespace fireflyhaven::test {

// Records shared by all hosts of a test.
struct SharedRecords {
    std::map<store::Topic, std::vector<store::KeyedRecord>> topics;
    // Highest epoch accepted from each producer.
    std::map<std::string, std::uint64_t> epochs;
    store::Era era { 1 };

    // The store comes back from an older copy of itself, and gives the offsets behind it to other records.
    void restore(const SharedRecords& copy)
    {
        const store::Era next(era.value() + 1);
        *this = copy;
        era = next;
    }
};

// One host's access to the shared records; fails while `reachable` is false.
class MemoryStore final : public store::IRecordStore {
public:
    MemoryStore(boost::asio::io_context& loop, SharedRecords& shared)
        : m_loop(loop)
        , m_shared(shared)
    {
    }

    void read(store::Topic topic, std::uint64_t offset, Duration wait, store::OnProgress,
        store::OnOutcome<store::RecordBatch> done) override
    {
        ++m_calls;
        answerRead(topic, offset, wait, std::move(done));
    }

    void readNewest(
        store::Topic topic, const std::string&, store::OnProgress, store::OnOutcome<store::SnapshotPage> done) override
    {
        ++m_calls;
        boost::asio::post(m_loop, [this, topic, done = std::move(done)] {
            if (!reachable)
                return done(
                    store::Outcome<store::SnapshotPage>::failed(store::StoreError::NotExecuted, "store unreachable"));
            std::map<std::string, store::KeyedRecord> newest;
            for (const store::KeyedRecord& it : m_shared.topics[topic])
                newest[it.key] = it;
            store::SnapshotPage page { .records = {}, .endOffset = m_shared.topics[topic].size(), .era = m_shared.era };
            for (auto& [key, it] : newest) {
                if (it.value)
                    page.records.push_back(it);
            }
            done({ .value = std::move(page) });
        });
    }

    void put(store::Topic topic, const store::KeyedRecord& record, const std::optional<store::Fence>& fence,
        store::OnOutcome<std::uint64_t> done) override
    {
        ++m_calls;
        boost::asio::post(m_loop, [this, topic, record, fence, done = std::move(done)] {
            if (!reachable)
                return done(store::Outcome<std::uint64_t>::failed(store::StoreError::NotExecuted, "store unreachable"));
            if (fence && !acceptEpoch(*fence))
                return done(store::Outcome<std::uint64_t>::failed(
                    store::StoreError::ConditionFailed, "fenced by a higher epoch"));
            m_shared.topics[topic].push_back(record);
            done({ .value = m_shared.topics[topic].size() - 1 });
        });
    }

    void claim(store::Topic topic, const store::Fence& fence, store::OnOutcome<std::uint64_t> done) override
    {
        ++m_calls;
        boost::asio::post(m_loop, [this, topic, fence, done = std::move(done)] {
            if (!reachable)
                return done(store::Outcome<std::uint64_t>::failed(store::StoreError::NotExecuted, "store unreachable"));
            if (!acceptEpoch(fence))
                return done(store::Outcome<std::uint64_t>::failed(
                    store::StoreError::ConditionFailed, "fenced by a higher epoch"));
            done({ .value = m_shared.topics[topic].size() });
        });
    }

    std::uint64_t calls() const override { return m_calls; }

    bool reachable = true;

private:
    static constexpr Duration POLL_INTERVAL { 10 };

    bool acceptEpoch(const store::Fence& fence)
    {
        std::uint64_t& highest = m_shared.epochs[fence.producer];
        if (fence.epoch < highest)
            return false;
        highest = fence.epoch;
        return true;
    }

    void answerRead(store::Topic topic, std::uint64_t offset, Duration wait, store::OnOutcome<store::RecordBatch> done)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop);
        timer->expires_after(POLL_INTERVAL);
        timer->async_wait([this, timer, topic, offset, wait, done = std::move(done)](boost::system::error_code ec) {
            if (ec)
                return;
            if (!reachable)
                return done(
                    store::Outcome<store::RecordBatch>::failed(store::StoreError::NotExecuted, "store unreachable"));
            const auto& records = m_shared.topics[topic];
            if (records.size() < offset)
                return done(
                    store::Outcome<store::RecordBatch>::failed(store::StoreError::HistoryLost, "no such offset"));
            if (records.size() <= offset && wait > POLL_INTERVAL)
                return answerRead(topic, offset, wait - POLL_INTERVAL, done);
            store::RecordBatch batch { .records = {}, .nextOffset = records.size(), .era = m_shared.era };
            for (std::size_t n = offset; n < records.size(); ++n)
                batch.records.push_back(records[n]);
            done({ .value = std::move(batch) });
        });
    }

    boost::asio::io_context& m_loop;
    SharedRecords& m_shared;
    std::uint64_t m_calls = 0;
};

}
