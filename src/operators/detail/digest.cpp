#include "operators/detail/digest.hpp"

#include "skylarkdyke/operators/token.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace skylarkdyke::operators {

namespace detail {

static const unsigned char *asUnsigned(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

std::string sha256(std::string_view Bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  if (EVP_Digest(Bytes.data(), Bytes.size(), Digest.data(), &Size, EVP_sha256(),
                 nullptr) != 1)
    throw std::runtime_error("SHA-256 is not available");
  return {reinterpret_cast<const char *>(Digest.data()), Size};
}

std::string hmacSha256(std::string_view Key, std::string_view Bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  if (HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
           asUnsigned(Bytes), Bytes.size(), Digest.data(), &Size) == nullptr)
    throw std::runtime_error("HMAC-SHA-256 is not available");
  return toHex({reinterpret_cast<const char *>(Digest.data()), Size});
}

std::string randomBytes(std::size_t Count) {
  std::string Bytes(Count, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Bytes.data()),
                 static_cast<int>(Count)) != 1)
    throw std::runtime_error("no random bytes are available");
  return Bytes;
}

std::string toHex(std::string_view Bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (const char Each : Bytes) {
    const auto Byte = static_cast<unsigned char>(Each);
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 15U];
  }
  return Text;
}

bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace detail

std::string hashToken(std::string_view Token) {
  return detail::toHex(detail::sha256(Token));
}

} // namespace skylarkdyke::operators
