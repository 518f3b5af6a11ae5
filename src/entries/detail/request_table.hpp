#ifndef SKYLARKDYKE_ENTRIES_DETAIL_REQUEST_TABLE_HPP
#define SKYLARKDYKE_ENTRIES_DETAIL_REQUEST_TABLE_HPP

#include "skylarkdyke/entries/mesh.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace skylarkdyke::entries::detail {

/// \brief Table of requests that wait for their replies. Thread-safe.
class request_table {
public:
  /// \param MaxPending maximum number of pending requests
  explicit request_table(std::size_t MaxPending);

  /// \brief Adds a request to a member.
  /// \return its id, or nothing if the table is full or closed
  std::optional<std::uint64_t> begin(base::incarnation_id To);

  /// \brief Waits for the reply and removes the request.
  /// \return the reply, or nothing after the deadline or after fail()
  std::optional<reply_message> wait(std::uint64_t Id, base::boot_time Deadline);

  /// \brief Completes a request with its reply.
  /// \return false if no request to this member with this id is pending
  bool resolve(base::incarnation_id From, std::uint64_t Id,
               const reply_message &Reply);

  /// \brief Ends one request without a reply.
  void fail(std::uint64_t Id);

  /// \brief Ends all requests to a member without a reply.
  void failMember(base::incarnation_id To);

  /// \brief Ends all requests, and refuses new ones.
  void close();

private:
  struct pending_request {
    base::incarnation_id To;
    bool Done = false;
    std::optional<reply_message> Reply;
    /// One per request, so that a reply wakes only the thread that waits for
    /// it.
    std::condition_variable Completed;
  };

  /// Ends the requests that match, without a reply.
  template <typename Predicate> void failIf(Predicate Matches);

  const std::size_t MaxPending;
  std::mutex Mutex;
  std::map<std::uint64_t, pending_request> Pending;
  std::uint64_t NextId;
  bool Closed = false;
};

} // namespace skylarkdyke::entries::detail

#endif
