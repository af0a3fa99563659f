#include "policy.hpp"

#include <charconv>
#include <cmath>
#include <sstream>

namespace tt {

Result<Policy> Policy::read(const std::string& text) {
  Policy policy;
  std::istringstream source(text);
  std::string line;
  int lineNumber = 0;
  while (std::getline(source, line)) {
    ++lineNumber;
    if (auto hash = line.find('#'); hash != std::string::npos) line.resize(hash);
    std::istringstream words(line);
    std::vector<std::string> row;
    for (std::string word; words >> word;) row.push_back(word);
    if (row.empty()) continue;
    auto wrong = [&](const std::string& reason) {
      return fault(Code::badField, "line " + std::to_string(lineNumber), reason);
    };
    Line made;
    std::size_t at = 0;
    if (row[0] == "recompute") {
      made.action = Line::Action::recompute;
      at = 1;
    } else if (row[0] == "fetch") {
      if (row.size() < 2 || (row[1] != "peer" && row[1] != "store"))
        return wrong("after 'fetch' comes 'peer' or 'store'");
      made.action = row[1] == "peer" ? Line::Action::fetchPeer : Line::Action::fetchStore;
      at = 2;
    } else {
      return wrong("a line starts with 'fetch' or 'recompute', not '" + row[0] + "'");
    }
    if (at < row.size()) {
      if (row[at] != "when") return wrong("'when' was expected, not '" + row[at] + "'");
      while (true) {
        if (at + 4 > row.size()) return wrong("a condition is a field, a sign and a number");
        Test test{row[at + 1], row[at + 2], 0};
        if (test.field != "hits" && test.field != "speed" && test.field != "busyness")
          return wrong("unknown field '" + test.field + "'; known are hits, speed, busyness");
        if (test.sign != ">=" && test.sign != "<=" && test.sign != ">" && test.sign != "<")
          return wrong("unknown sign '" + test.sign + "'");
        const std::string& number = row[at + 3];
        auto read = std::from_chars(number.data(), number.data() + number.size(), test.bound);
        if (read.ec != std::errc() || read.ptr != number.data() + number.size() || !std::isfinite(test.bound))
          return wrong("'" + number + "' is not a number");
        made.tests.push_back(test);
        at += 4;
        if (at == row.size()) break;
        if (row[at] != "and") return wrong("'and' was expected, not '" + row[at] + "'");
      }
    }
    policy.lines.push_back(made);
    if (policy.lines.size() > 32) return wrong("a policy has 32 lines at most");
  }
  return policy;
}

bool Policy::fetches(const FetchCandidate& facts) const {
  for (const auto& line : lines) {
    if (line.action == Line::Action::fetchPeer && facts.fromStore) continue;
    if (line.action == Line::Action::fetchStore && !facts.fromStore) continue;
    bool fits = true;
    for (const auto& test : line.tests) {
      double value = test.field == "hits" ? facts.hits : test.field == "speed" ? facts.speed : facts.busyness;
      fits = fits && (test.sign == ">="   ? value >= test.bound
                      : test.sign == "<=" ? value <= test.bound
                      : test.sign == ">"  ? value > test.bound
                                          : value < test.bound);
    }
    if (fits) return line.action != Line::Action::recompute;
  }
  return false;
}

}  // namespace tt
