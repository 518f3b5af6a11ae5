#include "skylarkdyke/entries/failure_detector.hpp"

#include <map>

namespace skylarkdyke::entries {

namespace {

class timeout_detector : public failure_detector {
public:
  explicit timeout_detector(std::chrono::milliseconds Timeout)
      : Timeout(Timeout) {}

  void heartbeat(base::incarnation_id Member, base::boot_time Now) override {
    Deadlines[Member] = Now + Timeout;
  }

  void forget(base::incarnation_id Member) override { Deadlines.erase(Member); }

  bool suspects(base::incarnation_id Member,
                base::boot_time Now) const override {
    const auto Found = Deadlines.find(Member);
    return Found == Deadlines.end() || Now >= Found->second;
  }

private:
  std::chrono::milliseconds Timeout;
  std::map<base::incarnation_id, base::boot_time> Deadlines;
};

} // namespace

std::unique_ptr<failure_detector>
makeTimeoutDetector(std::chrono::milliseconds Timeout) {
  return std::make_unique<timeout_detector>(Timeout);
}

} // namespace skylarkdyke::entries
