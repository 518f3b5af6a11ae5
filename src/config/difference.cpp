#include "skylarkdyke/config/difference.hpp"

#include "skylarkdyke/config/codec.hpp"

#include <nlohmann/json.hpp>

namespace skylarkdyke::config {

using nlohmann::json;

/// Replaces the list under Field by an object in which the key of each item is
/// the concatenation of its KeyMembers, separated by colons.
static void indexByKey(json &Root, const char *Field,
                       std::initializer_list<const char *> KeyMembers) {
  json ByKey = json::object();
  for (json &Item : Root[Field]) {
    std::string Key;
    for (const char *Member : KeyMembers)
      Key += (Key.empty() ? "" : ":") + Item[Member].get<std::string>();
    for (const char *Member : KeyMembers)
      Item.erase(Member);
    ByKey[Key] = std::move(Item);
  }
  Root[Field] = std::move(ByKey);
}

/// Converts a document to JSON in which the path of a list item depends only on
/// its key, without the fields that difference() ignores.
static json toComparableJson(const document &Document) {
  json Root = json::parse(encode(Document));
  for (const char *Field :
       {"format", "version", "submission_id", "submitted_by", "submitted_at",
        "recent_submissions"})
    Root.erase(Field);
  indexByKey(Root, "regions", {"name"});
  indexByKey(Root, "links", {"from", "to"});
  indexByKey(Root, "services", {"name"});
  indexByKey(Root, "targets", {"id"});
  indexByKey(Root, "drains", {"scope", "name"});
  indexByKey(Root, "client_blocks", {"prefix"});
  return Root;
}

/// Formats a value for display: strings without quotes, objects as "key value".
static std::string formatReadable(const json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  if (!Value.is_structured())
    return Value.dump();
  std::string Text;
  for (const auto &[Key, Member] : Value.items()) {
    Text += Text.empty() ? "" : ", ";
    Text += (Value.is_object() ? Key + " " : "") + formatReadable(Member);
  }
  return Text;
}

/// Escapes one reference token of a JSON pointer (RFC 6901, section 3).
static std::string escapeToken(const std::string &Token) {
  std::string Text;
  for (const char Character : Token) {
    if (Character == '~')
      Text += "~0";
    else if (Character == '/')
      Text += "~1";
    else
      Text += Character;
  }
  return Text;
}

/// Appends the differences between two values to Changes. A null pointer stands
/// for a value that does not exist.
static void compare(const std::string &Path, const json *Old, const json *New,
                    std::vector<field_change> &Changes) {
  if (Old != nullptr && New != nullptr && *Old == *New)
    return;
  if (Old == nullptr || New == nullptr || !Old->is_object() ||
      !New->is_object()) {
    Changes.push_back({Path, Old == nullptr ? "" : formatReadable(*Old),
                       New == nullptr ? "" : formatReadable(*New)});
    return;
  }
  const auto Find = [](const json &Object, const std::string &Key) {
    const auto Found = Object.find(Key);
    return Found == Object.end() ? nullptr : &*Found;
  };
  json Keys = *Old;
  Keys.update(*New);
  for (const auto &[Key, Unused] : Keys.items())
    compare(Path + "/" + escapeToken(Key), Find(*Old, Key), Find(*New, Key),
            Changes);
}

std::vector<field_change> difference(const document &Old, const document &New) {
  const json Before = toComparableJson(Old);
  const json After = toComparableJson(New);
  std::vector<field_change> Changes;
  compare("", &Before, &After, Changes);
  return Changes;
}

std::string toString(const field_change &Change) {
  return Change.Path + ": " +
         (Change.Before.empty() ? "(none)" : Change.Before) + " -> " +
         (Change.After.empty() ? "(none)" : Change.After);
}

} // namespace skylarkdyke::config
