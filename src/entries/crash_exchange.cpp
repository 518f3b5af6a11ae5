#include "skylarkdyke/entries/crash_exchange.hpp"

#include <algorithm>
#include <boost/circular_buffer.hpp>
#include <mutex>

namespace skylarkdyke::entries {

/// Bounds what a joining member is sent by each peer to about 100 kB.
static constexpr std::size_t MaxRecent = 256;

struct crash_exchange::impl {
  impl(mesh &Mesh, receiver Receive)
      : Mesh(Mesh), Receive(std::move(Receive)), Recent(MaxRecent) {}

  bool remember(const poison::crash_report &Report);
  std::vector<poison::crash_report> recent();

  mesh &Mesh;
  receiver Receive;
  std::mutex Mutex;
  boost::circular_buffer<poison::crash_report> Recent;
};

/// Returns false if the report is known.
bool crash_exchange::impl::remember(const poison::crash_report &Report) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool Known =
      std::any_of(Recent.begin(), Recent.end(), [&](const auto &Each) {
        return Each.ReportId == Report.ReportId;
      });
  if (!Known)
    Recent.push_back(Report);
  return !Known;
}

std::vector<poison::crash_report> crash_exchange::impl::recent() {
  const auto Oldest = std::chrono::system_clock::now() - poison::BlockLength;
  std::vector<poison::crash_report> Reports;
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::copy_if(Recent.begin(), Recent.end(), std::back_inserter(Reports),
               [&](const auto &Each) { return Each.At >= Oldest; });
  return Reports;
}

crash_exchange::crash_exchange(mesh &Mesh, receiver Receive)
    : Impl(std::make_unique<impl>(Mesh, std::move(Receive))) {
  impl &Exchange = *Impl;
  Mesh.onMember([&Exchange](const member &Member, bool Joined) {
    if (!Joined)
      return;
    for (const poison::crash_report &Report : Exchange.recent())
      Exchange.Mesh.send(Member.Incarnation, Report);
  });
  Mesh.onMessage<poison::crash_report>(
      [&Exchange](const member &, const poison::crash_report &Report) {
        if (Exchange.remember(Report) && Exchange.Receive)
          Exchange.Receive(Report);
      });
}

crash_exchange::~crash_exchange() = default;

void crash_exchange::report(const poison::crash_report &Report) {
  Impl->remember(Report);
  Impl->Mesh.broadcast(Report);
}

} // namespace skylarkdyke::entries
