#ifndef SKYLARKDYKE_SETTINGS_SETTINGS_HPP
#define SKYLARKDYKE_SETTINGS_SETTINGS_HPP

#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/finding.hpp"
#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/base/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace skylarkdyke::settings {

/// \brief Credentials of an operator for the administration port.
struct operator_settings {
  base::operator_name Name;
  /// SHA-256 of the token as 64 lower-case hexadecimal digits.
  std::string TokenSha256;
};

/// \brief Settings of one entry process.
struct entry_settings {
  base::entry_name Name;
  base::region_name Region;
  base::domain_name Domain;
  /// Address that lookups return to callers.
  base::endpoint CallerAddress;
  /// Address to listen on for callers; defaults to CallerAddress. Differs from
  /// it only if callers connect through network address translation (NAT).
  base::endpoint CallerListen;
  /// Address to listen on for operators.
  base::endpoint AdminAddress;
  /// Address to which other entries connect.
  base::endpoint PeerAddress;
  /// Address to listen on for other entries; defaults to PeerAddress.
  base::endpoint PeerListen;
  /// Address of the store's HTTP API.
  base::endpoint Store;
  /// Address of the platform's HTTP API, which lists the instances by peer
  /// address; defaults to Store.
  base::endpoint Platform;
  /// Peer addresses of other entries, for a start while the platform's list is
  /// unavailable.
  std::vector<base::endpoint> Seeds;
  /// Operators of the administration port, which refuses all requests if there
  /// are none.
  std::vector<operator_settings> Operators;
};

/// \brief Parses and validates the TOML settings of an entry.
/// \param Text contents of the file
/// \param FileName file name to report in findings
/// \return the settings, or all findings with file, line and key
base::result<entry_settings, base::findings>
parseEntrySettings(std::string_view Text, const std::string &FileName);

} // namespace skylarkdyke::settings

#endif
