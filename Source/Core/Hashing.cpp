#include "Core/Hashing.h"

#include <array>
#include <charconv>

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace jacinthroad {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t mix64(std::uint64_t left, std::uint64_t right)
{
    // Combines both values like boost::hash_combine and applies the finalizer of MurmurHash3.
    std::uint64_t value = left ^ (right + 0x9e3779b97f4a7c15ULL + (left << 6) + (left >> 2));
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33;
    return value;
}

std::string hexadecimal(std::uint64_t number)
{
    constexpr int Base = 16;
    std::array<char, Base> text {};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), number, Base);
    return { text.data(), end.ptr };
}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        text.push_back(Digits[byte >> 4U]);
        text.push_back(Digits[byte & 15U]);
    }
    return text;
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace jacinthroad
