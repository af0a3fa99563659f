#include "policy.hpp"

#include <charconv>
#include <cmath>
#include <sstream>

namespace tt {
namespace {
constexpr std::size_t maxPolicyLines = 32;
}

Result<Policy> Policy::read(const std::string& text) {
  Policy policy;
  std::istringstream source(text);
  std::string line;
  int lineNumber = 0;
  while (std::getline(source, line)) {
    ++lineNumber;
    if (auto hash = line.find('#'); hash != std::string::npos) line.resize(hash);
    std::istringstream words(line);
    std::vector<std::string> tokens;
    for (std::string token; words >> token;) tokens.push_back(token);
    if (tokens.empty()) continue;
    auto lineError = [&](const std::string& reason) {
      return makeError(Code::badField, "line " + std::to_string(lineNumber), reason);
    };
    Line parsed;
    std::size_t at = 0;
    if (tokens[0] == "recompute") {
      parsed.action = Line::Action::recompute;
      at = 1;
    } else if (tokens[0] == "fetch") {
      if (tokens.size() < 2 || (tokens[1] != "peer" && tokens[1] != "store"))
        return lineError("expected 'peer' or 'store' after 'fetch'");
      parsed.action = tokens[1] == "peer" ? Line::Action::fetchPeer : Line::Action::fetchStore;
      at = 2;
    } else {
      return lineError("expected 'fetch' or 'recompute', got '" + tokens[0] + "'");
    }
    if (at < tokens.size()) {
      if (tokens[at] != "when") return lineError("expected 'when', got '" + tokens[at] + "'");
      while (true) {
        if (at + 4 > tokens.size()) return lineError("expected a condition: field, sign and number");
        Test test{tokens[at + 1], tokens[at + 2], 0};
        if (test.field != "hits" && test.field != "speed" && test.field != "busyness")
          return lineError("unknown field '" + test.field + "'; known are hits, speed, busyness");
        if (test.sign != ">=" && test.sign != "<=" && test.sign != ">" && test.sign != "<")
          return lineError("unknown sign '" + test.sign + "'");
        const std::string& number = tokens[at + 3];
        auto read = std::from_chars(number.data(), number.data() + number.size(), test.bound);
        if (read.ec != std::errc() || read.ptr != number.data() + number.size() || !std::isfinite(test.bound))
          return lineError("'" + number + "' is not a number");
        parsed.tests.push_back(test);
        at += 4;
        if (at == tokens.size()) break;
        if (tokens[at] != "and") return lineError("expected 'and', got '" + tokens[at] + "'");
      }
    }
    policy.lines.push_back(parsed);
    if (policy.lines.size() > maxPolicyLines) return lineError("a policy may have at most 32 lines");
  }
  return policy;
}

bool Policy::fetches(const FetchCandidate& candidate) const {
  for (const auto& line : lines) {
    if (line.action == Line::Action::fetchPeer && candidate.fromStore) continue;
    if (line.action == Line::Action::fetchStore && !candidate.fromStore) continue;
    bool matches = true;
    for (const auto& test : line.tests) {
      double value = test.field == "hits"    ? candidate.hits
                     : test.field == "speed" ? candidate.speed
                                             : candidate.busyness;
      matches = matches && (test.sign == ">="   ? value >= test.bound
                            : test.sign == "<=" ? value <= test.bound
                            : test.sign == ">"  ? value > test.bound
                                                : value < test.bound);
    }
    if (matches) return line.action != Line::Action::recompute;
  }
  return false;
}

}  // namespace tt
