#include "fireflyhaven/rollout/exposurebudget.h"

#include <algorithm>

namespace fireflyhaven::rollout {

namespace {
constexpr Duration RATE_WINDOW { 3000 };
}

void ExposureBudget::onAnswers(std::uint32_t all, std::uint32_t ofTarget)
{
    m_answered += all;
    m_ofTarget += ofTarget;
}

void ExposureBudget::sample(TimePoint now)
{
    if (m_recent.empty())
        m_first = { .at = now, .answered = m_answered };
    m_recent.push_back({ .at = now, .answered = m_answered });
    while (now - m_recent.front().at > RATE_WINDOW)
        m_recent.pop_front();
}

double ExposureBudget::remaining(const ExposureLimit& limit, double inFlight) const
{
    const auto answered = static_cast<double>(m_answered);
    return limit.ratio * answered + limit.slack - static_cast<double>(m_ofTarget) - inFlight;
}

double ExposureBudget::rateBetween(const Sample& from, const Sample& to)
{
    const double seconds = std::chrono::duration<double>(to.at - from.at).count();
    return seconds > 0 ? static_cast<double>(to.answered - from.answered) / seconds : 0;
}

double ExposureBudget::rate() const
{
    if (m_recent.empty())
        return 0;
    return std::max(rateBetween(m_first, m_recent.back()), rateBetween(m_recent.front(), m_recent.back()));
}

}
