#include "skylarkdyke/config/difference.hpp"

#include "skylarkdyke/config/codec.hpp"

#include <nlohmann/json.hpp>

namespace skylarkdyke::config {

using nlohmann::json;

/// Replaces the list under Field by an object whose keys join the values of the
/// key members.
static void keyItems(json &Root, const char *Field,
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

static json comparable(const document &Document) {
  json Root = json::parse(encode(Document));
  for (const char *Field :
       {"format", "version", "submission_id", "submitted_by", "submitted_at",
        "recent_submissions"})
    Root.erase(Field);
  keyItems(Root, "regions", {"name"});
  keyItems(Root, "links", {"from", "to"});
  keyItems(Root, "services", {"name"});
  keyItems(Root, "targets", {"id"});
  keyItems(Root, "drains", {"scope", "name"});
  keyItems(Root, "client_blocks", {"prefix"});
  return Root;
}

/// Formats a value for people: text without quotes, objects as "key value".
static std::string readable(const json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  if (!Value.is_structured())
    return Value.dump();
  std::string Text;
  for (const auto &[Key, Member] : Value.items()) {
    Text += Text.empty() ? "" : ", ";
    Text += (Value.is_object() ? Key + " " : "") + readable(Member);
  }
  return Text;
}

/// Escapes one part of a JSON pointer (RFC 6901, section 3).
static std::string escaped(const std::string &Part) {
  std::string Text;
  for (const char Character : Part) {
    if (Character == '~')
      Text += "~0";
    else if (Character == '/')
      Text += "~1";
    else
      Text += Character;
  }
  return Text;
}

static void compare(const std::string &Place, const json *Old, const json *New,
                    std::vector<field_change> &Changes) {
  if (Old != nullptr && New != nullptr && *Old == *New)
    return;
  if (Old == nullptr || New == nullptr || !Old->is_object() ||
      !New->is_object()) {
    Changes.push_back({Place, Old == nullptr ? "" : readable(*Old),
                       New == nullptr ? "" : readable(*New)});
    return;
  }
  const auto Find = [](const json &Object, const std::string &Key) {
    const auto Found = Object.find(Key);
    return Found == Object.end() ? nullptr : &*Found;
  };
  json Keys = *Old;
  Keys.update(*New);
  for (const auto &[Key, Unused] : Keys.items())
    compare(Place + "/" + escaped(Key), Find(*Old, Key), Find(*New, Key),
            Changes);
}

std::vector<field_change> difference(const document &Old, const document &New) {
  const json Before = comparable(Old);
  const json After = comparable(New);
  std::vector<field_change> Changes;
  compare("", &Before, &After, Changes);
  return Changes;
}

std::string toString(const field_change &Change) {
  return Change.Place + ": " +
         (Change.Before.empty() ? "(none)" : Change.Before) + " -> " +
         (Change.After.empty() ? "(none)" : Change.After);
}

} // namespace skylarkdyke::config
