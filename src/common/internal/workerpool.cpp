#include "fireflyhaven/common/workerpool.h"

namespace fireflyhaven {

WorkerPool::WorkerPool(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{
}

WorkerPool::~WorkerPool()
{
    std::vector<std::thread> threads;
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        threads.swap(m_threads);
    }
    for (std::thread& it : threads)
        it.join();
}

bool WorkerPool::run(std::function<void()> job)
{
    absl::MutexLock lock(&m_mutex);
    if (m_stopping)
        return false;
    if (m_idle <= m_jobs.size()) {
        if (m_threads.size() >= m_maxThreads)
            return false;
        m_threads.emplace_back([this] { processJobs(); });
    }
    m_jobs.push_back(std::move(job));
    return true;
}

std::size_t WorkerPool::busyThreads() const
{
    absl::MutexLock lock(&m_mutex);
    return m_threads.size() - m_idle;
}

void WorkerPool::processJobs()
{
    const auto mayContinue = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_stopping || !m_jobs.empty(); };
    while (true) {
        std::function<void()> job;
        {
            absl::MutexLock lock(&m_mutex);
            ++m_idle;
            m_mutex.Await(absl::Condition(&mayContinue));
            --m_idle;
            if (m_jobs.empty())
                return;
            job = std::move(m_jobs.front());
            m_jobs.pop_front();
        }
        job();
    }
}

}
