#include "skylarkdyke/net/response_memory.hpp"

#include <algorithm>
#include <map>

namespace skylarkdyke::net {

response_memory::holding::holding(response_memory &Memory, base::endpoint Peer,
                                  std::function<void()> OnReclaim)
    : Memory(Memory), Peer(std::move(Peer)), OnReclaim(std::move(OnReclaim)) {}

void response_memory::holding::resize(std::size_t NewBytes) {
  if (NewBytes == Bytes)
    return;
  Memory.HeldBytes += NewBytes - Bytes;
  Bytes = NewBytes;
  if (Bytes == 0)
    Memory.Holdings.erase(this);
  else
    Memory.Holdings.insert(this);
  while (Memory.HeldBytes > Memory.Limit)
    Memory.reclaimLargest();
}

void response_memory::reclaimLargest() {
  std::map<base::endpoint, std::size_t> BytesOfPeer;
  for (const holding *Holding : Holdings)
    BytesOfPeer[Holding->Peer] += Holding->Bytes;
  holding *Largest = *std::max_element(
      Holdings.begin(), Holdings.end(),
      [&BytesOfPeer](const holding *Left, const holding *Right) {
        const std::size_t LeftPeer = BytesOfPeer[Left->Peer];
        const std::size_t RightPeer = BytesOfPeer[Right->Peer];
        return LeftPeer != RightPeer ? LeftPeer < RightPeer
                                     : Left->Bytes < Right->Bytes;
      });
  HeldBytes -= Largest->Bytes;
  Largest->Bytes = 0;
  Holdings.erase(Largest);
  Largest->OnReclaim();
}

} // namespace skylarkdyke::net
