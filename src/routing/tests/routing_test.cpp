#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/routing/chooser.h"
#include "fireflyhaven/routing/versionassignment.h"
#include "fireflyhaven/routing/sessionpin.h"
#include "fireflyhaven/routing/upstreampicker.h"

#include <cmath>
#include <random>

#include <algorithm>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::routing;

namespace {

SecretKey keyOf(const std::string& text) { return SecretKey::fromText(text).value(); }

const WallTime NOW { Duration(1'000'000) };
const SessionPin PIN {
    .workspace = WorkspaceId("w"), .session = SessionId("s"), .version = { "m", "1" }, .expires = NOW + Duration(1000)
};

ErrorCode verifyError(
    const SessionSigner& signer, const std::string& handle, const std::string& workspace, WallTime now)
{
    return handleFailure(
        [&]() -> Result<ErrorCode> {
            BOOST_LEAF_CHECK(signer.verify(handle, WorkspaceId(workspace), now));
            return ErrorCode::Internal;
        },
        [](const Failure& it) { return it.code; });
}

}

Test(session, handleIsValidUntilExpiry)
{
    const SessionSigner signer(keyOf("first key of sessions"), std::nullopt);
    const std::string handle = signer.sign(PIN);
    cr_assert(signer.verify(handle, PIN.workspace, NOW).value().version == PIN.version);
    cr_assert(verifyError(signer, handle, "w", NOW + Duration(1000)) == ErrorCode::Expired);
    cr_assert(verifyError(signer, handle, "other", NOW) == ErrorCode::Forbidden);
}

Test(session, modifiedHandleIsRejected)
{
    const SessionSigner signer(keyOf("first key of sessions"), std::nullopt);
    const std::string handle = signer.sign(PIN);
    int tried = 0;
    for (std::size_t n = 0; n < handle.size(); ++n) {
        std::string forged = handle;
        forged[n] = forged[n] == 'A' ? 'B' : 'A';
        const ErrorCode code = verifyError(signer, forged, "w", NOW);
        cr_assert(code == ErrorCode::Unauthenticated || code == ErrorCode::InvalidArgument, "position %zu", n);
        ++tried;
    }
    for (const std::string forged : { "", "A", "====", "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA" })
        cr_assert(verifyError(signer, forged, "w", NOW) != ErrorCode::Internal);
    cr_assert_gt(tried, 60);
}

Test(session, previousKeyVerifiesDuringRotation)
{
    const SecretKey first = keyOf("first key of sessions");
    const SecretKey second = keyOf("second key of sessions");
    const std::string handle = SessionSigner(first, std::nullopt).sign(PIN);
    cr_assert(SessionSigner(second, first).verify(handle, PIN.workspace, NOW).has_value());
    cr_assert(verifyError(SessionSigner(second, std::nullopt), handle, "w", NOW) == ErrorCode::Unauthenticated);
}

namespace {

struct RandomCase {
    std::vector<Candidate> candidates;
    Requirements requirements;
    RaterModel rater;
};

RandomCase randomCase(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto between = [&](double a, double b) { return std::uniform_real_distribution<double>(a, b)(random); };
    RandomCase it;
    for (std::size_t n = 1 + random() % 7; n > 0; --n) {
        const auto total = static_cast<Duration::rep>(between(100, 3000));
        it.candidates.push_back({ .version = { "m" + std::to_string(n), "1" },
            .quality = between(0.4, 1),
            .expectedCost = { .micros = static_cast<std::int64_t>(between(1, 1000)) },
            .firstToken = Duration(total / 4),
            .total = Duration(total) });
    }
    it.requirements = { .qualityTarget = between(0.5, 1),
        .firstToken = Duration(static_cast<Duration::rep>(between(50, 4000))),
        .total = Duration(static_cast<Duration::rep>(between(100, 8000))),
        .onConflict = random() % 2 ? config::TargetConflict::QualityFirst : config::TargetConflict::TimeFirst };
    it.rater.available = random() % 4 != 0;
    return it;
}

struct ReferenceOutcome {
    double quality = 0;
    double cost = 0;
    double firstToken = 0;
    double total = 0;
};

// Reference implementation of `evaluateCascade`: recursion over the two possible ratings of each answer.
ReferenceOutcome referenceOutcome(
    const RandomCase& it, const std::vector<std::size_t>& steps, std::size_t n, double probability, double time)
{
    const Candidate& candidate = it.candidates[steps[n]];
    ReferenceOutcome value { .cost = probability * static_cast<double>(candidate.expectedCost.micros) };
    const double end = time + static_cast<double>(candidate.total.count());
    if (n + 1 == steps.size()) {
        value.quality = probability * candidate.quality;
        value.firstToken = time + static_cast<double>(candidate.firstToken.count());
        value.total = end;
        return value;
    }
    const double goodAccepted = candidate.quality * it.rater.acceptsGood;
    const double badAccepted = (1 - candidate.quality) * it.rater.acceptsBad;
    const ReferenceOutcome rest = referenceOutcome(it, steps, n + 1, probability * (1 - goodAccepted - badAccepted),
        end + static_cast<double>(it.rater.time.count()));
    return { .quality = probability * goodAccepted + rest.quality,
        .cost = value.cost + rest.cost,
        .firstToken = rest.firstToken,
        .total = rest.total };
}

void enumerateSequences(std::size_t candidates, std::size_t maxSteps, std::vector<std::size_t> steps,
    std::vector<std::vector<std::size_t>>& all)
{
    if (!steps.empty())
        all.push_back(steps);
    if (steps.size() == maxSteps)
        return;
    for (std::size_t n = 0; n < candidates; ++n) {
        if (std::count(steps.begin(), steps.end(), n) > 0)
            continue;
        std::vector<std::size_t> extended = steps;
        extended.push_back(n);
        enumerateSequences(candidates, maxSteps, extended, all);
    }
}

}

Test(chooser, matchesExhaustiveSearch)
{
    int cascades = 0;
    int unmet = 0;
    for (std::uint64_t seed = 0; seed < 3000; ++seed) {
        const RandomCase it = randomCase(seed);
        const Choice choice = chooseCascade(it.candidates, it.requirements, it.rater);
        std::vector<std::vector<std::size_t>> all;
        enumerateSequences(it.candidates.size(), it.rater.available ? MAX_CASCADE_STEPS : 1, {}, all);
        double cheapest = INFINITY;
        double best = 0;
        double bestInTime = -1;
        for (const auto& steps : all) {
            const ReferenceOutcome value = referenceOutcome(it, steps, 0, 1, 0);
            const bool inTime = value.firstToken <= static_cast<double>(it.requirements.firstToken.count())
                && value.total <= static_cast<double>(it.requirements.total.count());
            best = std::max(best, value.quality);
            if (inTime)
                bestInTime = std::max(bestInTime, value.quality);
            if (inTime && value.quality >= it.requirements.qualityTarget)
                cheapest = std::min(cheapest, value.cost);
        }
        if (std::isfinite(cheapest)) {
            cr_assert(choice.kind == ChoiceKind::MeetsTarget, "seed %lu", seed);
            cr_assert_float_eq(choice.cascade.expectedCostMicros, cheapest, 1e-6, "seed %lu", seed);
            cascades += choice.cascade.steps.size() > 1 ? 1 : 0;
            continue;
        }
        ++unmet;
        const bool timeFirst = it.requirements.onConflict == config::TargetConflict::TimeFirst && bestInTime >= 0;
        cr_assert(choice.kind == (timeFirst ? ChoiceKind::BestTime : ChoiceKind::BestQuality), "seed %lu", seed);
        cr_assert_float_eq(choice.cascade.quality, timeFirst ? bestInTime : best, 1e-9, "seed %lu", seed);
    }
    cr_assert_gt(cascades, 100);
    cr_assert_gt(unmet, 100);
}

Test(chooser, noCandidateIsReported) { cr_assert(chooseCascade({}, {}, {}).kind == ChoiceKind::NoCandidate); }

Test(versionassignment, higherShareMovesNewSessionsToThatVersionOnly)
{
    const ModelVersion a { "m", "1" };
    const ModelVersion b { "m", "2" };
    const ModelVersion c { "m", "3" };
    int toC = 0;
    for (int n = 0; n < 10'000; ++n) {
        const SessionId session("s" + std::to_string(n));
        const ModelVersion before = assignVersion({ { a, 0.6 }, { b, 0.3 }, { c, 0.1 } }, session)->version;
        const ModelVersion after = assignVersion({ { a, 0.6 }, { b, 0.3 }, { c, 0.5 } }, session)->version;
        cr_assert(before == after || after == c);
        toC += before == c ? 1 : 0;
    }
    cr_assert_float_eq(toC / 10'000.0, 0.1, 0.01);
    cr_assert_null(assignVersion({ { a, 0 } }, SessionId("s")));
}

Test(picker, prefixAffinityHoldsUntilOverload)
{
    std::vector<UpstreamOption> options;
    for (int n = 0; n < 6; ++n) {
        const UpstreamId id("u" + std::to_string(n));
        options.push_back({ .upstream = id, .hash = stableHash(id.value()), .limit = 8, .firstToken = Duration(100) });
    }
    const std::uint64_t prefix = stableHash("prompt");
    const std::size_t home = pickUpstream(options, prefix);
    cr_assert_eq(pickUpstream(options, prefix), home);
    options[home].inFlight = 8;
    options[home].queued = 2;
    cr_assert_neq(pickUpstream(options, prefix), home);
    options[home].inFlight = 0;
    options[home].queued = 0;
    options[home].avoided = true;
    cr_assert_neq(pickUpstream(options, prefix), home);
    for (UpstreamOption& it : options)
        it.avoided = true;
    cr_assert_eq(pickUpstream(options, prefix), home, "an avoided upstream is used where no other is left");
    cr_assert_eq(pickUpstream({}, prefix), 0);
}
