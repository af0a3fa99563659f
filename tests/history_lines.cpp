#include "history_lines.hpp"

#include <criterion/criterion.h>

#include <random>

#include "operators.hpp"

using namespace tt;

namespace {
std::vector<std::string> soundLines() {
  Operation change;
  change.client = "operator-1";
  change.through = "127.0.0.1:1";
  change.began = 1000;
  change.ended = 2000;
  change.changeId = "one";
  change.base = 3;
  change.valid = true;
  change.items = {ItemChange{"routes.a", "{\"model\":\"m\"}"}, ItemChange{"routes.b", std::nullopt}};
  change.outcome = OperationOutcome::taken;
  change.resultRevision = 4;
  Operation again = change;
  again.ended.reset();
  again.outcome = OperationOutcome::unclear;
  again.resultRevision = 0;
  Operation read;
  read.client = "reader";
  read.kind = OperationKind::readConfiguration;
  read.began = 3000;
  read.ended = 3001;
  read.outcome = OperationOutcome::seen;
  read.resultRevision = 4;
  read.resultDigest = contentDigest({{"routes.a", "{\"model\":\"m\"}"}});
  return {writeInitial(3, {{"routes.b", "{\"model\":\"m\"}"}}), writeOperation(change), writeOperation(again),
          writeOperation(read)};
}
}  // namespace

Test(history_lines, are_read_back_as_they_were_written) {
  auto lines = soundLines();
  auto history = readHistory(lines);
  cr_assert(history, "%s", history.error().subject.c_str());
  cr_expect_eq(history.value().initialRevision, 3u);
  cr_assert_eq(history.value().operations.size(), 3u);
  for (std::size_t at = 0; at < 3; ++at) {
    std::string written = writeOperation(history.value().operations[at]);
    cr_expect_str_eq(written.c_str(), lines[at + 1].c_str());
  }
  auto verdict = checkHistory(history.value());
  cr_expect(verdict.linearizable, "%s", verdict.explanation.c_str());
  history.value().operations.back().resultRevision = 3;
  cr_expect_not(checkHistory(history.value()).linearizable);
}

Test(history_lines, a_malformed_line_is_named) {
  auto lines = soundLines();
  for (const char* bad : {"", "x", "[]", "{}", R"({"kind":"change","outcome":"taken","client":"a","began":"1"})",
                          R"({"kind":"change","outcome":"seen","client":"a","began":"one","ended":"2"})",
                          R"({"kind":"change","outcome":"perhaps","client":"a","began":"1","ended":"2"})",
                          R"({"kind":"initial","revision":-1,"items":[]})",
                          R"({"kind":"initial","revision":1,"items":[{"value":"x"}]})"}) {
    auto bent = lines;
    bent[2] = bad;
    auto history = readHistory(bent);
    cr_assert_not(history, "%s was taken", bad);
    cr_expect_neq(history.error().subject.find("line 3"), std::string::npos, "%s: %s", bad,
                  history.error().subject.c_str());
  }
}

Test(history_lines, bent_bytes_are_a_fault_or_a_history) {
  std::mt19937_64 random(5);
  for (int round = 0; round < 4000; ++round) {
    auto lines = soundLines();
    auto& line = lines[random() % lines.size()];
    for (std::uint64_t flips = 1 + random() % 4; flips > 0; --flips)
      line[random() % line.size()] = static_cast<char>(random() % 256);
    if (auto history = readHistory(lines)) (void)checkHistory(history.value());
  }
}

Test(history_lines, a_request_touches_the_watched_items_only) {
  OperatorRequest request{};
  request.body =
      R"({"routes":{"a":{"model":"m"},"b":null},"keys":{"k":{"tenant":"t","secret":"s"}},"models":{"m":{}}})";
  request.ifRevision = 7;
  request.toRevision = 9;
  auto operation = operationOf(request);
  cr_expect_eq(operation.base.value_or(0), 7u);
  cr_expect_eq(operation.revision, 9u);
  RegisterItems before{{"routes.b", "{}"}, {"routes.c", "{}"}};
  RegisterItems wanted{{"routes.a", R"({"model":"m"})"}, {"routes.c", "{}"}, {"keys.k", R"({"tenant":"t"})"}};
  cr_expect(itemsAfter(before, operation) == wanted);
}
