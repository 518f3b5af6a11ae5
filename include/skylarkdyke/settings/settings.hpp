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

/// \brief An operator who may use the administration port.
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
  /// Address that lookups name.
  base::endpoint CallerAddress;
  /// Address to bind for callers; CallerAddress unless callers reach it
  /// through an address translation.
  base::endpoint CallerListen;
  base::endpoint AdminAddress;
  /// Address that other entries dial.
  base::endpoint PeerAddress;
  /// Address to bind for other entries; PeerAddress unless set.
  base::endpoint PeerListen;
  base::endpoint Store;
  /// The platform's list of instances, by peer address; Store unless set.
  base::endpoint Platform;
  /// Peer addresses of other entries, for a start without the platform's list.
  std::vector<base::endpoint> Seeds;
  /// Without any operator the administration port refuses everything.
  std::vector<operator_settings> Operators;
};

/// \brief Parses and checks the TOML settings of an entry.
/// \param Text contents of the file
/// \param FileName name for the places of findings
/// \return the settings, or all findings with file, line and key
base::result<entry_settings, base::findings>
parseEntrySettings(std::string_view Text, const std::string &FileName);

} // namespace skylarkdyke::settings

#endif
