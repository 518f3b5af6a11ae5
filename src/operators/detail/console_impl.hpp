#ifndef SKYLARKDYKE_OPERATORS_DETAIL_CONSOLE_IMPL_HPP
#define SKYLARKDYKE_OPERATORS_DETAIL_CONSOLE_IMPL_HPP

#include "operators/detail/actions.hpp"
#include "operators/detail/change.hpp"
#include "operators/detail/form.hpp"
#include "operators/detail/form_guard.hpp"
#include "operators/detail/pages.hpp"
#include "operators/detail/problem.hpp"
#include "skylarkdyke/config/submission.hpp"
#include "skylarkdyke/operators/console.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace skylarkdyke::operators {

/// Versions whose changes a conflict can name; as many as a document remembers
/// submissions.
inline constexpr std::size_t MaxRemembered = config::MaxRecentSubmissions;

namespace detail {

/// One request on its way through the console.
struct visit {
  const http::server_request &Request;
  const base::operator_name &Operator;

  const parameters &values() const { return Request.Parameters; }
};

/// \brief A page with a title and a body.
page makePage(std::string Title, html Body, int Status = 200);
/// \brief A page that explains an error.
page errorPage(problem_code Code, const std::string &Detail);
/// \brief The page for an entry without a configuration.
page noDocumentPage();

} // namespace detail

/// \brief Pages and forms of the console, one function for each.
struct console::impl {
  using page_handler = detail::page (impl::*)(const detail::visit &);
  using document_ptr = std::shared_ptr<const config::document>;

  explicit impl(const dependencies &Entry) : Entry(Entry) {}

  detail::page get(const detail::visit &Visit);
  detail::page post(const detail::visit &Visit);
  detail::page postForm(const detail::visit &Visit, const detail::form &Form);

  detail::page overview(const detail::visit &);
  detail::page headroomPage(const detail::visit &);
  detail::page inForce(const detail::visit &Visit);
  detail::page submission(const detail::visit &Visit);
  detail::page blocked(const detail::visit &Visit);
  detail::page seats(const detail::visit &Visit);
  detail::page drainForm(const detail::visit &Visit);
  detail::page documentForm(const detail::visit &Visit);

  detail::page postDrain(const detail::visit &Visit);
  detail::page postDocument(const detail::visit &Visit);
  detail::page submit(const detail::visit &Visit);
  detail::page release(const detail::visit &Visit);
  detail::page destroyed(const detail::visit &Visit);

  detail::page formPage(const detail::visit &Visit, const detail::form &Form,
                        const config::document &Document,
                        const base::findings &Findings);
  detail::page drainPage(const detail::visit &Visit,
                         const config::document &Document,
                         const base::findings &Findings);
  detail::page documentPage(const detail::visit &Visit, std::uint64_t Version,
                            const std::string &Text,
                            const base::findings &Findings);
  detail::page previewPage(const detail::visit &Visit,
                           const detail::previewed_change &Change);
  std::optional<detail::page> conflictPage(const detail::visit &Visit);

  detail::page resultPage(const detail::visit &Visit,
                          const detail::previewed_change &Change,
                          const store::submit_result &Result);

  detail::html formHead(const detail::visit &Visit, const std::string &Path,
                        std::uint64_t Version) const;

  /// The document in force, remembered for later conflicts.
  document_ptr current();
  document_ptr recall(std::uint64_t Version);

  const dependencies &Entry;
  detail::form_guard Guard;
  std::mutex Mutex;
  std::map<std::uint64_t, document_ptr> Remembered;
};

} // namespace skylarkdyke::operators

#endif
