#include "fuzz.hpp"
#include "json.hpp"

namespace tt {
namespace {

const Strings boundaryNumbers{"0",
                              "-0",
                              "-1",
                              "1",
                              "00",
                              "+1",
                              "0.5",
                              "1.0",
                              "1e3",
                              "255",
                              "256",
                              "65535",
                              "65536",
                              "2147483647",
                              "2147483648",
                              "-2147483648",
                              "4294967295",
                              "4294967296",
                              "9007199254740991",
                              "9007199254740992",
                              "9007199254740993",
                              "9223372036854775807",
                              "9223372036854775808",
                              "18446744073709551615",
                              "18446744073709551616",
                              "10000000000000",
                              "9e15",
                              "1e18",
                              "1e308",
                              "-1e308",
                              "1e999",
                              "0x10",
                              "ffffffffffffffff"};
const Strings oddWords{
    "",     "null", "true",    "false", "{}",        "[]",      "\"\"",         "[[]]",  "{\"\":{}}", ",",
    ":",    ";",    "\"",      "\\",    "\\u0000",   "\\ud800", "\"a\\u00e9\"", "\r\n",  "\n",        "\t",
    " ",    "#",    "->",      "-",     "=",         ".",       "..",           "/",     "//",        "@",
    "\xff", "\xc3", "chunked", "gzip",  "0\r\n\r\n", "at",      "extra",        "null,", "}",         "]"};
constexpr std::size_t mostBytes = 64 * 1024;

bool isWordByte(char letter) {
  return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
         letter == '_' || letter == '-' || letter == '.';
}
/// The text cut into words, quoted texts, runs of blanks and single signs.
std::vector<std::pair<std::size_t, std::size_t>> tokensOf(const std::string& text) {
  std::vector<std::pair<std::size_t, std::size_t>> tokens;
  for (std::size_t at = 0; at < text.size();) {
    std::size_t end = at + 1;
    if (isWordByte(text[at])) {
      while (end < text.size() && isWordByte(text[end])) ++end;
    } else if (text[at] == '"') {
      while (end < text.size() && text[end] != '"') end += text[end] == '\\' ? 2 : 1;
      end = std::min(end + 1, text.size());
    }
    tokens.emplace_back(at, end - at);
    at = end;
  }
  return tokens;
}

void listNodes(Json& value, std::vector<Json*>& nodes) {
  nodes.push_back(&value);
  if (value.is<JsonObject>())
    for (auto& [name, item] : value.get<JsonObject>()) listNodes(item, nodes);
  if (value.is<JsonArray>())
    for (auto& item : value.get<JsonArray>()) listNodes(item, nodes);
}
constexpr double treeNumbers[] = {0,    1,    -1,   0.5,  2147483648.0, 4294967296.0, 9007199254740992.0,
                                  1e13, 9e15, 1e18, 1e300};

}  // namespace

std::string Mutator::boundaryNumber() { return pick(boundaryNumbers); }

std::string Mutator::word() {
  static const Strings words{"a", "moss", "mill", "north-a", "10.0.0.1:80", "", "key-a", "{\"routes\":{}}"};
  return pick(words);
}

std::string Mutator::bendTextOnce(std::string text, const std::string& other) {
  auto tokens = tokensOf(text);
  if (tokens.empty()) return pick(oddWords);
  auto [start, size] = tokens[randomBelow(tokens.size())];
  auto [laterStart, laterSize] = tokens[randomBelow(tokens.size())];
  auto otherTokens = tokensOf(other);
  switch (randomBelow(13)) {
    case 0:
      text[randomBelow(text.size())] ^= static_cast<char>(1u << randomBelow(8));
      return text;
    case 1:
      return text.insert(randomBelow(text.size() + 1), 1, static_cast<char>(randomBelow(256)));
    case 2:
      return text.erase(start, size);
    case 3:
      return text.erase(std::min(start, laterStart), std::max(start, laterStart) - std::min(start, laterStart));
    case 4:
      return text.insert(start, text.substr(laterStart, laterSize));
    case 5: {
      std::size_t first = std::min(start, laterStart), last = std::max(start, laterStart);
      return text.insert(last, text.substr(first, last - first));
    }
    case 6:
    case 7:
      if (otherTokens.empty()) return text;
      {
        auto [otherStart, otherSize] = otherTokens[randomBelow(otherTokens.size())];
        return text.replace(start, size, other.substr(otherStart, otherSize));
      }
    case 8:
      if (otherTokens.empty()) return text;
      return text.substr(0, start) + other.substr(otherTokens[randomBelow(otherTokens.size())].first);
    case 9:
      return text.replace(start, size, boundaryNumber());
    case 10:
      return text.replace(start, size, pick(oddWords));
    case 11: {
      std::size_t depth = std::size_t(1) << randomBelow(9);
      bool lists = chance(2);
      std::string open, close;
      for (std::size_t level = 0; level < depth; ++level) {
        open += lists ? "[" : "{\"a\":";
        close += lists ? "]" : "}";
      }
      return text.substr(0, start) + open + text.substr(start, size) + close + text.substr(start + size);
    }
    default:
      return text.substr(0, randomBelow(text.size() + 1));
  }
}

/// Bends a value of a JSON text, so that the text stays one; empty if it is none.
std::string Mutator::bendTree(const std::string& text, const std::string& other) {
  auto read = parseJson(text);
  auto donor = parseJson(other);
  if (!read) return {};
  std::vector<Json*> nodes, donated;
  listNodes(read.value(), nodes);
  if (donor) listNodes(donor.value(), donated);
  Json& node = *nodes[randomBelow(nodes.size())];
  if (node.is<double>() && chance(2)) {
    node = Json(treeNumbers[randomBelow(std::size(treeNumbers))]);
  } else if (node.is<JsonObject>() && !node.get<JsonObject>().empty()) {
    auto& rows = node.get<JsonObject>();
    auto row = std::next(rows.begin(), static_cast<std::ptrdiff_t>(randomBelow(rows.size())));
    auto twin = std::next(rows.begin(), static_cast<std::ptrdiff_t>(randomBelow(rows.size())));
    if (chance(3))
      rows.erase(row);
    else if (chance(2))
      std::swap(row->second, twin->second);
    else
      rows[word()] = row->second;
  } else if (node.is<JsonArray>() && !node.get<JsonArray>().empty()) {
    auto& rows = node.get<JsonArray>();
    std::size_t at = randomBelow(rows.size());
    if (chance(2))
      rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(at));
    else
      rows.push_back(Json(rows[at]));
  } else if (node.is<std::string>() && chance(2)) {
    node = Json(word());
  } else if (!donated.empty() && chance(2)) {
    node = Json(*donated[randomBelow(donated.size())]);
  } else {
    node = Json();
  }
  return read.value().serialize();
}

std::string Mutator::mutatedText(const Strings& good) {
  std::string text = pick(good);
  if (chance(16)) return text;
  std::uint64_t times = 1 + (chance(2) ? randomBelow(5) : 0);
  if (chance(2)) {
    for (; times > 0; --times)
      if (auto bent = bendTree(text, pick(good)); !bent.empty()) text = std::move(bent);
    return text;
  }
  for (std::uint64_t time = 0; time < times; ++time) {
    text = bendTextOnce(std::move(text), pick(good));
    if (text.size() > mostBytes) text.resize(mostBytes);
  }
  return text;
}

std::string Mutator::bentBytes(std::string bytes, const std::string& other) {
  static const std::uint32_t sizes[] = {0, 1, 2, 255, 4096, 65535, 0x7fffffff, 0x80000000, 0xffffffff};
  if (chance(16)) return bytes;
  std::uint64_t times = 1 + (chance(2) ? randomBelow(4) : 0);
  for (std::uint64_t time = 0; time < times; ++time) {
    if (bytes.empty()) return other;
    std::size_t at = randomBelow(bytes.size()), span = randomBelow(std::min<std::size_t>(bytes.size() - at, 64) + 1);
    switch (randomBelow(7)) {
      case 0:
        bytes[at] ^= static_cast<char>(1u << randomBelow(8));
        break;
      case 1:
        bytes[at] = static_cast<char>(randomBelow(256));
        break;
      case 2:
        bytes.insert(at, std::string(1 + randomBelow(8), static_cast<char>(randomBelow(256))));
        break;
      case 3:
        bytes.erase(at, span);
        break;
      case 4:
        bytes.resize(at);
        break;
      case 5:
        if (bytes.size() >= at + 4) {
          auto size = sizes[randomBelow(std::size(sizes))];
          for (int place = 0; place < 4; ++place) bytes[at + place] = static_cast<char>(size >> (8 * place));
        }
        break;
      default:
        if (!other.empty()) {
          std::size_t from = randomBelow(other.size());
          bytes.replace(at, span, other, from, randomBelow(std::min<std::size_t>(other.size() - from, 64) + 1));
        }
    }
  }
  return bytes;
}

void serializeField(Filler& filler, std::string& value) {
  value = filler.mutator.word();
  if (filler.mutator.chance(8)) value += std::string(filler.mutator.randomBelow(600), 'x');
}
void serializeField(Filler& filler, bool& value) { value = filler.mutator.chance(2); }
void serializeField(Filler& filler, int& value) { value = static_cast<int>(filler.mutator.randomBelow(4)); }
void serializeField(Filler& filler, double& value) {
  value = static_cast<double>(filler.mutator.randomBelow(1000)) / 8;
}
void serializeField(Filler& filler, std::int64_t& value) {
  value = static_cast<std::int64_t>(filler.mutator.randomBelow(1u << 30));
}
void serializeField(Filler& filler, Uint64& value) {
  value = filler.mutator.chance(4) ? filler.mutator.source()() : filler.mutator.randomBelow(100);
}
void serializeField(Filler& filler, BlockHash& value) {
  value.high = filler.mutator.source()();
  value.low = filler.mutator.source()();
}

FuzzOutcome accepted() { return FuzzOutcome{true, {}, {}}; }
FuzzOutcome rejected() { return FuzzOutcome{}; }
FuzzOutcome broken(std::string property, std::string input) {
  return FuzzOutcome{false, std::move(property), std::move(input)};
}
FuzzOutcome rejectedWith(const Error& trouble, const std::string& input) {
  if (trouble.code == Code::done) return broken("a refusal has no code", input);
  if (trouble.subject.empty()) return broken("a refusal names no subject", input);
  if (std::string(codeName(trouble.code)).empty()) return broken("a refusal's code is not known", input);
  return rejected();
}

}  // namespace tt
