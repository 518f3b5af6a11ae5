#ifndef SKYLARKDYKE_BASE_TEXT_FILE_HPP
#define SKYLARKDYKE_BASE_TEXT_FILE_HPP

#include "skylarkdyke/base/finding.hpp"
#include "skylarkdyke/base/result.hpp"

#include <string>

namespace skylarkdyke::base {

/// \brief Reads a text file completely.
/// \return the contents, or a finding with the file name if it cannot be read
result<std::string, findings> readTextFile(const std::string &FileName);

} // namespace skylarkdyke::base

#endif
