#include "guardfleet.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::poison;
using namespace fireflyhaven::poison::test;

// Guards against a part that no host sees often enough by itself.
Test(poisonGuard, crashesSeenByDifferentHostsConvictThePartEverywhere)
{
    Fleet it(5);
    it.convictDeadly();
    cr_assert(it.allRefuse(DEADLY));
    cr_assert(it.noneRefuses(PromptPartId(7)), "a request that shares the first part is not refused");
}

// Guards against refusing sound requests when operators kill upstreams.
Test(poisonGuard, upstreamsKilledByHandConvictNoPart)
{
    constexpr std::uint32_t UPSTREAMS = 18;
    for (const Duration interval : { Duration(5), Duration(100), Duration(400), Duration(1500) }) {
        Fleet it(5);
        it.answer(0, it.send(0, UPSTREAMS + 1, 3));
        it.advance(Duration(1000));
        std::uint64_t part = 10;
        for (std::uint32_t killed = 1; killed <= UPSTREAMS; ++killed) {
            std::vector<std::pair<std::size_t, AttemptNumber>> lost;
            for (std::size_t host = 0; host < it.guards.size(); ++host) {
                lost.emplace_back(host, it.send(host, killed, ++part));
                it.answer(host, it.send(host, UPSTREAMS + 1, part - 20));
            }
            it.now += Duration(20);
            for (const auto& [host, number] : lost)
                it.lose(host, number, killed);
            it.advance(interval);
        }
        for (std::uint64_t n = 1; n <= part; ++n)
            cr_assert(it.noneRefuses(PromptPartId(n)), "part %lu after kills every %ld ms", n, interval.count());
    }
}

// Guards against a cut-off host whose lost connections look like crashes to the others.
Test(poisonGuard, hostCutOffFromUpstreamsConvictsNoPart)
{
    Fleet it(4);
    constexpr std::uint32_t UPSTREAMS = 6;
    // A request with a rare part is lost at one upstream after the other, while the other hosts reach all of them.
    for (std::uint32_t n = 1; n <= UPSTREAMS; ++n) {
        const AttemptNumber lost = it.send(0, n, 77);
        it.now += Duration(700);
        it.lose(0, lost, n);
        it.now += Duration(10);
        for (std::size_t host = 1; host < it.guards.size(); ++host) {
            const AttemptNumber answered = it.send(host, n, 500 + n);
            it.now += Duration(20);
            it.answer(host, answered);
        }
        it.advance(Duration(300));
    }
    cr_assert(it.noneRefuses(PromptPartId(77)));
}

Test(poisonGuard, restartedHostLearnsVerdicts)
{
    Fleet it(4);
    it.convictDeadly();
    it.start();
    it.advance(Duration(200));
    cr_assert(it.refuses(4, DEADLY));
}

Test(poisonGuard, answerWithoutACrashWithdrawsTheVerdict)
{
    Fleet it(3);
    const AttemptNumber early = it.send(1, 12, DEADLY.value());
    it.convictDeadly();
    it.answer(1, early);
    it.advance(Duration(1000));
    cr_assert(it.noneRefuses(DEADLY));
}

// Guards against an answer that is given up for a larger model's: it shows nothing of its part.
Test(poisonGuard, abandonedAnswerClearsNoPart)
{
    Fleet it(3);
    it.convictDeadly();
    const AttemptNumber abandoned = it.send(0, 15, DEADLY.value());
    it.answer(0, abandoned);
    it.guards[0].onEnded(abandoned, AttemptEnd::Abandoned);
    it.advance(Duration(1000));
    cr_assert(it.allRefuse(DEADLY));
}

// Guards against a crash whose cause was given up for a larger model just before, so that its host loses no request.
Test(poisonGuard, answerGivenUpJustBeforeACrashThatOthersSeeIsASuspect)
{
    Fleet it(3);
    for (std::uint32_t n = 1; n <= 3; ++n) {
        const AttemptNumber stream = it.send(1, n, 40 + n);
        it.answer(1, stream);
        it.answer(0, it.send(0, SOUND_UPSTREAM, 2));
        it.advance(Duration(1000));
        const AttemptNumber deadly = it.send(0, n, DEADLY.value());
        it.answer(0, deadly);
        it.guards[0].onEnded(deadly, AttemptEnd::Abandoned);
        it.now += Duration(80);
        it.lose(1, stream, n);
        it.advance(Duration(400));
    }
    it.advance(Duration(300));
    cr_assert(it.allRefuse(DEADLY));
}

// Guards against streams that had long begun their answers being blamed for a crash.
Test(poisonGuard, requestWhoseAnswerBeganLongBeforeIsNoSuspect)
{
    Fleet it(2);
    for (std::uint32_t n = 1; n <= 4; ++n) {
        const AttemptNumber stream = it.send(0, n, 33);
        it.answer(0, stream);
        it.advance(Duration(500));
        it.lose(0, stream, n);
        it.advance(Duration(500));
    }
    cr_assert(it.noneRefuses(PromptPartId(33)));
}

// Guards against sound parts being blamed for connections that are reset while their upstreams live.
Test(poisonGuard, connectionsResetBySoundUpstreamsConvictNoPart)
{
    Fleet it(5);
    for (std::uint32_t n = 1; n <= 8; ++n) {
        const std::size_t host = n % it.guards.size();
        const AttemptNumber number = it.send(host, n, 66);
        it.guards[host].onConnectionLost(number, upstream(n), it.now);
        for (const ratelimit::UpstreamIncarnation& unconfirmed : it.guards[host].takeUnconfirmedCrashes())
            it.guards[host].onCrashChecked(unconfirmed, false, it.now);
        it.advance(Duration(150));
    }
    cr_assert(it.noneRefuses(PromptPartId(66)));
    cr_assert_eq(it.guards[0].knownCrashes(), 0);
}

namespace {

const RequestDigest DEADLY_REQUEST(0x5eed);

AttemptNumber sendWhole(Fleet& it, std::size_t host, std::uint32_t to, RequestDigest request, std::uint64_t n)
{
    const AttemptNumber number(10'000 + n);
    it.guards[host].onSent(number, upstream(to), { .parts = {}, .request = request }, it.now);
    return number;
}

bool refusesWhole(Fleet& it, std::size_t host, RequestDigest request)
{
    return it.guards[host].refusalOf({ .parts = {}, .request = request }, it.now).has_value();
}

}

// A request without any prompt crashes each upstream before the head of an answer. Guards against upstreams that crash
// one after the other under one request that comes again at any host (deadly.toml with a class of orders).
Test(poisonGuard, requestThatCrashesThreeUpstreamsIsRefusedByAllHosts)
{
    Fleet it(6);
    for (std::uint32_t n = 0; n < 3; ++n) {
        for (std::size_t host = 0; host < 6; ++host)
            cr_assert_not(refusesWhole(it, host, DEADLY_REQUEST));
        // Other orders are in flight beside it, each once.
        const std::size_t host = n * 2;
        const AttemptNumber deadly = sendWhole(it, host, n, DEADLY_REQUEST, 2 * n);
        const AttemptNumber other = sendWhole(it, host, n, RequestDigest(100 + n), 2 * n + 1);
        it.lose(host, deadly, n);
        it.lose(host, other, n);
        it.advance(Duration(600));
    }
    for (std::size_t host = 0; host < 6; ++host) {
        cr_assert(refusesWhole(it, host, DEADLY_REQUEST), "host %zu", host);
        for (std::uint64_t n = 0; n < 3; ++n)
            cr_assert_not(refusesWhole(it, host, RequestDigest(100 + n)), "a request in flight beside it");
    }
    it.start();
    it.advance(Duration(200));
    cr_assert(refusesWhole(it, 6, DEADLY_REQUEST), "restarted hosts learn the verdict");
}

// The same sound request is asked for all the time. Guards against two equal requests as evidence against each other.
Test(poisonGuard, requestThatIsAnsweredBetweenCrashesIsNotRefused)
{
    Fleet it(3);
    const RequestDigest popular(7);
    std::uint64_t attempts = 0;
    for (std::uint32_t n = 0; n < 12; ++n) {
        it.lose(n % 3, sendWhole(it, n % 3, n, popular, ++attempts), n);
        const AttemptNumber sound = sendWhole(it, (n + 1) % 3, SOUND_UPSTREAM, popular, ++attempts);
        it.answer((n + 1) % 3, sound);
        it.guards[(n + 1) % 3].onEnded(sound, AttemptEnd::Answered);
        it.advance(Duration(1500));
        for (std::size_t host = 0; host < 3; ++host)
            cr_assert_not(refusesWhole(it, host, popular), "after crash %u", n + 1);
    }
}

// Guards against refusing sound requests because upstreams are killed at one moment.
Test(poisonGuard, upstreamsKilledAtOnceRefuseNoRequest)
{
    Fleet it(3);
    std::vector<std::tuple<std::size_t, AttemptNumber, std::uint32_t>> open;
    for (std::uint32_t n = 0; n < 18; ++n)
        open.emplace_back(n % 3, sendWhole(it, n % 3, n, RequestDigest(1 + n % 2), n), n);
    for (const auto& [host, number, at] : open)
        it.lose(host, number, at);
    it.advance(Duration(1000));
    for (const std::uint64_t request : { 1, 2 })
        cr_assert_not(refusesWhole(it, 0, RequestDigest(request)));
}

// The request's parts are in the same crashes. Guards against refusing the sound requests that share them.
Test(poisonGuard, partsOfCrashingRequestAreNotRefused)
{
    Fleet it(2);
    const PromptPartId shared(0xabc);
    for (std::uint32_t n = 0; n < 3; ++n) {
        const AttemptNumber number(n + 1);
        it.guards[0].onSent(
            number, upstream(n), { .parts = { FIRST, shared, PromptPartId(9) }, .request = DEADLY_REQUEST }, it.now);
        it.lose(0, number, n);
        it.advance(Duration(700));
    }
    const auto refusal = [&](RequestDigest request) {
        return it.guards[1].refusalOf({ .parts = { FIRST, shared, PromptPartId(5) }, .request = request }, it.now);
    };
    cr_assert(refusal(DEADLY_REQUEST) && refusal(DEADLY_REQUEST)->isWholeRequest);
    cr_assert_not(refusal(RequestDigest(1)).has_value());
}

// A part crashes upstreams in whatever request. Guards against a verdict on its first request that hides the part.
Test(poisonGuard, partIsConvictedAfterOneOfItsRequests)
{
    Fleet it(2);
    std::uint64_t attempts = 0;
    const auto crash = [&](RequestDigest request) {
        const auto at = static_cast<std::uint32_t>(++attempts);
        const AttemptNumber number(attempts);
        it.guards[0].onSent(number, upstream(at),
            { .parts = { FIRST, DEADLY, PromptPartId(500 + request.value()) }, .request = request }, it.now);
        it.lose(0, number, at);
        const AttemptNumber sound = it.send(1, SOUND_UPSTREAM, 77);
        it.answer(1, sound);
        it.guards[1].onEnded(sound, AttemptEnd::Answered);
        it.advance(Duration(1200));
    };
    for (int n = 0; n < 3; ++n)
        crash(RequestDigest(1));
    crash(RequestDigest(2));
    crash(RequestDigest(3));
    cr_assert(it.allRefuse(DEADLY));
    cr_assert_not(it.refuses(0, FIRST));
}

// The messages of the build before end before the convicted requests. Guards against losing its verdicts, and against
// messages that it cannot read.
Test(poisonGuard, noticesWithoutExtensionAreRead)
{
    fleet::PoisonNotices notices { .from = HostId("h") };
    notices.verdicts.items.push_back({ .part = DEADLY, .convictedBy = HostId("h") });
    notices.convictedRequests.items.push_back(DEADLY);
    const std::string bytes = fleet::encodePoisonNotices(notices);
    // The extension is a 16-bit number of ids, and 8 bytes for each; the number of trials is 16 bits more.
    constexpr std::size_t EXTENSION_BYTES = 2 + 8 + 2;
    const auto older = fleet::decodePoisonNotices(bytes.substr(0, bytes.size() - EXTENSION_BYTES));
    cr_assert(older && older->verdicts.items.size() == 1 && older->convictedRequests.items.empty());
    const auto newer = fleet::decodePoisonNotices(bytes);
    cr_assert(newer && newer->verdicts.items.size() == 1 && newer->convictedRequests.items.size() == 1);
}

// The messages of the build before end before the trials. Guards against losing all of such a message.
Test(poisonGuard, noticesWithoutTrialsAreRead)
{
    fleet::PoisonNotices notices { .from = HostId("h") };
    notices.verdicts.items.push_back({ .part = DEADLY, .convictedBy = HostId("h") });
    notices.convictedRequests.items.push_back(DEADLY);
    notices.trials.items.push_back({ .part = DEADLY, .trials = 1, .ageMs = 5 });
    const std::string bytes = fleet::encodePoisonNotices(notices);
    const auto newer = fleet::decodePoisonNotices(bytes);
    cr_assert(newer && newer->trials.items.size() == 1 && newer->trials.items.front().trials == 1);
    notices.trials.items.clear();
    const std::string withoutTrials = fleet::encodePoisonNotices(notices);
    // The extension is a 16-bit number of entries.
    const auto before = fleet::decodePoisonNotices(withoutTrials.substr(0, withoutTrials.size() - 2));
    cr_assert(before && before->convictedRequests.items.size() == 1 && before->trials.items.empty());
}
