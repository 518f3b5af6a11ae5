#include "operators/detail/html.hpp"

#include "operators/detail/digest.hpp"
#include "skylarkdyke/base/base64.hpp"

#include <array>
#include <cmath>
#include <cstdio>

namespace skylarkdyke::operators::detail {

std::string escapeHtml(const std::string &Text) {
  std::string Escaped;
  Escaped.reserve(Text.size());
  for (const char Character : Text) {
    switch (Character) {
    case '&':
      Escaped += "&amp;";
      break;
    case '<':
      Escaped += "&lt;";
      break;
    case '>':
      Escaped += "&gt;";
      break;
    case '"':
      Escaped += "&quot;";
      break;
    case '\'':
      Escaped += "&#39;";
      break;
    default:
      Escaped += Character;
    }
  }
  return Escaped;
}

// Markup and the policy's hash use the same literal, so that they agree.
#define SKYLARKDYKE_CONSOLE_STYLE                                              \
  "body{font:16px/1.4 sans-serif;margin:0 auto;max-width:72em;padding:0 1em}"  \
  "nav a{margin-right:1em}table{border-collapse:collapse;margin:.5em 0}"       \
  "th,td{border:1px solid #999;padding:.25em .5em;text-align:left;"            \
  "vertical-align:top}textarea{width:100%;height:30em;font-family:monospace}"  \
  ".alarm,.bad{border-left:.5em solid #b00;background:#fee;padding:.5em}"      \
  ".good{border-left:.5em solid #070;background:#efe;padding:.5em}"            \
  ".wait{border-left:.5em solid #a60;background:#fff3d6;padding:.5em}"         \
  ".finding{color:#b00;display:block}.help{color:#555;display:block}"          \
  "button{font-size:1em;padding:.4em 1em}"

static const std::string &contentPolicy() {
  static const std::string Policy =
      "default-src 'none'; style-src 'sha256-" +
      base::encodeBase64(sha256(SKYLARKDYKE_CONSOLE_STYLE)) +
      "'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'";
  return Policy;
}

static html head(const page &Page) {
  html Head;
  Head << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">";
  if (!Page.RefreshPath.empty())
    Head << "<meta http-equiv=\"refresh\" content=\"" << RefreshAfterSeconds
         << ";url=" << Page.RefreshPath << "\">";
  Head << "<title>" << Page.Title
       << " - skylarkdyke</title><style>" SKYLARKDYKE_CONSOLE_STYLE
          "</style></head>\n<body><nav>"
          "<a href=\"/console\">Overview</a>"
          "<a href=\"/console/headroom\">Headroom</a>"
          "<a href=\"/console/drain\">Drain or return</a>"
          "<a href=\"/console/caps\">Caps</a>"
          "<a href=\"/console/shift\">Shift cap</a>"
          "<a href=\"/console/services\">Services</a>"
          "<a href=\"/console/targets\">Targets</a>"
          "<a href=\"/console/links\">Links</a>"
          "<a href=\"/console/document\">Whole document</a>"
          "<a href=\"/console/poisoned\">Blocked requests</a>"
          "<a href=\"/console/seats\">Seats</a></nav>\n";
  return Head;
}

http::response render(const page &Page) {
  html Text = head(Page);
  Text << "<h1>" << Page.Title << "</h1>\n"
       << Page.Body << "<p class=\"help\">You are " << Page.Operator
       << ".</p></body></html>\n";
  http::response Response;
  Response.Status = Page.Status;
  Response.Headers["Content-Type"] = "text/html; charset=utf-8";
  Response.Headers["Cache-Control"] = "no-store";
  Response.Headers["Content-Security-Policy"] = contentPolicy();
  Response.Headers["X-Content-Type-Options"] = "nosniff";
  Response.Headers["Referrer-Policy"] = "no-referrer";
  Response.Body = Text.str();
  return Response;
}

static std::string formatNumber(const char *Format, double Value) {
  std::array<char, 64> Text{};
  std::snprintf(Text.data(), Text.size(), Format, Value);
  return Text.data();
}

std::string formatRequests(double PerSecond) {
  return formatNumber(PerSecond < 10 ? "%.1f requests/s" : "%.0f requests/s",
                      PerSecond);
}

std::string formatBits(double PerSecond) {
  if (PerSecond >= 1e9)
    return formatNumber("%.2f Gbit/s", PerSecond / 1e9);
  if (PerSecond >= 1e6)
    return formatNumber("%.2f Mbit/s", PerSecond / 1e6);
  return formatNumber("%.1f kbit/s", PerSecond / 1e3);
}

std::string formatPercent(double Part) {
  return formatNumber("%.0f%%", Part * 100);
}

} // namespace skylarkdyke::operators::detail
