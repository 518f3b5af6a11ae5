#include "net/detail/head_scanner.hpp"

namespace skylarkdyke::net::detail {

bool head_scanner::scan(std::string_view Bytes) {
  for (const char Byte : Bytes) {
    if (Ended)
      return true;
    if (AtLineStart && (Byte == ' ' || Byte == '\t'))
      return false;
    // The parser accepts an empty line with a carriage return only.
    Ended = AtLineStart && Byte == '\r';
    AtLineStart = Byte == '\n';
  }
  return true;
}

} // namespace skylarkdyke::net::detail
