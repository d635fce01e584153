#pragma once

#include "fireflyhaven/common/result.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace fireflyhaven {

// 32-byte secret shared by all hosts (peer traffic) or used for session handles.
class SecretKey {
public:
    static constexpr std::size_t SIZE = 32;

    // Derives a key from text of at least 16 characters that the operator chose.
    static Result<SecretKey> fromText(std::string_view text);

    const unsigned char* data() const { return m_bytes.data(); }

private:
    std::array<unsigned char, SIZE> m_bytes {};
};

constexpr std::size_t MAC_SIZE = 16;

// Keyed MAC (BLAKE2b, 16 bytes) of the message.
std::string computeMac(const SecretKey& key, std::string_view message);
// Compares in constant time.
bool verifyMac(const SecretKey& key, std::string_view message, std::string_view mac);

std::string toBase64Url(std::string_view bytes);
Result<std::string> fromBase64Url(std::string_view text);
// Unkeyed 32-byte digest as hexadecimal; used to store callers' keys and to compare request bodies.
std::string digestHex(std::string_view text);
std::uint64_t randomNumber();
std::string randomToken();

}
