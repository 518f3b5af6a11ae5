#include "operators/detail/form.hpp"

#include "skylarkdyke/config/codec.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace skylarkdyke::operators::detail {

using nlohmann::json;

static std::vector<form> makeForms() {
  const form_field LinkFrom{"from", "From region", "", field_kind::Text};
  const form_field LinkTo{"to", "To region", "", field_kind::Text};
  const form_field LinkCap{"cap_bits_per_second", "Cap in bits per second",
                           "4000000000 are 4 Gbit/s, in this direction only"};
  return {
      {"caps",
       "Caps",
       "A cap is the most traffic that all entries together send. A lower cap "
       "is in force within 5 s; traffic above it is refused as not run. Raise "
       "a cap only if the region or link can carry more.",
       {},
       {{"regions",
         "Regions",
         {{"name", "Region", "", field_kind::Text}},
         {{"cap_per_second", "Cap in requests per second", ""}}},
        {"links", "Links", {LinkFrom, LinkTo}, {LinkCap}}}},
      {"shift",
       "Shift cap",
       "The shift cap bounds how fast drains, returns and failovers move "
       "traffic. It cannot change while a drain is under way.",
       {{"shift_cap_percent_per_second",
         "Shift cap in percentage points per second",
         "10 moves a whole region in 10 s"},
        {"lookup_ttl_ms", "Time that callers keep a lookup, in ms",
         "a stopping entry serves at least this long"}},
       {}},
      {"services",
       "Services",
       "A service is a named group of targets. To remove one, remove its "
       "targets in the same change, under Whole document.",
       {},
       {{"services",
         "Services",
         {{"name", "Service", "letters, digits, - _ .", field_kind::Text}},
         {{"deadline_ms", "Longest time of a request, in ms",
           "used when a caller sends no deadline"},
          {"max_answer_bytes", "Largest answer, in bytes",
           "a larger one is not delivered"}},
         true}}},
      {"targets",
       "Targets",
       "A target is one back-end process. Drain a target before you remove it: "
       "a removed target gets no new work at once, and what it runs is not "
       "waited for on these pages.",
       {},
       {{"targets",
         "Targets",
         {{"id", "Target", "letters, digits, - _ .", field_kind::Text}},
         {{"service", "Service", "", field_kind::Text},
          {"domain", "Failure domain", "", field_kind::Text},
          {"address", "Address", "such as 10.0.0.1:8080", field_kind::Text},
          {"slots", "Slots", "requests it runs at once"},
          {"max_connections", "Connections", "at most open at once"}},
         true}}},
      {"links",
       "Links",
       "One row for each direction between two regions.",
       {},
       {{"links",
         "Links",
         {LinkFrom, LinkTo},
         {LinkCap,
          {"round_trip_us", "Round trip in microseconds",
           "time to the other region and back"}}}}},
  };
}

const std::vector<form> &documentForms() {
  static const std::vector<form> Forms = makeForms();
  return Forms;
}

static std::string pointer(const std::string &List, std::size_t Row,
                           const std::string &Key) {
  return "/" + List + "/" + std::to_string(Row) + "/" + Key;
}

static std::string removeName(const std::string &List, std::size_t Row) {
  return "remove/" + List + "/" + std::to_string(Row);
}

static std::string trimmed(const std::string &Text) {
  const std::size_t Begin = Text.find_first_not_of(" \t\r\n");
  if (Begin == std::string::npos)
    return "";
  return Text.substr(Begin, Text.find_last_not_of(" \t\r\n") - Begin + 1);
}

/// A text that is no number stays a text, which the codec reports in its own
/// words.
static json toValue(field_kind Kind, const std::string &Entered) {
  const std::string Text = trimmed(Entered);
  if (Kind == field_kind::Number) {
    json Number = json::parse(Text, nullptr, false);
    if (Number.is_number())
      return Number;
  }
  return Text;
}

static void takeField(json &Item, const form_field &Field,
                      const std::string &Name, const parameters &Values) {
  const auto Entered = Values.find(Name);
  if (Entered != Values.end())
    Item[Field.Key] = toValue(Field.Kind, Entered->second);
}

/// A row without any identity was left empty by the operator.
static bool isFilled(const form_section &Section, std::size_t Row,
                     const parameters &Values) {
  return std::any_of(
      Section.Identity.begin(), Section.Identity.end(),
      [&](const form_field &Field) {
        const auto Entered = Values.find(pointer(Section.List, Row, Field.Key));
        return Entered != Values.end() && !trimmed(Entered->second).empty();
      });
}

static void applySection(const form_section &Section, json &Root,
                         const parameters &Values,
                         std::vector<std::size_t> &Rows) {
  const json Old = Root[Section.List];
  json New = json::array();
  for (std::size_t Row = 0; Row < Old.size(); ++Row) {
    if (Section.IsOpen && Values.count(removeName(Section.List, Row)) != 0)
      continue;
    json Item = Old[Row];
    for (const form_field &Field : Section.Fields)
      takeField(Item, Field, pointer(Section.List, Row, Field.Key), Values);
    New.push_back(std::move(Item));
    Rows.push_back(Row);
  }
  if (Section.IsOpen && isFilled(Section, Old.size(), Values)) {
    json Item = json::object();
    for (const auto *Fields : {&Section.Identity, &Section.Fields})
      for (const form_field &Field : *Fields)
        takeField(Item, Field, pointer(Section.List, Old.size(), Field.Key),
                  Values);
    New.push_back(std::move(Item));
    Rows.push_back(Old.size());
  }
  Root[Section.List] = std::move(New);
}

/// Drops drains of targets that the document does not have any more.
static void dropOrphanedDrains(config::document &Document) {
  std::set<std::string> Ids;
  for (const config::target &Target : Document.Targets)
    Ids.insert(Target.Id.str());
  auto &Drains = Document.Drains;
  Drains.erase(std::remove_if(Drains.begin(), Drains.end(),
                              [&Ids](const config::drain &Drain) {
                                return Drain.Scope ==
                                           config::drain_scope::Target &&
                                       Ids.count(Drain.Name) == 0;
                              }),
               Drains.end());
}

form_result applyForm(const form &Form, const config::document &Document,
                      const parameters &Values) {
  form_result Result;
  json Root = json::parse(config::encode(Document));
  for (const form_field &Field : Form.Fields)
    takeField(Root, Field, "/" + Field.Key, Values);
  for (const form_section &Section : Form.Sections)
    applySection(Section, Root, Values, Result.Rows[Section.List]);
  auto Decoded =
      config::decode(Root.dump(-1, ' ', false, json::error_handler_t::replace));
  if (!Decoded) {
    Result.Findings = mapToRows(Result, Decoded.error());
    return Result;
  }
  Result.Document = std::move(Decoded).value();
  dropOrphanedDrains(Result.Document);
  return Result;
}

base::findings mapToRows(const form_result &Result, base::findings Findings) {
  for (base::finding &Finding : Findings) {
    for (const auto &[List, Rows] : Result.Rows) {
      const std::string Prefix = "/" + List + "/";
      if (Finding.Location.rfind(Prefix, 0) != 0)
        continue;
      const std::size_t End = std::min(
          Finding.Location.find('/', Prefix.size()), Finding.Location.size());
      const std::size_t Item = std::stoul(
          Finding.Location.substr(Prefix.size(), End - Prefix.size()));
      if (Item < Rows.size())
        Finding.Location =
            Prefix + std::to_string(Rows[Item]) + Finding.Location.substr(End);
    }
  }
  return Findings;
}

namespace {

/// Renders one form; takes each finding once.
class form_renderer {
public:
  form_renderer(const config::document &Document, const parameters &Values,
                const base::findings &Findings)
      : Root(json::parse(config::encode(Document))), Values(Values),
        Findings(Findings) {}

  html run(const form &Form) {
    html Text;
    for (const form_field &Field : Form.Fields) {
      Text << "<p><label>" << Field.Label << ": "
           << input("/" + Field.Key, shown(Root[Field.Key])) << "</label>"
           << help(Field) << "</p>\n";
    }
    for (const form_section &Section : Form.Sections)
      Text << section(Section);
    html All;
    return All << renderFindings(Findings) << Text;
  }

private:
  static std::string shown(const json &Value) {
    return Value.is_string() ? Value.get<std::string>() : Value.dump();
  }

  static html help(const form_field &Field) {
    html Text;
    if (!Field.Help.empty())
      Text << "<span class=\"help\">" << Field.Help << "</span>";
    return Text;
  }

  html input(const std::string &Name, const std::string &Default) {
    const auto Entered = Values.find(Name);
    html Text;
    Text << "<input name=\"" << Name << "\" value=\""
         << (Entered == Values.end() ? Default : Entered->second) << "\">"
         << takeFindings(Name);
    return Text;
  }

  html takeFindings(const std::string &Location) {
    html Text;
    for (const base::finding &Finding : Findings)
      if (Finding.Location == Location)
        Text << "<span class=\"finding\">" << Finding.Reason << "</span>";
    Findings.erase(std::remove_if(Findings.begin(), Findings.end(),
                                  [&Location](const base::finding &Finding) {
                                    return Finding.Location == Location;
                                  }),
                   Findings.end());
    return Text;
  }

  html section(const form_section &Section) {
    html Text;
    Text << "<h2>" << Section.Title << "</h2>\n<table><tr>";
    for (const auto *Fields : {&Section.Identity, &Section.Fields})
      for (const form_field &Field : *Fields)
        Text << "<th>" << Field.Label << help(Field) << "</th>";
    if (Section.IsOpen)
      Text << "<th>Remove</th>";
    Text << "</tr>\n";
    const json &Items = Root[Section.List];
    for (std::size_t Row = 0; Row < Items.size(); ++Row)
      Text << existingRow(Section, Row, Items[Row]);
    if (Section.IsOpen)
      Text << newRow(Section, Items.size());
    return Text << "</table>\n";
  }

  html existingRow(const form_section &Section, std::size_t Row,
                   const json &Item) {
    html Text;
    Text << "<tr>";
    for (const form_field &Field : Section.Identity)
      Text << "<td>" << shown(Item[Field.Key])
           << takeFindings(pointer(Section.List, Row, Field.Key)) << "</td>";
    for (const form_field &Field : Section.Fields)
      Text << "<td>"
           << input(pointer(Section.List, Row, Field.Key),
                    shown(Item[Field.Key]))
           << "</td>";
    if (Section.IsOpen) {
      const std::string Name = removeName(Section.List, Row);
      Text << "<td><input type=\"checkbox\" name=\"" << Name << "\"";
      if (Values.count(Name) != 0)
        Text << " checked";
      Text << ">"
           << takeFindings("/" + Section.List + "/" + std::to_string(Row))
           << "</td>";
    }
    return Text << "</tr>\n";
  }

  html newRow(const form_section &Section, std::size_t Row) {
    html Text;
    Text << "<tr>";
    for (const auto *Fields : {&Section.Identity, &Section.Fields})
      for (const form_field &Field : *Fields)
        Text << "<td>" << input(pointer(Section.List, Row, Field.Key), "")
             << "</td>";
    return Text << "<td>new; leave empty for none</td></tr>\n";
  }

  json Root;
  const parameters &Values;
  base::findings Findings;
};

} // namespace

html renderFields(const form &Form, const config::document &Document,
                  const parameters &Values, const base::findings &Findings) {
  return form_renderer(Document, Values, Findings).run(Form);
}

html renderFindings(const base::findings &Findings) {
  html Text;
  if (Findings.empty())
    return Text;
  Text << "<div class=\"bad\"><p>Findings without a field on this page:</p>"
          "<ul>";
  for (const base::finding &Finding : Findings)
    Text << "<li><b>" << Finding.Location << "</b> " << Finding.Reason
         << "</li>";
  return Text << "</ul></div>\n";
}

} // namespace skylarkdyke::operators::detail
