#pragma once

#include "fireflyhaven/poison/poisonguard.h"

#include <deque>
#include <memory>

// Guards of several hosts on a virtual clock, which tell each other everything.
namespace fireflyhaven::poison::test {

using fleet::NoticeScope;
using fleet::NoticeSource;

constexpr TimePoint START { Duration(1'000'000) };
inline const PromptPartId FIRST(1);
inline const PromptPartId DEADLY(0xdead);
constexpr std::uint32_t SOUND_UPSTREAM = 30;
// The host of a fleet that puts verdicts to the test.
constexpr std::size_t TRIAL_HOST = 1;

inline ratelimit::UpstreamIncarnation upstream(std::uint32_t n) { return { .upstream = n, .startedAtMs = 1 }; }

// Guards of several hosts that tell each other everything.
struct Fleet {
    explicit Fleet(int n)
    {
        for (int k = 0; k < n; ++k)
            start();
    }

    static PoisonGuard newGuard(std::size_t host)
    {
        return PoisonGuard(
            HostId("host-" + std::to_string(host)), [host](PromptPartId, TimePoint) { return host == TRIAL_HOST; });
    }
    void start() { guards.push_back(newGuard(guards.size())); }
    // The process ends and starts again, and hears what the others tell.
    void restart(std::size_t host)
    {
        std::destroy_at(&guards[host]);
        std::construct_at(&guards[host], newGuard(host));
    }

    void exchange()
    {
        for (std::size_t from = 0; from < guards.size(); ++from) {
            const fleet::PoisonNotices notices = guards[from].poisonNotices(NoticeScope::Host, now);
            for (std::size_t to = 0; to < guards.size(); ++to) {
                if (to != from)
                    guards[to].onPoisonNotices(notices, NoticeSource::OwnDataCentre, now);
            }
        }
    }
    void advance(Duration time)
    {
        constexpr Duration STEP { 100 };
        for (const TimePoint end = now + time; now < end; now += std::min(STEP, end - now)) {
            for (PoisonGuard& it : guards)
                it.tick(now);
            exchange();
        }
    }
    // Nothing happens for the most of this time.
    void skip(Duration time)
    {
        constexpr Duration SETTLE { 1000 };
        now += time - std::min(time, SETTLE);
        advance(std::min(time, SETTLE));
    }
    AttemptNumber send(std::size_t host, std::uint32_t to, std::uint64_t part)
    {
        const AttemptNumber number(++m_lastAttempt);
        guards[host].onSent(number, upstream(to),
            { .parts = { FIRST, PromptPartId(part), PromptPartId(1'000'000 + m_lastAttempt) } }, now);
        return number;
    }
    void answer(std::size_t host, AttemptNumber number) { guards[host].onAnswerBegun(number, now); }
    // The connection is lost, and the upstream is found crashed.
    void lose(std::size_t host, AttemptNumber number, std::uint32_t at)
    {
        guards[host].onConnectionLost(number, upstream(at), now);
        for (const ratelimit::UpstreamIncarnation& it : guards[host].takeUnconfirmedCrashes())
            guards[host].onCrashChecked(it, true, now);
    }
    // A request with the deadly part crashes the upstream 50 ms after the head of its answer.
    void crashWithDeadly(std::size_t host, std::uint32_t at)
    {
        const AttemptNumber number = send(host, at, DEADLY.value());
        answer(host, number);
        now += Duration(50);
        lose(host, number, at);
    }
    bool refuses(std::size_t host, PromptPartId part)
    {
        return guards[host].refusalOf({ .parts = { FIRST, part, PromptPartId(99) } }, now).has_value();
    }
    bool allRefuse(PromptPartId part)
    {
        bool all = true;
        for (std::size_t n = 0; n < guards.size(); ++n)
            all = refuses(n, part) && all;
        return all;
    }
    bool noneRefuses(PromptPartId part)
    {
        bool none = true;
        for (std::size_t n = 0; n < guards.size(); ++n)
            none = !refuses(n, part) && none;
        return none;
    }
    // Three crashes, each seen by another host; sound requests with the same first part are answered meanwhile.
    void convictDeadly()
    {
        for (std::uint32_t n = 0; n < 3; ++n) {
            crashWithDeadly(n, n + 1);
            answer(0, send(0, SOUND_UPSTREAM, 2));
            advance(Duration(600));
        }
    }

    std::deque<PoisonGuard> guards;
    TimePoint now = START;

private:
    std::uint64_t m_lastAttempt = 0;
};

}
