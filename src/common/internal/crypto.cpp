#include "fireflyhaven/common/crypto.h"

#include <sodium.h>

#include <stdexcept>

namespace fireflyhaven {

Result<SecretKey> SecretKey::fromText(std::string_view text)
{
    constexpr std::size_t MIN_TEXT_LENGTH = 16;
    if (text.size() < MIN_TEXT_LENGTH)
        return failure(ErrorCode::InvalidArgument, "a key needs at least 16 characters");
    SecretKey key;
    crypto_generichash(
        key.m_bytes.data(), SIZE_BYTES, reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr, 0);
    return key;
}

std::string computeMac(const SecretKey& key, std::string_view message)
{
    std::string mac(MAC_BYTES, '\0');
    crypto_generichash(reinterpret_cast<unsigned char*>(mac.data()), MAC_BYTES,
        reinterpret_cast<const unsigned char*>(message.data()), message.size(), key.data(), SecretKey::SIZE_BYTES);
    return mac;
}

bool verifyMac(const SecretKey& key, std::string_view message, std::string_view mac)
{
    if (mac.size() != MAC_BYTES)
        return false;
    const std::string expected = computeMac(key, message);
    return sodium_memcmp(expected.data(), mac.data(), MAC_BYTES) == 0;
}

std::string toBase64Url(std::string_view bytes)
{
    const auto variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
    std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(
        text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), variant);
    text.pop_back();
    return text;
}

Result<std::string> fromBase64Url(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t n = 0;
    const char* end = nullptr;
    const int rc = sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
        text.size(), nullptr, &n, &end, sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    if (rc != 0 || end != text.data() + text.size())
        return failure(ErrorCode::InvalidArgument, "not base64url");
    bytes.resize(n);
    return bytes;
}

std::string digestHex(std::string_view text)
{
    constexpr std::size_t DIGEST_BYTES = 32;
    unsigned char digest[DIGEST_BYTES];
    crypto_generichash(
        digest, DIGEST_BYTES, reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr, 0);
    std::string hex(DIGEST_BYTES * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest, DIGEST_BYTES);
    hex.pop_back();
    return hex;
}

std::uint64_t randomNumber()
{
    if (sodium_init() < 0)
        throw std::runtime_error("libsodium could not be initialised");
    std::uint64_t n = 0;
    randombytes_buf(&n, sizeof(n));
    return n;
}

std::string randomToken()
{
    constexpr std::size_t TOKEN_BYTES = 12;
    char buf[TOKEN_BYTES];
    if (sodium_init() < 0)
        throw std::runtime_error("libsodium could not be initialised");
    randombytes_buf(buf, sizeof(buf));
    return toBase64Url({ buf, sizeof(buf) });
}

}
