#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace fireflyhaven {

// Runs blocking jobs on threads that are started as they are needed and kept for later jobs.
class WorkerPool {
public:
    explicit WorkerPool(std::size_t maxThreads);
    // Waits for the jobs that run.
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    // False where all threads are busy and no more may be started; the job is not run then.
    bool run(std::function<void()> job);
    std::size_t busy() const;

private:
    void work();

    const std::size_t m_maxThreads;
    mutable absl::Mutex m_mutex;
    std::deque<std::function<void()>> m_jobs ABSL_GUARDED_BY(m_mutex);
    std::vector<std::thread> m_threads ABSL_GUARDED_BY(m_mutex);
    std::size_t m_idle ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
};

}
