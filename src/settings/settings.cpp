#include "skylarkdyke/settings/settings.hpp"

#include <cctype>
#include <set>
#include <toml++/toml.h>

namespace skylarkdyke::settings {

namespace {

/// Reads the keys of one TOML table and collects findings with file and line.
class table_reader {
public:
  /// \param Prefix prefix of the keys in the locations of findings
  table_reader(const toml::table &Table, std::string FileName,
               std::string Prefix = "")
      : Table(Table), FileName(std::move(FileName)), Prefix(std::move(Prefix)) {
  }

  std::string text(std::string_view Key) {
    const toml::node *Node = find(Key, true);
    if (Node == nullptr)
      return {};
    const auto Text = Node->value<std::string>();
    if (!Node->is_string() || Text->empty()) {
      report(Node, Key, "must be a non-empty string");
      return {};
    }
    return *Text;
  }

  base::endpoint endpoint(std::string_view Key) {
    const std::size_t Before = Findings.size();
    const std::string Text = text(Key);
    const auto Parsed = base::parseEndpoint(Text);
    if (!Parsed && Findings.size() == Before)
      report(Table.get(Key), Key,
             "must be an IPv4 address and port such as 127.0.0.1:8080");
    return Parsed.value_or(base::endpoint());
  }

  base::endpoint endpointOr(std::string_view Key,
                            const base::endpoint &Default) {
    return find(Key, false) == nullptr ? Default : endpoint(Key);
  }

  std::vector<base::endpoint> endpoints(std::string_view Key) {
    std::vector<base::endpoint> Endpoints;
    const toml::node *Node = find(Key, false);
    if (Node == nullptr)
      return Endpoints;
    const toml::array *List = Node->as_array();
    if (List == nullptr) {
      report(Node, Key, "must be a list of addresses");
      return Endpoints;
    }
    for (const toml::node &Item : *List) {
      const auto Parsed =
          base::parseEndpoint(Item.value_or<std::string>(std::string()));
      if (Parsed)
        Endpoints.push_back(*Parsed);
      else
        report(&Item, Key,
               "must contain IPv4 addresses and ports such as 127.0.0.1:8080");
    }
    return Endpoints;
  }

  std::vector<operator_settings> operators(std::string_view Key) {
    std::vector<operator_settings> Operators;
    const toml::node *Node = find(Key, false);
    if (Node == nullptr)
      return Operators;
    const toml::array *List = Node->as_array();
    if (List == nullptr || !List->is_homogeneous(toml::node_type::table)) {
      report(Node, Key, "must be given as [[operators]] tables");
      return Operators;
    }
    std::set<std::string> Names;
    for (const toml::node &Item : *List) {
      table_reader Reader(*Item.as_table(), FileName, std::string(Key) + ".");
      Operators.push_back(Reader.readOperator(Names));
      Findings.insert(Findings.end(), Reader.Findings.begin(),
                      Reader.Findings.end());
    }
    return Operators;
  }

  /// Reports each key that no earlier call has read.
  void reportUnknownKeys() {
    for (const auto &[Key, Node] : Table)
      if (ReadKeys.count(std::string(Key.str())) == 0)
        report(&Node, Key.str(), "is not a known setting");
  }

  base::findings Findings;

private:
  operator_settings readOperator(std::set<std::string> &Names) {
    operator_settings Operator;
    Operator.Name = base::operator_name(text("name"));
    const std::size_t Before = Findings.size();
    Operator.TokenSha256 = text("token_sha256");
    std::string &Hash = Operator.TokenSha256;
    if (Findings.size() == Before &&
        (Hash.size() != 64 ||
         Hash.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos))
      report(Table.get("token_sha256"), "token_sha256",
             "must have 64 hexadecimal digits, as `skylarkdyke token-hash` "
             "prints them");
    for (char &Digit : Hash)
      Digit =
          static_cast<char>(std::tolower(static_cast<unsigned char>(Digit)));
    if (!Operator.Name.empty() && !isOperatorName(Operator.Name.str()))
      report(Table.get("name"), "name",
             "must have 1 to 64 letters, digits, '-', '_' or '.'");
    if (!Operator.Name.empty() && !Names.insert(Operator.Name.str()).second)
      report(Table.get("name"), "name",
             "'" + Operator.Name.str() + "' is already used");
    reportUnknownKeys();
    return Operator;
  }

  /// Returns whether a name has only the characters that a document accepts in
  /// `submitted_by`.
  static bool isOperatorName(const std::string &Text) {
    return Text.size() <= 64 &&
           Text.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                  "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                  "0123456789-_.") == std::string::npos;
  }

  const toml::node *find(std::string_view Key, bool Required) {
    ReadKeys.insert(std::string(Key));
    const toml::node *Node = Table.get(Key);
    if (Node == nullptr && Required)
      Findings.push_back(
          {location(Prefix.empty() ? nullptr : &Table, Key), "is missing"});
    return Node;
  }

  void report(const toml::node *Node, std::string_view Key,
              std::string Reason) {
    Findings.push_back({location(Node, Key), std::move(Reason)});
  }

  std::string location(const toml::node *Node, std::string_view Key) const {
    const std::string Line =
        Node == nullptr ? "" : ":" + std::to_string(Node->source().begin.line);
    return FileName + Line + ": " + Prefix + std::string(Key);
  }

  const toml::table &Table;
  std::string FileName;
  std::string Prefix;
  std::set<std::string> ReadKeys;
};

} // namespace

static toml::table parseToml(std::string_view Text, const std::string &FileName,
                             base::findings &Findings) {
  try {
    return toml::parse(Text, FileName);
  } catch (const toml::parse_error &Error) {
    Findings.push_back(
        {FileName + ":" + std::to_string(Error.source().begin.line),
         std::string(Error.description())});
    return {};
  }
}

base::result<entry_settings, base::findings>
parseEntrySettings(std::string_view Text, const std::string &FileName) {
  base::findings ParseFindings;
  const toml::table Table = parseToml(Text, FileName, ParseFindings);
  if (!ParseFindings.empty())
    return ParseFindings;
  table_reader Reader(Table, FileName);
  entry_settings Settings;
  Settings.Name = base::entry_name(Reader.text("name"));
  Settings.Region = base::region_name(Reader.text("region"));
  Settings.Domain = base::domain_name(Reader.text("domain"));
  Settings.CallerAddress = Reader.endpoint("caller_address");
  Settings.CallerListen =
      Reader.endpointOr("caller_listen", Settings.CallerAddress);
  Settings.AdminAddress = Reader.endpoint("admin_address");
  Settings.PeerAddress = Reader.endpoint("peer_address");
  Settings.PeerListen = Reader.endpointOr("peer_listen", Settings.PeerAddress);
  Settings.Store = Reader.endpoint("store");
  Settings.Platform = Reader.endpointOr("platform", Settings.Store);
  Settings.Seeds = Reader.endpoints("seeds");
  Settings.Operators = Reader.operators("operators");
  Reader.reportUnknownKeys();
  if (!Reader.Findings.empty())
    return Reader.Findings;
  return Settings;
}

} // namespace skylarkdyke::settings
