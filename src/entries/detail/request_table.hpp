#ifndef SKYLARKDYKE_ENTRIES_DETAIL_REQUEST_TABLE_HPP
#define SKYLARKDYKE_ENTRIES_DETAIL_REQUEST_TABLE_HPP

#include "skylarkdyke/entries/mesh.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace skylarkdyke::entries::detail {

/// \brief Requests that wait for their replies. Thread-safe.
class request_table {
public:
  /// \param MaxWaiting largest number of waiting requests
  explicit request_table(std::size_t MaxWaiting);

  /// \brief Starts a request.
  /// \return its id, or nothing if too many are waiting
  std::optional<std::uint64_t> begin(base::incarnation_id To);

  /// \brief Waits for the reply and ends the request.
  /// \return the reply, or nothing at the deadline or after fail()
  std::optional<reply_message> wait(std::uint64_t Id, base::boot_time Deadline);

  /// \brief Hands a reply to its request.
  /// \return false if no request waits for it from this member
  bool resolve(base::incarnation_id From, std::uint64_t Id,
               const reply_message &Reply);

  /// \brief Ends one request without a reply.
  void fail(std::uint64_t Id);

  /// \brief Ends all requests to a member without a reply.
  void failMember(base::incarnation_id To);

  /// \brief Ends all requests, and refuses new ones.
  void close();

private:
  struct waiting {
    base::incarnation_id To;
    bool Done = false;
    std::optional<reply_message> Reply;
    /// One per request, so that a reply wakes only its own thread.
    std::condition_variable Changed;
  };

  template <typename Predicate> void failIf(Predicate Matches);

  const std::size_t MaxWaiting;
  std::mutex Mutex;
  std::map<std::uint64_t, waiting> Waiting;
  std::uint64_t NextId;
  bool Closed = false;
};

} // namespace skylarkdyke::entries::detail

#endif
