#ifndef SKYLARKDYKE_OPERATORS_CONSOLE_HPP
#define SKYLARKDYKE_OPERATORS_CONSOLE_HPP

#include "skylarkdyke/http/server.hpp"
#include "skylarkdyke/operators/dependencies.hpp"

#include <cstddef>
#include <memory>

namespace skylarkdyke::operators {

/// Largest body of a form without a whole document.
inline constexpr std::size_t MaxSmallFormBytes = std::size_t{64} * 1024;
/// Largest body of a form with a whole document: a document of 1,000,000 bytes
/// in which each character is percent-encoded, and the other fields.
inline constexpr std::size_t MaxFormBytes =
    3 * config::MaxDocumentBytes + MaxSmallFormBytes;

/// \brief The operators' pages under /console: server-rendered HTML without
/// scripts. Thread-safe.
///
/// Every form leads to a preview, and only the preview can be submitted: it
/// carries the new document with an authentication code over document, version
/// and operator. Codes are made with a random key of this process, so a form
/// that another entry sent, or this one before a restart, is refused.
class console {
public:
  /// \param Entry functions of the entry; outlives the console
  explicit console(const dependencies &Entry);
  ~console();

  /// \brief Answers one request of an authenticated operator.
  http::response handle(const http::server_request &Request,
                        const base::operator_name &Operator);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::operators

#endif
