#ifndef SKYLARKDYKE_CONFIG_HOLDER_HPP
#define SKYLARKDYKE_CONFIG_HOLDER_HPP

#include "skylarkdyke/config/document.hpp"

#include <memory>
#include <mutex>

namespace skylarkdyke::config {

/// \brief Outcome of document_holder::install().
enum class install_result {
  /// The document is now in force.
  Installed,
  /// Ignored: the document in force has the same version and content.
  SameVersion,
  /// Rejected: the document in force has a higher version.
  Older,
  /// Rejected: the document in force has the same version but different
  /// content.
  Conflicting
};

/// \brief Holds the document in force in this process, whose version never
/// decreases. Thread-safe.
class document_holder {
public:
  /// \brief Installs a document if its version is higher than the one in force.
  /// \param Document a decoded and validated document
  install_result install(document Document);

  /// \brief Returns the document in force, or null before the first
  /// installation.
  std::shared_ptr<const document> current() const;

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const document> Current;
};

} // namespace skylarkdyke::config

#endif
