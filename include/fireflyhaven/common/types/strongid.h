#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace fireflyhaven {

// Text identifier whose tag keeps identifiers of different kinds from being mixed up.
template <typename Tag> class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend auto operator<=>(const StrongId&, const StrongId&) = default;

    template <typename H> friend H AbslHashValue(H h, const StrongId& id)
    {
        return H::combine(std::move(h), id.m_value);
    }
    template <typename Archive> void serialize(Archive& archive) { archive(m_value); }

private:
    std::string m_value;
};

// Whole number whose tag keeps quantities of different kinds from being mixed up.
template <typename Tag> class StrongNumber {
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const { return m_value; }
    constexpr StrongNumber next() const { return StrongNumber(m_value + 1); }

    friend constexpr auto operator<=>(const StrongNumber&, const StrongNumber&) = default;

    template <typename H> friend H AbslHashValue(H h, const StrongNumber& n)
    {
        return H::combine(std::move(h), n.m_value);
    }
    template <typename Archive> void serialize(Archive& archive) { archive(m_value); }

private:
    std::uint64_t m_value = 0;
};

}
