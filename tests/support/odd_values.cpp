#include "support/odd_values.hpp"

#include <cstdint>
#include <limits>
#include <vector>

namespace test_support {

using nlohmann::json;

std::string nestedArrays(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

std::string nestedObjects(std::size_t Depth) {
  std::string Text;
  for (std::size_t I = 0; I < Depth; ++I)
    Text += "{\"a\":";
  return Text + "1" + std::string(Depth, '}');
}

std::string nestedCborArrays(std::size_t Depth) {
  return std::string(Depth, '\x81') + '\x00';
}

rc::Gen<json> anyValue(int Depth) {
  auto Leaf = rc::gen::oneOf(
      rc::gen::element<json>(
          nullptr, true, false, "", "10.0.0.1:70000", "10.0.0.1:80", "ready",
          1e300, -1e300, 1.5, -1, std::numeric_limits<std::int64_t>::min(),
          std::numeric_limits<std::int64_t>::max(),
          std::numeric_limits<std::uint64_t>::max(), 4294967300U),
      rc::gen::map(rc::gen::arbitrary<std::int64_t>(),
                   [](std::int64_t Number) { return json(Number); }),
      rc::gen::map(rc::gen::string<std::string>(),
                   [](std::string Text) { return json(std::move(Text)); }));
  if (Depth == 0)
    return Leaf;
  return rc::gen::oneOf(
      Leaf,
      rc::gen::map(
          rc::gen::container<std::vector<json>>(anyValue(Depth - 1)),
          [](const std::vector<json> &Values) { return json(Values); }),
      rc::gen::map(anyValue(Depth - 1), [](const json &Value) {
        return json{{"version", Value}};
      }));
}

/// Returns the positions of all values of a document.
static std::vector<json::json_pointer> positionsIn(const json &Document) {
  std::vector<json::json_pointer> Positions;
  const json Flat = Document.flatten();
  for (const auto &[Position, Value] : Flat.items())
    for (json::json_pointer At(Position); !At.empty(); At = At.parent_pointer())
      Positions.push_back(At);
  return Positions;
}

rc::Gen<json> spoiledCopyOf(const json &Document) {
  return rc::gen::mapcat(rc::gen::elementOf(positionsIn(Document)),
                         [Document](const json::json_pointer &Position) {
                           return rc::gen::map(
                               anyValue(),
                               [Document, Position](const json &Value) {
                                 json Copy = Document;
                                 Copy.at(Position) = Value;
                                 return Copy;
                               });
                         });
}

} // namespace test_support
