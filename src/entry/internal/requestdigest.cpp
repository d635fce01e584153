#include "requestdigest.h"

#include <sodium.h>

#include <array>
#include <cstring>

namespace fireflyhaven::entry {

namespace {

// Keeps the digests apart from other uses of the hash. It is no secret.
constexpr std::string_view KEY = "fireflyhaven request";

void update(crypto_generichash_state& state, std::string_view field)
{
    const std::uint64_t n = field.size();
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(&n), sizeof n);
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(field.data()), field.size());
}

}

RequestDigest digestOf(const CallerRequest& request, const http::RequestHead& head, std::string_view body)
{
    std::array<unsigned char, crypto_generichash_BYTES_MIN> digest {};
    crypto_generichash_state state;
    crypto_generichash_init(&state, reinterpret_cast<const unsigned char*>(KEY.data()), KEY.size(), digest.size());
    for (const std::string_view field :
        { std::string_view(head.method), std::string_view(request.host), std::string_view(head.target) })
        update(state, field);
    update(state, request.key.value_or(""));
    update(state, body);
    crypto_generichash_final(&state, digest.data(), digest.size());
    std::uint64_t n = 0;
    std::memcpy(&n, digest.data(), sizeof n);
    return RequestDigest(n);
}

}
