#ifndef SKYLARKDYKE_NET_DETAIL_HEAD_SCANNER_HPP
#define SKYLARKDYKE_NET_DETAIL_HEAD_SCANNER_HPP

#include <string_view>

namespace skylarkdyke::net::detail {

/// \brief Looks for lines that begin with a blank or a tab in the head of a
/// response, as its bytes arrive.
///
/// They continue the line before (obsolete line folding), or name a field that
/// begins with a blank. The parser joins them with the line before, so that a
/// line which was meant as a field would become part of the value of another
/// one.
class head_scanner {
public:
  /// \brief Scans the next bytes; those behind the head are ignored.
  /// \return false once a line begins with a blank or a tab
  bool scan(std::string_view Bytes);

private:
  bool AtLineStart = false;
  bool Ended = false;
};

} // namespace skylarkdyke::net::detail

#endif
