#include "skylarkdyke/base/percent_encoding.hpp"

namespace skylarkdyke::base {

static constexpr std::string_view PlainPunctuation = "-._~:@/";
static constexpr std::string_view HexDigits = "0123456789ABCDEF";

bool isPlainUriCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') ||
         PlainPunctuation.find(Character) != std::string_view::npos;
}

std::string encodePercent(std::string_view Text) {
  std::string Encoded;
  for (const char Each : Text) {
    if (isPlainUriCharacter(Each)) {
      Encoded += Each;
      continue;
    }
    const auto Byte = static_cast<unsigned char>(Each);
    Encoded += '%';
    Encoded += HexDigits[Byte >> 4U];
    Encoded += HexDigits[Byte & 0xfU];
  }
  return Encoded;
}

static int hexValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  if (Digit >= 'A' && Digit <= 'F')
    return Digit - 'A' + 10;
  return -1;
}

std::string decodePercent(std::string_view Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const bool Escaped = Text[I] == '%' && I + 2 < Text.size() &&
                         hexValue(Text[I + 1]) >= 0 &&
                         hexValue(Text[I + 2]) >= 0;
    if (!Escaped) {
      Decoded += Text[I];
      continue;
    }
    Decoded +=
        static_cast<char>(hexValue(Text[I + 1]) * 16 + hexValue(Text[I + 2]));
    I += 2;
  }
  return Decoded;
}

} // namespace skylarkdyke::base
