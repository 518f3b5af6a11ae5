#ifndef SKYLARKDYKE_TESTS_SUPPORT_FAKE_ADMIN_ENTRY_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_FAKE_ADMIN_ENTRY_HPP

#include "skylarkdyke/http/server.hpp"
#include "skylarkdyke/operators/admin_service.hpp"

#include <optional>

namespace test_support {

/// \brief Entry behind the administration: keeps a document like a store that
/// always answers, and records what was asked of it.
struct fake_admin_entry {
  fake_admin_entry();

  /// \brief Functions that refer to this object.
  skylarkdyke::operators::dependencies functions();

  skylarkdyke::base::wall_time Now;
  skylarkdyke::base::boot_time BootNow{std::chrono::hours(1)};
  std::shared_ptr<const skylarkdyke::config::document> Document;
  /// Result of the next submissions; if unset, the version decides.
  std::optional<skylarkdyke::store::submit_result> Result;
  unsigned Submissions = 0;
  std::vector<skylarkdyke::entries::member> Members;
  std::vector<skylarkdyke::config::service_load> Loads;
  std::vector<skylarkdyke::caps::cap_state> CapStates;
  std::map<skylarkdyke::base::target_id, unsigned> SlotsInUse;
  std::optional<skylarkdyke::base::wall_time> StoreDownSince;
  std::vector<skylarkdyke::poison::blocked_request> Blocked;
  std::vector<skylarkdyke::operators::seat_status> Seats;
  skylarkdyke::store::write_result SeatResult;

private:
  skylarkdyke::store::submit_result
  submit(const skylarkdyke::config::document &Change, std::uint64_t Version,
         const skylarkdyke::base::operator_name &Operator);
};

/// \brief Administration port on a fake entry, with the operators ana (token
/// "secret") and bo (token "other").
struct fake_port {
  /// \brief Makes a request as an operator.
  /// \param Body for a console form, use post()
  skylarkdyke::http::response
  ask(const std::string &Method, const std::string &Target,
      const std::string &Body = "",
      skylarkdyke::http::header_map Headers = {}) const;

  /// \brief Opens a page of the console.
  std::string open(const std::string &Path) const;

  /// \brief Sends a form of the console.
  skylarkdyke::http::response
  post(const std::string &Path,
       std::map<std::string, std::string> Fields) const;

  /// \brief Sends a form with the operator's token and the version in force,
  /// as its page holds them.
  skylarkdyke::http::response
  fill(const std::string &Path,
       std::map<std::string, std::string> Fields) const;

  /// \brief Sends the form that a preview page holds.
  skylarkdyke::http::response
  confirm(const skylarkdyke::http::response &Preview) const;

  fake_admin_entry Entry;
  std::string User = "ana";
  std::string Token = "secret";
  std::shared_ptr<skylarkdyke::operators::admin_service> Service =
      makeService();

private:
  std::shared_ptr<skylarkdyke::operators::admin_service> makeService();
};

/// \brief Values of the hidden fields of a page, by name.
std::map<std::string, std::string> hiddenFields(const std::string &Html);

/// \brief Tells whether a text contains another one.
bool contains(const std::string &Text, const std::string &Part);

} // namespace test_support

#endif
