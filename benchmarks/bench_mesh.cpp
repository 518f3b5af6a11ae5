// Control traffic, CPU time and memory of meshes of several sizes within one
// process. Prints one line per size and the linear fit over the number of
// peers.

#include "skylarkdyke/entries/mesh.hpp"

#include <arpa/inet.h>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <malloc.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

DEFINE_string(sizes, "5,10,20,40", "numbers of meshes");
DEFINE_int32(seconds, 10, "length of each measurement");
DEFINE_int32(services, 4, "services in the load part of heartbeats");

using namespace skylarkdyke;
using namespace std::chrono_literals;

namespace {

struct usage {
  double CpuSeconds = 0;
  double ResidentKilobytes = 0;
};

struct traffic {
  double Bytes = 0;
  double Messages = 0;
};

/// Per member.
struct sample {
  double Peers = 0;
  double BytesPerSecond = 0;
  double MessagesPerSecond = 0;
  double CpuPercent = 0;
  double Kilobytes = 0;
};

using meshes = std::vector<std::unique_ptr<entries::mesh>>;

usage readUsage() {
  rusage Raw{};
  getrusage(RUSAGE_SELF, &Raw);
  const auto Seconds = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) +
           static_cast<double>(Time.tv_usec) / 1e6;
  };
  std::ifstream Statm("/proc/self/statm");
  double Total = 0;
  double Resident = 0;
  Statm >> Total >> Resident;
  return {Seconds(Raw.ru_utime) + Seconds(Raw.ru_stime),
          Resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024};
}

traffic sentBy(const meshes &Meshes) {
  traffic Sum;
  for (const auto &Mesh : Meshes)
    for (const entries::type_counters &Type : Mesh->counters().Types) {
      Sum.Bytes += static_cast<double>(Type.BytesOut);
      Sum.Messages += static_cast<double>(Type.MessagesOut);
    }
  return Sum;
}

std::uint16_t freePort() {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  const bool Bound = bind(Socket, Generic, Size) == 0 &&
                     getsockname(Socket, Generic, &Size) == 0;
  close(Socket);
  if (!Bound)
    LOG(FATAL) << "no free port";
  return ntohs(Address.sin_port);
}

meshes startMeshes(int Count) {
  meshes Meshes;
  std::vector<entries::service_load> Loads;
  Loads.reserve(static_cast<std::size_t>(FLAGS_services));
  for (int Index = 0; Index < FLAGS_services; ++Index)
    Loads.push_back(
        {base::service_name("service-" + std::to_string(Index)), 20, 3});
  base::endpoint Seed;
  for (int Index = 0; Index < Count; ++Index) {
    entries::mesh_settings Settings;
    Settings.Self.Name = base::entry_name("entry-" + std::to_string(Index));
    Settings.Self.Incarnation = base::generateIncarnation();
    Settings.Self.Region = base::region_name("mazowsze");
    Settings.Self.Domain = base::domain_name("maz-a");
    Settings.Self.CallerAddress = {"127.0.0.1", 1};
    Settings.Self.PeerAddress = {"127.0.0.1", freePort()};
    if (Index == 0)
      Seed = Settings.Self.PeerAddress;
    Settings.Seeds = {Seed};
    Meshes.push_back(std::make_unique<entries::mesh>(Settings));
    Meshes.back()->setLoads(Loads);
    if (!Meshes.back()->start())
      LOG(FATAL) << "cannot bind a port";
  }
  return Meshes;
}

/// Returns the seconds until all members reach all others.
double awaitFullMesh(const meshes &Meshes) {
  const auto Start = base::boot_clock::now();
  for (const auto &Mesh : Meshes)
    for (;;) {
      std::size_t Reachable = 0;
      for (const entries::member &Each : Mesh->members())
        Reachable += Each.Reachable ? 1 : 0;
      if (Reachable == Meshes.size() - 1)
        break;
      if (base::boot_clock::now() - Start > 60s)
        LOG(FATAL) << "no full mesh after 60 s";
      std::this_thread::sleep_for(10ms);
    }
  return std::chrono::duration<double>(base::boot_clock::now() - Start).count();
}

sample measure(int Count) {
  malloc_trim(0);
  const usage Empty = readUsage();
  const meshes Meshes = startMeshes(Count);
  const double Formed = awaitFullMesh(Meshes);
  std::this_thread::sleep_for(2s);
  const usage Before = readUsage();
  const traffic SentBefore = sentBy(Meshes);
  const auto Start = base::boot_clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
  const usage After = readUsage();
  const traffic SentAfter = sentBy(Meshes);
  const double Seconds =
      std::chrono::duration<double>(base::boot_clock::now() - Start).count();
  const double Share = 1.0 / (Seconds * Count);
  const sample Sample{Count - 1.0, (SentAfter.Bytes - SentBefore.Bytes) * Share,
                      (SentAfter.Messages - SentBefore.Messages) * Share,
                      (After.CpuSeconds - Before.CpuSeconds) * Share * 100,
                      (After.ResidentKilobytes - Empty.ResidentKilobytes) /
                          Count};
  std::printf("%8d %10.2f %12.0f %12.1f %10.3f %12.0f\n", Count, Formed,
              Sample.BytesPerSecond, Sample.MessagesPerSecond,
              Sample.CpuPercent, Sample.Kilobytes);
  std::fflush(stdout);
  return Sample;
}

/// Least squares; prints the value at no peer and the increase per peer.
void printFit(const char *Name, const std::vector<sample> &Samples,
              double sample::*Value) {
  double SumX = 0;
  double SumY = 0;
  double SumXx = 0;
  double SumXy = 0;
  for (const sample &Each : Samples) {
    SumX += Each.Peers;
    SumY += Each.*Value;
    SumXx += Each.Peers * Each.Peers;
    SumXy += Each.Peers * Each.*Value;
  }
  const auto Count = static_cast<double>(Samples.size());
  const double Slope =
      (Count * SumXy - SumX * SumY) / (Count * SumXx - SumX * SumX);
  std::printf("%-12s %10.3f + %.4f per peer\n", Name,
              (SumY - Slope * SumX) / Count, Slope);
}

} // namespace

int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  FLAGS_minloglevel = google::GLOG_ERROR;
  google::InitGoogleLogging(Args[0]);
  std::printf("%8s %10s %12s %12s %10s %12s\n", "members", "formed s",
              "bytes/s", "messages/s", "CPU %", "memory kB");
  std::vector<sample> Samples;
  std::string Rest = FLAGS_sizes;
  while (!Rest.empty()) {
    const std::size_t Comma = Rest.find(',');
    Samples.push_back(measure(std::stoi(Rest.substr(0, Comma))));
    Rest = Comma == std::string::npos ? "" : Rest.substr(Comma + 1);
  }
  if (Samples.size() < 2)
    return 0;
  printFit("bytes/s", Samples, &sample::BytesPerSecond);
  printFit("messages/s", Samples, &sample::MessagesPerSecond);
  printFit("CPU %", Samples, &sample::CpuPercent);
  printFit("memory kB", Samples, &sample::Kilobytes);
  return 0;
}
