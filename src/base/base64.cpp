#include "skylarkdyke/base/base64.hpp"

#include <openssl/evp.h>

namespace skylarkdyke::base {

static const unsigned char *asUnsigned(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

std::string encodeBase64(std::string_view Bytes) {
  // EVP_EncodeBlock also writes a terminating zero byte.
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int Size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      asUnsigned(Bytes), static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Size));
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.size() % 4 != 0)
    return std::nullopt;
  std::string Bytes(Text.size() / 4 * 3 + 1, '\0');
  const int Size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      asUnsigned(Text), static_cast<int>(Text.size()));
  if (Size < 0)
    return std::nullopt;
  // EVP_DecodeBlock decodes padding characters to zero bytes and counts them.
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(static_cast<std::size_t>(Size) - Padding);
  return Bytes;
}

} // namespace skylarkdyke::base
