#include "skylarkdyke/config/holder.hpp"

#include "skylarkdyke/config/codec.hpp"

namespace skylarkdyke::config {

install_result document_holder::install(document Document) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Current && Document.Version < Current->Version)
    return install_result::Older;
  if (Current && Document.Version == Current->Version)
    return encode(Document) == encode(*Current) ? install_result::SameVersion
                                                : install_result::Conflicting;
  Current = std::make_shared<const document>(std::move(Document));
  return install_result::Installed;
}

std::shared_ptr<const document> document_holder::current() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Current;
}

} // namespace skylarkdyke::config
