#pragma once

#include <compare>

namespace fireflyhaven {

// Rate of requests, in requests per second.
class RequestRate {
public:
    constexpr RequestRate() = default;
    constexpr explicit RequestRate(double perSecond)
        : m_perSecond(perSecond)
    {
    }

    constexpr double perSecond() const { return m_perSecond; }

    friend constexpr auto operator<=>(const RequestRate&, const RequestRate&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(m_perSecond); }

private:
    double m_perSecond = 0;
};

}
