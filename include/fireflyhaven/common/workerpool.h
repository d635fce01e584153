#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace fireflyhaven {

// Pool for blocking jobs. Threads are started on demand, up to a maximum, and reused by later jobs.
class WorkerPool {
public:
    explicit WorkerPool(std::size_t maxThreads);
    // Completes all accepted jobs and joins the threads.
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    // Returns false, without running the job, if all threads are busy and their number is at its maximum.
    bool run(std::function<void()> job);
    std::size_t busyThreads() const;

private:
    void processJobs();

    const std::size_t m_maxThreads;
    mutable absl::Mutex m_mutex;
    std::deque<std::function<void()>> m_jobs ABSL_GUARDED_BY(m_mutex);
    std::vector<std::thread> m_threads ABSL_GUARDED_BY(m_mutex);
    std::size_t m_idle ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
};

}
