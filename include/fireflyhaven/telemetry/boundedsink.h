#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <string>

namespace fireflyhaven::telemetry {

struct BoundedSinkOptions {
    // Descriptor that lines are written to; it stays open and in its mode.
    int descriptor = 1;
    // Bytes that may wait for a slow reader.
    std::size_t maxBufferedBytes = 256 * 1024;
};

// Log sink for one thread that never waits for its reader. Lines are buffered and written while the descriptor can take
// them; whole lines that find no room are dropped and counted, and the next line that finds room is preceded by one
// that tells how many there were (event "log_lines_dropped"). Lines below the level `warn` may use half of the buffer
// only, so that failures find room where what goes well is plentiful.
class BoundedSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit BoundedSink(BoundedSinkOptions options = {});

    // Lines that found no room since the start.
    std::uint64_t droppedLines() const { return m_droppedLines; }
    std::uint64_t writtenBytes() const { return m_writtenBytes; }
    std::size_t bufferedBytes() const { return m_buffer.size(); }

private:
    void sink_it_(const spdlog::details::log_msg& message) override;
    // Writes what the descriptor takes without waiting.
    void flush_() override;
    void append(const spdlog::details::log_msg& message);
    // Tells of the lines that were dropped since the last time.
    void tellDropped();
    bool canWrite() const;

    const BoundedSinkOptions m_options;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_toldDroppedLines = 0;
    std::uint64_t m_writtenBytes = 0;
};

}
