/// @file
/// Implementation of the hashes with xxHash, and of random data, MACs and the
/// comparison of secrets with OpenSSL.

#include "goldcrestnotch/core/hash.hpp"

#include <array>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace goldcrestnotch {

namespace internal {

[[nodiscard]] static std::string toHex(const unsigned char *Data,
                                       std::size_t Size) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(Size * 2);
  for (std::size_t I = 0; I < Size; ++I) {
    Text.push_back(Digits[Data[I] >> 4U]);
    Text.push_back(Digits[Data[I] & 0xFU]);
  }
  return Text;
}

} // namespace internal

std::uint64_t hashOf(std::string_view Text) noexcept {
  return XXH3_64bits(Text.data(), Text.size());
}

std::uint64_t hashOf(std::string_view Text, std::uint64_t Seed) noexcept {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

std::uint64_t rendezvous(std::string_view Key,
                         std::string_view Candidate) noexcept {
  return hashOf(Candidate, hashOf(Key));
}

std::string digestOf(std::string_view Text) {
  XXH128_canonical_t Canonical;
  XXH128_canonicalFromHash(&Canonical, XXH3_128bits(Text.data(), Text.size()));
  return internal::toHex(&Canonical.digest[0], sizeof(Canonical.digest));
}

std::string randomHex(std::size_t Bytes) {
  std::string RandomBytes(Bytes, '\0');
  auto *Data = reinterpret_cast<unsigned char *>(RandomBytes.data());
  if (RAND_bytes(Data, static_cast<int>(Bytes)) != 1) {
    throw std::runtime_error{"the random number generator of OpenSSL failed"};
  }
  return internal::toHex(Data, Bytes);
}

std::string macOf(std::string_view Key, std::string_view Text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Mac{};
  unsigned int Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Mac.data(), &Size);
  return internal::toHex(Mac.data(), Size);
}

bool sameSecret(std::string_view A, std::string_view B) noexcept {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace goldcrestnotch
