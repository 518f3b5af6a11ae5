#ifndef SKYLARKDYKE_EMULATORS_FLOOD_HPP
#define SKYLARKDYKE_EMULATORS_FLOOD_HPP

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkdyke::emulators {

/// \brief Part of an answer that an emulated target sends without an end.
enum class flood_form {
  None,
  StatusLine,
  HeaderFields,
  /// Interim answers (1xx) that no final answer follows.
  InterimAnswers,
  /// A body without Content-Length.
  Body,
  ChunkedBody,
  ChunkSize,
  ChunkExtension,
  Trailers,
  /// A body whose Content-Length is far above every limit.
  AnnouncedBody,
  /// Bytes after a complete answer.
  AfterAnswer,
};

/// All forms, None included.
inline constexpr std::array AllFloodForms{
    flood_form::None,         flood_form::StatusLine,
    flood_form::HeaderFields, flood_form::InterimAnswers,
    flood_form::Body,         flood_form::ChunkedBody,
    flood_form::ChunkSize,    flood_form::ChunkExtension,
    flood_form::Trailers,     flood_form::AnnouncedBody,
    flood_form::AfterAnswer};

/// \brief Name of a form in the control port, in snake case.
const char *toString(flood_form Form);

/// \brief Form with a name, or nothing.
std::optional<flood_form> parseFloodForm(std::string_view Name);

/// \brief Bytes of a flood: the prefix once, then the unit again and again.
struct flood {
  std::string Prefix;
  std::string Unit;
  /// Wait after each unit; zero sends as fast as possible.
  std::chrono::microseconds Pause{0};
};

/// \brief Bytes of a form other than None.
/// \param RequestId repeated in the head, so that the answer belongs to its
/// request
flood makeFlood(flood_form Form, const std::string &RequestId,
                std::chrono::microseconds Pause);

} // namespace skylarkdyke::emulators

#endif
