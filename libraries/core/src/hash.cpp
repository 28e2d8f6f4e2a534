#include <almondcart/core/hash.hpp>

#include <openssl/evp.h>
#include <xxhash.h>

#include <array>

namespace almondcart {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int n = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &n, EVP_sha256(), nullptr);
    return to_hex(std::span(digest).first(n));
}

std::string to_hex(std::span<unsigned char const> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (unsigned char const byte : bytes)
    {
        text += digits[byte >> 4U];
        text += digits[byte & 0x0fU];
    }
    return text;
}

} // namespace almondcart
