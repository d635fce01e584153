#include "fireflyhaven/telemetry/boundedsink.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace fireflyhaven::telemetry {

namespace {

constexpr std::size_t FLUSH_AT_BYTES = 16 * 1024;

}

BoundedSink::BoundedSink(BoundedSinkOptions options)
    : m_options(options)
{
}

void BoundedSink::sink_it_(const spdlog::details::log_msg& message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    const std::size_t room
        = message.level >= spdlog::level::warn ? m_options.maxBufferedBytes : m_options.maxBufferedBytes / 2;
    if (m_buffer.size() + line.size() > room)
        flush_();
    if (m_buffer.size() + line.size() > room) {
        ++m_droppedLines;
        return;
    }
    if (m_droppedLines > m_toldDroppedLines)
        tellDropped();
    m_buffer.append(line.data(), line.size());
    if (m_buffer.size() >= FLUSH_AT_BYTES)
        flush_();
}

void BoundedSink::append(const spdlog::details::log_msg& message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    m_buffer.append(line.data(), line.size());
}

void BoundedSink::tellDropped()
{
    const std::string text
        = fmt::format(R"({{"event":"log_lines_dropped","lines":{}}})", m_droppedLines - m_toldDroppedLines);
    m_toldDroppedLines = m_droppedLines;
    append(spdlog::details::log_msg("", spdlog::level::warn, text));
}

// A pipe that is reported as writable takes PIPE_BUF bytes without blocking, also where it is not in that mode.
bool BoundedSink::canWrite() const
{
    pollfd it { .fd = m_options.descriptor, .events = POLLOUT, .revents = 0 };
    return poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

void BoundedSink::flush_()
{
    std::size_t done = 0;
    while (done < m_buffer.size() && canWrite()) {
        const std::size_t size = std::min<std::size_t>(PIPE_BUF, m_buffer.size() - done);
        const ssize_t n = write(m_options.descriptor, m_buffer.data() + done, size);
        if (n <= 0)
            break;
        done += static_cast<std::size_t>(n);
    }
    m_buffer.erase(0, done);
    m_writtenBytes += done;
}

}
