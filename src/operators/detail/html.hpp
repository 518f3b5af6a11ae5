#ifndef SKYLARKDYKE_OPERATORS_DETAIL_HTML_HPP
#define SKYLARKDYKE_OPERATORS_DETAIL_HTML_HPP

#include "skylarkdyke/http/message.hpp"

#include <cstddef>
#include <string>
#include <type_traits>

namespace skylarkdyke::operators::detail {

/// \brief Escapes text for element content and for quoted attributes.
std::string escapeHtml(const std::string &Text);

/// \brief A piece of HTML. String literals are markup; every other text that is
/// appended is escaped, so no value can become markup by mistake.
class html {
public:
  template <std::size_t Size> html &operator<<(const char (&Markup)[Size]) {
    Text.append(Markup, Size - 1);
    return *this;
  }
  html &operator<<(const std::string &Value) {
    Text += escapeHtml(Value);
    return *this;
  }
  html &operator<<(const html &Piece) {
    Text += Piece.Text;
    return *this;
  }
  template <typename Number,
            typename = std::enable_if_t<std::is_integral_v<Number>>>
  html &operator<<(Number Value) {
    Text += std::to_string(Value);
    return *this;
  }

  const std::string &str() const noexcept { return Text; }
  bool empty() const noexcept { return Text.empty(); }

private:
  std::string Text;
};

/// \brief Frame of a page.
struct page {
  int Status = 200;
  std::string Title;
  std::string Operator;
  html Body;
  /// Path to load after RefreshAfter, for pages that wait for something; empty:
  /// none.
  std::string RefreshPath;
};

/// Pause before a page that waits is loaded again. A version is in force
/// everywhere within 5 s.
inline constexpr int RefreshAfterSeconds = 2;

/// \brief Renders a page with menu and security headers.
http::response render(const page &Page);

/// \brief Formats requests per second, such as "120 requests/s".
std::string formatRequests(double PerSecond);

/// \brief Formats bits per second, such as "1.20 Gbit/s".
std::string formatBits(double PerSecond);

/// \brief Formats a part of a whole, such as "45%".
std::string formatPercent(double Part);

} // namespace skylarkdyke::operators::detail

#endif
