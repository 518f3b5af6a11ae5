#ifndef SKYLARKDYKE_BASE_STORE_VERSION_HPP
#define SKYLARKDYKE_BASE_STORE_VERSION_HPP

#include <cstdint>
#include <string>
#include <tuple>

namespace skylarkdyke::base {

/// \brief A point in the history of the store. Each change has a greater
/// revision than the one before it, until the store is restored from a copy:
/// then the next era begins, in which revisions are given out again. Revisions
/// of different eras must not be compared.
struct store_version {
  /// Zero if the store does not state it.
  std::uint64_t Era = 0;
  std::uint64_t Revision = 0;
};

inline bool operator==(const store_version &Left, const store_version &Right) {
  return Left.Era == Right.Era && Left.Revision == Right.Revision;
}
inline bool operator!=(const store_version &Left, const store_version &Right) {
  return !(Left == Right);
}
/// \return whether a point lies before another one
inline bool operator<(const store_version &Left, const store_version &Right) {
  return std::tie(Left.Era, Left.Revision) <
         std::tie(Right.Era, Right.Revision);
}
inline bool operator>(const store_version &Left, const store_version &Right) {
  return Right < Left;
}
inline bool operator<=(const store_version &Left, const store_version &Right) {
  return !(Right < Left);
}
inline bool operator>=(const store_version &Left, const store_version &Right) {
  return !(Left < Right);
}

/// \return a version as "ERA.REVISION"
inline std::string toString(const store_version &Version) {
  return std::to_string(Version.Era) + '.' + std::to_string(Version.Revision);
}

} // namespace skylarkdyke::base

#endif
