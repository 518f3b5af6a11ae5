#include "skylarkdyke/base/finding.hpp"

namespace skylarkdyke::base {

std::string toString(const findings &Findings) {
  std::string Text;
  for (const finding &Finding : Findings)
    Text += Finding.Location + ": " + Finding.Reason + "\n";
  return Text;
}

} // namespace skylarkdyke::base
