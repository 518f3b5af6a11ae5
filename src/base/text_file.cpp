#include "skylarkdyke/base/text_file.hpp"

#include <fstream>
#include <sstream>

namespace skylarkdyke::base {

result<std::string, findings> readTextFile(const std::string &FileName) {
  std::ifstream File(FileName);
  if (!File)
    return findings{{FileName, "cannot be read"}};
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace skylarkdyke::base
