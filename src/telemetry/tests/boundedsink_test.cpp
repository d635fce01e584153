#include "fireflyhaven/telemetry/boundedsink.h"

#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>

#include <criterion/criterion.h>

using fireflyhaven::telemetry::BoundedSink;

namespace {

// A pipe that is read only when the test calls `readAll`.
class Pipe {
public:
    Pipe() { cr_assert(pipe(m_ends.data()) == 0); }
    ~Pipe()
    {
        close(m_ends[0]);
        close(m_ends[1]);
    }
    int writeEnd() const { return m_ends[1]; }
    std::string readAll() const
    {
        fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> buf {};
        for (ssize_t n = 0; (n = read(m_ends[0], buf.data(), buf.size())) > 0;)
            text.append(buf.data(), static_cast<std::size_t>(n));
        return text;
    }

private:
    std::array<int, 2> m_ends {};
};

struct PipeLogger {
    explicit PipeLogger(std::size_t maxBufferedBytes)
        : sink(std::make_shared<BoundedSink>(fireflyhaven::telemetry::BoundedSinkOptions {
            .descriptor = pipe.writeEnd(), .maxBufferedBytes = maxBufferedBytes }))
        , logger("test", sink)
    {
        logger.set_pattern("%v");
    }
    Pipe pipe;
    std::shared_ptr<BoundedSink> sink;
    spdlog::logger logger;
};

constexpr std::size_t LINE_BYTES = 100;
const std::string LINE(LINE_BYTES - 1, 'x');

}

Test(boundedsink, writesLinesCompleteAndInOrder)
{
    PipeLogger it(64 * 1024);
    it.logger.info("first");
    it.logger.error("second");
    it.logger.flush();
    cr_assert(it.pipe.readAll() == "first\nsecond\n");
    cr_assert(it.sink->bufferedBytes() == 0);
}

// Guards against a sink that blocks its process: when the reader of standard output stops reading, a blocking write
// never returns.
Test(boundedsink, fullPipeDropsLinesWithoutBlocking, .timeout = 20)
{
    constexpr std::size_t LIMIT = 64 * 1024;
    constexpr int LINES = 10'000;
    PipeLogger it(LIMIT);
    for (int i = 0; i < LINES; ++i)
        it.logger.info("{}", LINE);
    it.logger.flush();
    cr_assert(it.sink->bufferedBytes() <= LIMIT);
    cr_assert(it.sink->droppedLines() > 0);
    const std::uint64_t kept = it.sink->writtenBytes() + it.sink->bufferedBytes();
    cr_assert(kept + it.sink->droppedLines() * LINE_BYTES == LINES * LINE_BYTES);
}

Test(boundedsink, reservesHalfOfBufferForWarnings, .timeout = 20)
{
    PipeLogger it(8 * 1024);
    for (int i = 0; i < 10'000; ++i)
        it.logger.info("{}", LINE);
    const std::uint64_t dropped = it.sink->droppedLines();
    it.logger.warn("{}", LINE);
    cr_assert(it.sink->droppedLines() == dropped, "a warning was dropped although half of the buffer is reserved");
    it.logger.info("{}", LINE);
    cr_assert(it.sink->droppedLines() == dropped + 1);
}

Test(boundedsink, resumesAndReportsDroppedLinesAfterReaderReturns, .timeout = 20)
{
    PipeLogger it(8 * 1024);
    for (int i = 0; i < 10'000; ++i)
        it.logger.info("{}", LINE);
    it.pipe.readAll();
    it.logger.warn("back");
    it.logger.flush();
    const std::string text = it.pipe.readAll();
    const std::string dropReport
        = "{\"event\":\"log_lines_dropped\",\"lines\":" + std::to_string(it.sink->droppedLines()) + "}\n";
    cr_assert(text.ends_with(dropReport + "back\n"));
    cr_assert(it.sink->bufferedBytes() == 0);
}
