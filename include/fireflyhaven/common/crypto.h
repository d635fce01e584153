#pragma once

#include "fireflyhaven/common/result.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace fireflyhaven {

// 32-byte symmetric key, shared by all hosts, for peer traffic or for session handles.
class SecretKey {
public:
    static constexpr std::size_t SIZE_BYTES = 32;

    // Derives a key from an operator-supplied text; fails with InvalidArgument for fewer than 16 characters.
    static Result<SecretKey> fromText(std::string_view text);

    const unsigned char* data() const { return m_bytes.data(); }

private:
    std::array<unsigned char, SIZE_BYTES> m_bytes {};
};

constexpr std::size_t MAC_BYTES = 16;

// Keyed BLAKE2b MAC of MAC_BYTES bytes.
std::string computeMac(const SecretKey& key, std::string_view message);
// Compares the MACs in constant time to prevent timing attacks.
bool verifyMac(const SecretKey& key, std::string_view message, std::string_view mac);

std::string toBase64Url(std::string_view bytes);
Result<std::string> fromBase64Url(std::string_view text);
// Unkeyed 32-byte BLAKE2b digest in hexadecimal. Used to store callers' API keys and to compare request bodies.
std::string digestHex(std::string_view text);
std::uint64_t randomNumber();
// 12 random bytes in base64url.
std::string randomToken();

}
