#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace fireflyhaven {

// Text identifier; the tag makes identifiers of different kinds distinct types.
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
    // Wire format: length as a 16-bit number, followed by the characters.
    template <typename Archive> void serialize(Archive& archive)
    {
        auto n = static_cast<std::uint16_t>(m_value.size());
        archive(n);
        m_value.resize(n);
        for (char& c : m_value)
            archive(c);
    }

private:
    std::string m_value;
};

// Integer; the tag makes quantities of different kinds distinct types.
template <typename Tag, typename Number = std::uint64_t> class StrongNumber {
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(Number value)
        : m_value(value)
    {
    }

    constexpr Number value() const { return m_value; }
    constexpr StrongNumber next() const { return StrongNumber(m_value + 1); }

    friend constexpr auto operator<=>(const StrongNumber&, const StrongNumber&) = default;

    template <typename H> friend H AbslHashValue(H h, const StrongNumber& n)
    {
        return H::combine(std::move(h), n.m_value);
    }
    template <typename Archive> void serialize(Archive& archive) { archive(m_value); }

private:
    Number m_value = 0;
};

template <typename Tag> using StrongNumber32 = StrongNumber<Tag, std::uint32_t>;

}
