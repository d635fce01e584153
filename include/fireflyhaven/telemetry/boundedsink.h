#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <string>

namespace fireflyhaven::telemetry {

struct BoundedSinkOptions {
    // Descriptor that lines are written to. The sink neither closes it nor changes its blocking mode.
    int descriptor = 1;
    // Maximum number of buffered bytes while the reader is slow.
    std::size_t maxBufferedBytes = 256 * 1024;
};

// Single-threaded log sink that never blocks on its reader. Lines are buffered and written while the descriptor is
// writable. Lines that do not fit into the buffer are dropped whole and counted; the next line that fits is preceded by
// a line with the number of dropped ones (event "log_lines_dropped"). Lines below the level `warn` may fill only half
// of the buffer, so that a flood of routine lines leaves room for failures.
class BoundedSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit BoundedSink(BoundedSinkOptions options = {});

    // Number of lines dropped since the start.
    std::uint64_t droppedLines() const { return m_droppedLines; }
    std::uint64_t writtenBytes() const { return m_writtenBytes; }
    std::size_t bufferedBytes() const { return m_buffer.size(); }

private:
    void sink_it_(const spdlog::details::log_msg& message) override;
    // Writes as much as the descriptor takes without blocking.
    void flush_() override;
    void append(const spdlog::details::log_msg& message);
    // Appends a line with the number of lines dropped since the previous report.
    void reportDroppedLines();
    bool canWrite() const;

    const BoundedSinkOptions m_options;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDroppedLines = 0;
    std::uint64_t m_writtenBytes = 0;
};

}
