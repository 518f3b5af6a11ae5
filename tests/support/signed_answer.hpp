#ifndef SKYLARKDYKE_TESTS_SUPPORT_SIGNED_ANSWER_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_SIGNED_ANSWER_HPP

#include "support/joined.hpp"
#include "support/scripted_target.hpp"

#include <string>

namespace test_support {

inline constexpr const char *StatusOk = "HTTP/1.1 200 OK\r\n";

/// \brief Lines that sign an answer and name its request.
inline std::string signedLines(const scripted_request &Request) {
  return joined({"Skylarkdyke-Response-Signature: signed\r\n"
                 "Skylarkdyke-Request-Id: ",
                 Request.requestId(), "\r\n"});
}

/// \brief End of a head that states the length of a body, and the body.
inline std::string withLength(const std::string &Body) {
  return joined(
      {"Content-Length: ", std::to_string(Body.size()), "\r\n\r\n", Body});
}

/// \brief Whole answer of a target.
inline std::string signedAnswer(const scripted_request &Request) {
  return joined({StatusOk, signedLines(Request),
                 withLength("answer to " + Request.path())});
}

} // namespace test_support

#endif
