#ifndef SKYLARKDYKE_CONFIG_HOLDER_HPP
#define SKYLARKDYKE_CONFIG_HOLDER_HPP

#include "skylarkdyke/config/document.hpp"

#include <memory>
#include <mutex>

namespace skylarkdyke::config {

/// \brief What became of a document that was offered for installation.
enum class install_result { Installed, SameVersion, Older, Conflicting };

/// \brief The document in force in this process. Its version only rises.
/// Thread-safe.
class holder {
public:
  /// \brief Installs a document if its version is higher than the one in force.
  /// \param Document a decoded and validated document
  install_result install(document Document);

  /// \brief The document in force, or null before the first installation.
  std::shared_ptr<const document> current() const;

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const document> Current;
};

} // namespace skylarkdyke::config

#endif
