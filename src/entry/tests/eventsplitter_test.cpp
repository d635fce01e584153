#include "fireflyhaven/entry/eventsplitter.h"

#include <random>

#include <criterion/criterion.h>

using namespace fireflyhaven::entry;

namespace {

struct ReceivedEvents {
    std::string bytes;
    std::vector<std::uint64_t> ids;
};

ReceivedEvents feedInChunks(const std::string& text, std::mt19937_64& random, std::string& incompleteEvent)
{
    ReceivedEvents received;
    EventSplitter splitter;
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t n = std::min<std::size_t>(text.size() - begin, 1 + random() % 9);
        splitter.feed(std::string_view(text).substr(begin, n), [&](const StreamEvent& it) {
            received.bytes += it.bytes;
            received.ids.push_back(it.id.value_or(0));
        });
        begin += n;
    }
    incompleteEvent = splitter.incompleteEvent();
    return received;
}

}

Test(eventsplitter, resultIsIndependentOfChunking)
{
    std::mt19937_64 random(1);
    const std::string complete = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 30\ndata: c\ndata: d\n\n";
    const std::string partial = "id: 31\nda";
    for (int round = 0; round < 300; ++round) {
        std::string incompleteEvent;
        const ReceivedEvents received = feedInChunks(complete + partial, random, incompleteEvent);
        cr_assert_str_eq(received.bytes.c_str(), complete.c_str());
        cr_assert(received.ids == std::vector<std::uint64_t>({ 1, 2, 0, 30 }));
        cr_assert_str_eq(incompleteEvent.c_str(), partial.c_str());
    }
}
