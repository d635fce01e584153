#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/crypto.h"
#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/common/result.h"

#include <sodium.h>
#include <time.h>
#include <xxhash.h>

#include <stdexcept>

namespace fireflyhaven {

const char* errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::Unauthenticated:
        return "unauthenticated";
    case ErrorCode::Forbidden:
        return "forbidden";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Expired:
        return "expired";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorCode::TooLarge:
        return "too_large";
    case ErrorCode::Protocol:
        return "protocol";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

const char* runStateName(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Unknown:
        return "unknown";
    case RunState::Ran:
        return "ran";
    }
    return "unknown";
}

// CLOCK_BOOTTIME goes on while the machine is suspended, so that a lease lapses during a suspension too.
TimePoint SystemClock::now() const
{
    timespec it {};
    clock_gettime(CLOCK_BOOTTIME, &it);
    return TimePoint(
        std::chrono::duration_cast<Duration>(std::chrono::seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec)));
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t combineHashes(std::uint64_t a, std::uint64_t b)
{
    const std::uint64_t pair[2] = { a, b };
    return XXH3_64bits(pair, sizeof(pair));
}

double unitInterval(std::uint64_t hash)
{
    constexpr int KEPT_BITS = 53;
    return static_cast<double>(hash >> (64 - KEPT_BITS)) / static_cast<double>(1ULL << KEPT_BITS);
}

Result<SecretKey> SecretKey::fromText(std::string_view text)
{
    constexpr std::size_t SHORTEST_TEXT = 16;
    if (text.size() < SHORTEST_TEXT)
        return failure(ErrorCode::InvalidArgument, "a key needs at least 16 characters");
    SecretKey key;
    crypto_generichash(
        key.m_bytes.data(), SIZE, reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr, 0);
    return key;
}

std::string computeMac(const SecretKey& key, std::string_view message)
{
    std::string mac(MAC_SIZE, '\0');
    crypto_generichash(reinterpret_cast<unsigned char*>(mac.data()), MAC_SIZE,
        reinterpret_cast<const unsigned char*>(message.data()), message.size(), key.data(), SecretKey::SIZE);
    return mac;
}

bool verifyMac(const SecretKey& key, std::string_view message, std::string_view mac)
{
    if (mac.size() != MAC_SIZE)
        return false;
    const std::string expected = computeMac(key, message);
    return sodium_memcmp(expected.data(), mac.data(), MAC_SIZE) == 0;
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
    constexpr std::size_t DIGEST_SIZE = 32;
    unsigned char digest[DIGEST_SIZE];
    crypto_generichash(
        digest, DIGEST_SIZE, reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr, 0);
    std::string hex(DIGEST_SIZE * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest, DIGEST_SIZE);
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
