#pragma once

#include "http.h"

#include <cstdarg>
#include <cstdio>

namespace review {

// Writes what was sent, answered and run, each line with the time since the start of the case.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
        if (!m_file)
            throw std::runtime_error("cannot write " + path);
    }
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;
    ~Record() { std::fclose(m_file); }

    [[gnu::format(printf, 2, 3)]] void line(const char* format, ...)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%7.3f ", static_cast<double>(elapsed(m_start).count()) / 1000);
        std::va_list values;
        va_start(values, format);
        std::vfprintf(m_file, format, values);
        va_end(values);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }
    double secondsSinceStart(Clock::time_point at) const
    {
        return static_cast<double>(elapsed(m_start, at).count()) / 1000;
    }

private:
    std::FILE* m_file;
    std::mutex m_mutex;
    const Clock::time_point m_start = Clock::now();
};

}
