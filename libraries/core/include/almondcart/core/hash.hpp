#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace almondcart {

/// Fast non-cryptographic hash that is the same on every VM and in every version of the program.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

/// Lower-case hexadecimal digits of `bytes`.
std::string to_hex(std::span<unsigned char const> bytes);

} // namespace almondcart
