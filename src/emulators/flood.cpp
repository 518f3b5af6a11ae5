#include "skylarkdyke/emulators/flood.hpp"

#include <algorithm>

namespace skylarkdyke::emulators {

/// Size of a unit that is sent without a pause, in bytes.
static constexpr std::size_t UnitBytes = 4096;

const char *toString(flood_form Form) {
  switch (Form) {
  case flood_form::None:
    return "none";
  case flood_form::StatusLine:
    return "status_line";
  case flood_form::HeaderFields:
    return "header_fields";
  case flood_form::InterimAnswers:
    return "interim_answers";
  case flood_form::Body:
    return "body";
  case flood_form::ChunkedBody:
    return "chunked_body";
  case flood_form::ChunkSize:
    return "chunk_size";
  case flood_form::ChunkExtension:
    return "chunk_extension";
  case flood_form::Trailers:
    return "trailers";
  case flood_form::AnnouncedBody:
    return "announced_body";
  case flood_form::AfterAnswer:
    return "after_answer";
  }
  return "none";
}

std::optional<flood_form> parseFloodForm(std::string_view Name) {
  const auto *Found =
      std::find_if(AllFloodForms.begin(), AllFloodForms.end(),
                   [Name](flood_form Form) { return toString(Form) == Name; });
  return Found == AllFloodForms.end() ? std::nullopt : std::optional(*Found);
}

flood makeFlood(flood_form Form, const std::string &RequestId,
                std::chrono::microseconds Pause) {
  const std::string Head =
      "HTTP/1.1 200 OK\r\nRequest-Id: " + RequestId + "\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  // With a pause the bytes come one unit at a time.
  const std::string Text(Pause.count() > 0 ? 1 : UnitBytes, 'a');
  switch (Form) {
  case flood_form::None:
    break;
  case flood_form::StatusLine:
    return {"HTTP/1.1 200 ", Text, Pause};
  case flood_form::HeaderFields:
    return {Head, "X-Field: a\r\n", Pause};
  case flood_form::InterimAnswers:
    return {"", "HTTP/1.1 100 Continue\r\n\r\n", Pause};
  case flood_form::Body:
    return {Head + "Connection: close\r\n\r\n", Text, Pause};
  case flood_form::ChunkedBody:
    return {Chunked, "8\r\naaaaaaaa\r\n", Pause};
  case flood_form::ChunkSize:
    return {Chunked, std::string(Text.size(), '0'), Pause};
  case flood_form::ChunkExtension:
    return {Chunked + "8;name=", Text, Pause};
  case flood_form::Trailers:
    return {Chunked + "0\r\n", "X-Field: a\r\n", Pause};
  case flood_form::AnnouncedBody:
    return {Head + "Content-Length: 1000000000000\r\n\r\n", Text, Pause};
  case flood_form::AfterAnswer:
    return {Head + "Content-Length: 2\r\n\r\n{}", Text, Pause};
  }
  return {};
}

} // namespace skylarkdyke::emulators
