#include "fireflyhaven/telemetry/boundedsink.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace fireflyhaven::telemetry {

namespace {

constexpr std::size_t FLUSH_THRESHOLD_BYTES = 16 * 1024;

}

BoundedSink::BoundedSink(BoundedSinkOptions options)
    : m_options(options)
{
}

void BoundedSink::sink_it_(const spdlog::details::log_msg& message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    const std::size_t limit
        = message.level >= spdlog::level::warn ? m_options.maxBufferedBytes : m_options.maxBufferedBytes / 2;
    if (m_buffer.size() + line.size() > limit)
        flush_();
    if (m_buffer.size() + line.size() > limit) {
        ++m_droppedLines;
        return;
    }
    if (m_droppedLines > m_reportedDroppedLines)
        reportDroppedLines();
    m_buffer.append(line.data(), line.size());
    if (m_buffer.size() >= FLUSH_THRESHOLD_BYTES)
        flush_();
}

void BoundedSink::append(const spdlog::details::log_msg& message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    m_buffer.append(line.data(), line.size());
}

void BoundedSink::reportDroppedLines()
{
    const std::string text
        = fmt::format(R"({{"event":"log_lines_dropped","lines":{}}})", m_droppedLines - m_reportedDroppedLines);
    m_reportedDroppedLines = m_droppedLines;
    append(spdlog::details::log_msg("", spdlog::level::warn, text));
}

// A pipe reported as writable accepts PIPE_BUF bytes without blocking, even in blocking mode.
bool BoundedSink::canWrite() const
{
    pollfd it { .fd = m_options.descriptor, .events = POLLOUT, .revents = 0 };
    return poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

void BoundedSink::flush_()
{
    std::size_t written = 0;
    while (written < m_buffer.size() && canWrite()) {
        const std::size_t size = std::min<std::size_t>(PIPE_BUF, m_buffer.size() - written);
        const ssize_t n = write(m_options.descriptor, m_buffer.data() + written, size);
        if (n <= 0)
            break;
        written += static_cast<std::size_t>(n);
    }
    m_buffer.erase(0, written);
    m_writtenBytes += written;
}

}
