#include "skylarkdyke/entries/crash_exchange.hpp"

#include <algorithm>
#include <boost/circular_buffer.hpp>
#include <mutex>

namespace skylarkdyke::entries {

/// Maximum number of stored reports. It limits what each peer sends to a
/// joining member to about 100 kB.
static constexpr std::size_t MaxRecent = 256;

struct crash_exchange::impl {
  impl(mesh &Mesh, report_handler OnReport)
      : Mesh(Mesh), OnReport(std::move(OnReport)), Recent(MaxRecent) {}

  bool addRecent(const poison::crash_report &Report);
  std::vector<poison::crash_report> recentReports();

  mesh &Mesh;
  report_handler OnReport;
  std::mutex Mutex;
  boost::circular_buffer<poison::crash_report> Recent;
};

/// Stores a report. Returns false if it is already stored.
bool crash_exchange::impl::addRecent(const poison::crash_report &Report) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool IsStored =
      std::any_of(Recent.begin(), Recent.end(), [&](const auto &Stored) {
        return Stored.ReportId == Report.ReportId;
      });
  if (!IsStored)
    Recent.push_back(Report);
  return !IsStored;
}

/// Reports that are recent enough to block a request.
std::vector<poison::crash_report> crash_exchange::impl::recentReports() {
  const auto Oldest = std::chrono::system_clock::now() - poison::BlockDuration;
  std::vector<poison::crash_report> Reports;
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::copy_if(Recent.begin(), Recent.end(), std::back_inserter(Reports),
               [&](const auto &Report) { return Report.At >= Oldest; });
  return Reports;
}

crash_exchange::crash_exchange(mesh &Mesh, report_handler OnReport)
    : Impl(std::make_unique<impl>(Mesh, std::move(OnReport))) {
  impl &Exchange = *Impl;
  Mesh.onMemberChange([&Exchange](const member &Member, bool Joined) {
    if (!Joined)
      return;
    for (const poison::crash_report &Report : Exchange.recentReports())
      Exchange.Mesh.send(Member.Incarnation, Report);
  });
  Mesh.onMessage<poison::crash_report>(
      [&Exchange](const member &, const poison::crash_report &Report) {
        if (Exchange.addRecent(Report) && Exchange.OnReport)
          Exchange.OnReport(Report);
      });
}

crash_exchange::~crash_exchange() = default;

void crash_exchange::report(const poison::crash_report &Report) {
  Impl->addRecent(Report);
  Impl->Mesh.broadcast(Report);
}

} // namespace skylarkdyke::entries
