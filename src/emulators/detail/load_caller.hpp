#ifndef SKYLARKDYKE_EMULATORS_DETAIL_LOAD_CALLER_HPP
#define SKYLARKDYKE_EMULATORS_DETAIL_LOAD_CALLER_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/emulators/load_generator.hpp"
#include "skylarkdyke/targets/connection_pool.hpp"

#include <map>

namespace skylarkdyke::emulators::detail {

/// \brief One caller: looks up entries, keeps the answer until it expires, and
/// sends requests to the first entry that takes them. One thread only.
class load_caller {
public:
  load_caller(const load_options &Options, const load_stream &Stream);

  /// \brief Sends one request until it has an outcome.
  /// \param Path unique path at the target
  /// \param Arrival instant from which the deadline counts
  load_record run(const std::string &Path, bool IsSafe,
                  base::boot_time Arrival);

private:
  struct named_entry {
    base::endpoint Address;
    std::string KeyPrefix;
  };
  struct lookup_result {
    std::vector<named_entry> Entries;
    base::wall_time ExpiresAt;
  };
  /// What became of one attempt.
  enum class attempt_end { Final, TryNext, Repeat };

  std::optional<lookup_result> lookUpAt(const base::endpoint &Entry);
  std::vector<base::endpoint> entries();
  std::optional<std::string> prefixOf(const base::endpoint &Entry);
  void runSafe(load_record &Record, base::boot_time Arrival);
  void runKeyed(load_record &Record, base::boot_time Arrival);
  void repeat(load_record &Record, const std::string &Key,
              base::boot_time Arrival);
  attempt_end send(load_record &Record, const base::endpoint &Entry,
                   const std::string &Path, const std::string &Key,
                   base::boot_time Arrival);
  attempt_end judge(load_record &Record, const std::string &Path,
                    const std::string &Key, const http::response &Answer);

  const load_options &Options;
  const load_stream &Stream;
  targets::connection_pool Pool;
  lookup_result Known;
  std::map<base::endpoint, lookup_result> Prefixes;
};

} // namespace skylarkdyke::emulators::detail

#endif
