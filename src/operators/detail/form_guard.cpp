#include "operators/detail/form_guard.hpp"

#include "operators/detail/digest.hpp"
#include "skylarkdyke/base/base64.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/config/scope.hpp"

#include <charconv>

namespace skylarkdyke::operators::detail {

static constexpr std::size_t KeyBytes = 32;

std::string valueOf(const parameters &Values, const std::string &Name) {
  const auto Found = Values.find(Name);
  return Found == Values.end() ? "" : Found->second;
}

std::optional<std::uint64_t> parseVersion(const std::string &Text) {
  std::uint64_t Version = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Failure] = std::from_chars(Text.data(), End, Version);
  if (Failure != std::errc() || Rest != End)
    return std::nullopt;
  return Version;
}

std::string formatScope(config::drain_scope Scope, const std::string &Name) {
  return std::string(config::toString(Scope)) + ":" + Name;
}

std::optional<drain_request> parseScope(const std::string &Text) {
  const std::size_t Colon = Text.find(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  drain_request Request;
  Request.Name = Text.substr(Colon + 1);
  for (const config::drain_scope Scope :
       {config::drain_scope::Target, config::drain_scope::Domain,
        config::drain_scope::Region}) {
    if (Text.substr(0, Colon) == config::toString(Scope)) {
      Request.Scope = Scope;
      return Request;
    }
  }
  return std::nullopt;
}

form_guard::form_guard() : Key(randomBytes(KeyBytes)) {}

std::string form_guard::token(const base::operator_name &Operator) const {
  return hmacSha256(Key, "form\n" + Operator.str());
}

bool form_guard::hasToken(const parameters &Values,
                          const base::operator_name &Operator) const {
  return equalInConstantTime(valueOf(Values, "csrf"), token(Operator));
}

html form_guard::tokenField(const base::operator_name &Operator) const {
  html Field;
  return Field << "<input type=\"hidden\" name=\"csrf\" value=\""
               << token(Operator) << "\">";
}

std::string form_guard::seal(const std::string &Document,
                             const std::string &Version,
                             const std::string &Start,
                             const base::operator_name &Operator) const {
  // No part but the last can contain a line break, so the parts stay apart.
  return hmacSha256(Key, "preview\n" + Operator.str() + "\n" + Version + "\n" +
                             Document + "\n" + Start);
}

static html hidden(const std::string &Name, const std::string &Value) {
  html Field;
  return Field << "<input type=\"hidden\" name=\"" << Name << "\" value=\""
               << Value << "\">";
}

html form_guard::changeFields(const previewed_change &Change,
                              const base::operator_name &Operator) const {
  const std::string Document =
      base::encodeBase64(config::encode(Change.Document));
  const std::string Version = std::to_string(Change.Version);
  std::string Start;
  if (Change.StartsOnSubmit)
    Start =
        formatScope(Change.StartsOnSubmit->Scope, Change.StartsOnSubmit->Name);
  html Fields;
  return Fields << tokenField(Operator) << hidden("document", Document)
                << hidden("version", Version) << hidden("start", Start)
                << hidden("seal", seal(Document, Version, Start, Operator));
}

std::optional<previewed_change>
form_guard::readChange(const parameters &Values,
                       const base::operator_name &Operator) const {
  const std::string Document = valueOf(Values, "document");
  const std::string Version = valueOf(Values, "version");
  const std::string Start = valueOf(Values, "start");
  if (!equalInConstantTime(valueOf(Values, "seal"),
                           seal(Document, Version, Start, Operator)))
    return std::nullopt;
  const auto Bytes = base::decodeBase64(Document);
  const auto Number = parseVersion(Version);
  if (!Bytes || !Number)
    return std::nullopt;
  auto Decoded = config::decode(*Bytes);
  if (!Decoded)
    return std::nullopt;
  previewed_change Change{std::move(Decoded).value(), *Number, std::nullopt};
  Change.StartsOnSubmit = parseScope(Start);
  if (Change.StartsOnSubmit) {
    const config::drain *Drain =
        findDrain(Change.Document, Change.StartsOnSubmit->Scope,
                  Change.StartsOnSubmit->Name);
    if (Drain == nullptr)
      return std::nullopt;
    Change.StartsOnSubmit->Action = Drain->Action;
  }
  return Change;
}

} // namespace skylarkdyke::operators::detail
