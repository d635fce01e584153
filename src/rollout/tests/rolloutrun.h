#pragma once

#include "rolloutfixture.h"

// A whole roll-out whose answers turn bad with its age.
namespace fireflyhaven::rollout::test {

struct Outcome {
    int requests = 0;
    int newVersionRequests = 0;
    int badAnswers = 0;
    int afterFiftyBad = 0;
    std::optional<TimePoint> rejectedAt;
};

// Sends 40 requests per second through random hosts for the duration of the order. The share of the new version's
// answers that are `badAnswer` is `badShare` of the order's age.
template <typename BadShare>
Outcome runRollout(Deployment& it, int hosts, BadShare badShare, Answer badAnswer = Answer::Failed)
{
    Outcome outcome;
    it.order();
    for (TimePoint now = START; now < START + ORDER_TIME; now += Duration(25)) {
        const auto host = static_cast<std::size_t>(it.random()() % static_cast<unsigned>(hosts));
        const std::uint64_t session = it.random()() % 400;
        const double share = badShare(now - START);
        const bool good = static_cast<double>(it.random()() % 1000) >= share * 1000;
        const bool onNew = it.request(host, session * 7919 + 1, now, good ? Answer::Good : badAnswer);
        ++outcome.requests;
        outcome.newVersionRequests += onNew ? 1 : 0;
        outcome.badAnswers += onNew && !good ? 1 : 0;
        if ((now - START).count() % 250 == 0)
            it.exchangeReports(now);
        if (!outcome.rejectedAt && it.controller(0).stageOf(SERVICE, now) == Stage::RolledBack)
            outcome.rejectedAt = now;
    }
    return outcome;
}

}
