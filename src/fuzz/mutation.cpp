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
const Strings unusualTokens{
    "",     "null", "true",    "false", "{}",        "[]",      "\"\"",         "[[]]",  "{\"\":{}}", ",",
    ":",    ";",    "\"",      "\\",    "\\u0000",   "\\ud800", "\"a\\u00e9\"", "\r\n",  "\n",        "\t",
    " ",    "#",    "->",      "-",     "=",         ".",       "..",           "/",     "//",        "@",
    "\xff", "\xc3", "chunked", "gzip",  "0\r\n\r\n", "at",      "extra",        "null,", "}",         "]"};
/// Longer texts are cut to this length after a mutation.
constexpr std::size_t maxTextBytes = 64 * 1024;

bool isWordByte(char character) {
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') || character == '_' || character == '-' || character == '.';
}
/// Splits a text into words, quoted strings and single other characters. Returns the offset and length of each.
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

/// Lists a value and all values within it.
void listNodes(Json& value, std::vector<Json*>& nodes) {
  nodes.push_back(&value);
  if (value.is<JsonObject>())
    for (auto& [name, item] : value.get<JsonObject>()) listNodes(item, nodes);
  if (value.is<JsonArray>())
    for (auto& item : value.get<JsonArray>()) listNodes(item, nodes);
}
constexpr double boundaryJsonNumbers[] = {0,    1,    -1,   0.5,  2147483648.0, 4294967296.0, 9007199254740992.0,
                                          1e13, 9e15, 1e18, 1e300};

}  // namespace

std::string Mutator::boundaryNumber() { return pick(boundaryNumbers); }

std::string Mutator::word() {
  static const Strings words{"a", "moss", "mill", "north-a", "10.0.0.1:80", "", "key-a", "{\"routes\":{}}"};
  return pick(words);
}

std::string Mutator::mutateTextOnce(std::string text, const std::string& other) {
  auto tokens = tokensOf(text);
  if (tokens.empty()) return pick(unusualTokens);
  auto [start, size] = tokens[randomBelow(tokens.size())];
  auto [secondStart, secondSize] = tokens[randomBelow(tokens.size())];
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
      return text.erase(std::min(start, secondStart), std::max(start, secondStart) - std::min(start, secondStart));
    case 4:
      return text.insert(start, text.substr(secondStart, secondSize));
    case 5: {
      std::size_t first = std::min(start, secondStart), last = std::max(start, secondStart);
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
      return text.replace(start, size, pick(unusualTokens));
    case 11: {
      std::size_t depth = std::size_t(1) << randomBelow(9);
      bool useArrays = chance(2);
      std::string open, close;
      for (std::size_t level = 0; level < depth; ++level) {
        open += useArrays ? "[" : "{\"a\":";
        close += useArrays ? "]" : "}";
      }
      return text.substr(0, start) + open + text.substr(start, size) + close + text.substr(start + size);
    }
    default:
      return text.substr(0, randomBelow(text.size() + 1));
  }
}

/// Mutates one value of a JSON text; the result is valid JSON. Returns an empty string if the text is not valid JSON.
std::string Mutator::mutateJson(const std::string& text, const std::string& other) {
  auto read = parseJson(text);
  auto otherValue = parseJson(other);
  if (!read) return {};
  std::vector<Json*> nodes, otherNodes;
  listNodes(read.value(), nodes);
  if (otherValue) listNodes(otherValue.value(), otherNodes);
  Json& node = *nodes[randomBelow(nodes.size())];
  if (node.is<double>() && chance(2)) {
    node = Json(boundaryJsonNumbers[randomBelow(std::size(boundaryJsonNumbers))]);
  } else if (node.is<JsonObject>() && !node.get<JsonObject>().empty()) {
    auto& fields = node.get<JsonObject>();
    auto field = std::next(fields.begin(), static_cast<std::ptrdiff_t>(randomBelow(fields.size())));
    auto otherField = std::next(fields.begin(), static_cast<std::ptrdiff_t>(randomBelow(fields.size())));
    if (chance(3))
      fields.erase(field);
    else if (chance(2))
      std::swap(field->second, otherField->second);
    else
      fields[word()] = field->second;
  } else if (node.is<JsonArray>() && !node.get<JsonArray>().empty()) {
    auto& items = node.get<JsonArray>();
    std::size_t at = randomBelow(items.size());
    if (chance(2))
      items.erase(items.begin() + static_cast<std::ptrdiff_t>(at));
    else
      items.push_back(Json(items[at]));
  } else if (node.is<std::string>() && chance(2)) {
    node = Json(word());
  } else if (!otherNodes.empty() && chance(2)) {
    node = Json(*otherNodes[randomBelow(otherNodes.size())]);
  } else {
    node = Json();
  }
  return read.value().serialize();
}

std::string Mutator::mutatedText(const Strings& valid) {
  std::string text = pick(valid);
  if (chance(16)) return text;
  std::uint64_t mutationCount = 1 + (chance(2) ? randomBelow(5) : 0);
  if (chance(2)) {
    for (; mutationCount > 0; --mutationCount)
      if (auto mutated = mutateJson(text, pick(valid)); !mutated.empty()) text = std::move(mutated);
    return text;
  }
  for (std::uint64_t number = 0; number < mutationCount; ++number) {
    text = mutateTextOnce(std::move(text), pick(valid));
    if (text.size() > maxTextBytes) text.resize(maxTextBytes);
  }
  return text;
}

std::string Mutator::mutatedBytes(std::string bytes, const std::string& other) {
  /// Written over four bytes, in case these are a length field.
  static const std::uint32_t sizes[] = {0, 1, 2, 255, 4096, 65535, 0x7fffffff, 0x80000000, 0xffffffff};
  if (chance(16)) return bytes;
  std::uint64_t mutationCount = 1 + (chance(2) ? randomBelow(4) : 0);
  for (std::uint64_t number = 0; number < mutationCount; ++number) {
    if (bytes.empty()) return other;
    std::size_t at = randomBelow(bytes.size()), length = randomBelow(std::min<std::size_t>(bytes.size() - at, 64) + 1);
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
        bytes.erase(at, length);
        break;
      case 4:
        bytes.resize(at);
        break;
      case 5:
        if (bytes.size() >= at + 4) {
          auto size = sizes[randomBelow(std::size(sizes))];
          for (int byte = 0; byte < 4; ++byte) bytes[at + byte] = static_cast<char>(size >> (8 * byte));
        }
        break;
      default:
        if (!other.empty()) {
          std::size_t from = randomBelow(other.size());
          bytes.replace(at, length, other, from, randomBelow(std::min<std::size_t>(other.size() - from, 64) + 1));
        }
    }
  }
  return bytes;
}

void serializeField(RandomFiller& filler, std::string& value) {
  value = filler.mutator.word();
  if (filler.mutator.chance(8)) value += std::string(filler.mutator.randomBelow(600), 'x');
}
void serializeField(RandomFiller& filler, bool& value) { value = filler.mutator.chance(2); }
void serializeField(RandomFiller& filler, int& value) { value = static_cast<int>(filler.mutator.randomBelow(4)); }
void serializeField(RandomFiller& filler, double& value) {
  value = static_cast<double>(filler.mutator.randomBelow(1000)) / 8;
}
void serializeField(RandomFiller& filler, std::int64_t& value) {
  value = static_cast<std::int64_t>(filler.mutator.randomBelow(1u << 30));
}
void serializeField(RandomFiller& filler, Uint64& value) {
  value = filler.mutator.chance(4) ? filler.mutator.source()() : filler.mutator.randomBelow(100);
}
void serializeField(RandomFiller& filler, BlockHash& value) {
  value.high = filler.mutator.source()();
  value.low = filler.mutator.source()();
}

FuzzOutcome accepted() { return FuzzOutcome{true, {}, {}}; }
FuzzOutcome rejected() { return FuzzOutcome{}; }
FuzzOutcome broken(std::string property, std::string input) {
  return FuzzOutcome{false, std::move(property), std::move(input)};
}
FuzzOutcome rejectedWith(const Error& error, const std::string& input) {
  if (error.code == Code::done) return broken("an error has the code for success", input);
  if (error.subject.empty()) return broken("an error has no subject", input);
  if (std::string(codeName(error.code)).empty()) return broken("an error has an unknown code", input);
  return rejected();
}

}  // namespace tt
