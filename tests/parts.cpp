#include <criterion/criterion.h>

#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "audit.hpp"
#include "cell.hpp"
#include "chart.hpp"
#include "configuration.hpp"
#include "json_bodies.hpp"
#include "manifests.hpp"
#include "proxy_router.hpp"
#include "ring.hpp"
#include "web.hpp"

using namespace tt;

namespace {
/// The files of a ring log in memory.
class MemoryFiles : public RingFiles {
 public:
  explicit MemoryFiles(int files = 4, std::size_t bytes = 16384)
      : rows(static_cast<std::size_t>(files), std::string(bytes, '\0')) {}
  Result<std::string> readAll(int file) override { return rows[static_cast<std::size_t>(file)]; }
  Result<void> write(int file, std::size_t offset, std::string_view bytes) override {
    rows[static_cast<std::size_t>(file)].replace(offset, bytes.size(), bytes);
    return boost::outcome_v2::success();
  }
  Result<void> sync(int) override { return boost::outcome_v2::success(); }
  int count() const override { return static_cast<int>(rows.size()); }
  std::size_t size() const override { return rows[0].size(); }
  std::vector<std::string> rows;
};
LogEntry entryWithIndex(std::uint64_t index) { return LogEntry{index, 1, 1, "body " + std::to_string(index), {}}; }
}  // namespace

Test(ring, keeps_synced_records_while_files_are_reused_many_times) {
  MemoryFiles files;
  {
    auto ring = Ring::open(files);
    cr_assert(bool(ring));
    cr_assert(bool(ring.value()->append({identityRecord("core-x"), voteRecord("accord", Vote{3, "core-y"})})));
    for (std::uint64_t index = 1; index <= 2000; ++index) {
      cr_assert(bool(ring.value()->append({entryRecord(entryWithIndex(index))})));
      if (index % 50 == 0) {
        Snapshot snapshot;
        snapshot.index = index - 10;
        cr_assert(bool(ring.value()->append({snapshotRecord(snapshot)})));
      }
    }
    cr_assert_gt(ring.value()->generation(), 8u, "all files must have been reused");
  }
  auto reopened = Ring::open(files);
  cr_assert(bool(reopened));
  cr_assert_eq(reopened.value()->recoveredState().identity, "core-x");
  cr_assert_eq(reopened.value()->recoveredState().votes.at("accord").term, 3u);
  cr_assert_eq(reopened.value()->recoveredState().snapshot->index, 1990u);
  cr_assert_eq(reopened.value()->recoveredState().entries.back().index, 2000u);
  cr_assert_eq(reopened.value()->recoveredState().entries.size(), 10u);
}

Test(ring, drops_a_torn_tail_and_reports_damage_before_the_tail) {
  MemoryFiles files;
  auto ring = Ring::open(files);
  cr_assert(bool(ring.value()->append({identityRecord("core-x")})));
  for (std::uint64_t index = 1; index <= 20; ++index)
    cr_assert(bool(ring.value()->append({entryRecord(entryWithIndex(index))})));
  MemoryFiles torn = files;
  std::size_t file = 0;
  for (std::size_t at = 0; at < torn.rows.size(); ++at)
    if (torn.rows[at].find("body 20") != std::string::npos) file = at;
  torn.rows[file][torn.rows[file].find("body 20") + 3] ^= 1;
  auto opened = Ring::open(torn);
  cr_assert(bool(opened), "a torn tail is no damage");
  cr_assert(opened.value()->tornTailDropped());
  cr_assert_eq(opened.value()->recoveredState().entries.back().index, 19u);
  cr_assert(bool(opened.value()->append({entryRecord(entryWithIndex(20))})));
  cr_assert_eq(Ring::open(torn).value()->recoveredState().entries.back().index, 20u);

  MemoryFiles damaged = files;
  damaged.rows[file][damaged.rows[file].find("body 7") + 3] ^= 1;
  cr_assert_not(bool(Ring::open(damaged)), "valid records behind a corrupt one are damage");
}

Test(ring, corrupt_bytes_neither_crash_it_nor_return_records_that_were_not_written) {
  MemoryFiles files;
  auto ring = Ring::open(files);
  cr_assert(bool(ring.value()->append({identityRecord("core-x")})));
  for (std::uint64_t index = 1; index <= 150; ++index)
    cr_assert(bool(ring.value()->append({entryRecord(entryWithIndex(index))})));
  std::mt19937_64 randomSource(3);
  int rejected = 0;
  for (int round = 0; round < 400; ++round) {
    MemoryFiles corrupt = files;
    for (int flip = 0; flip < 4; ++flip) {
      auto& file = corrupt.rows[randomSource() % corrupt.rows.size()];
      file[randomSource() % file.size()] = static_cast<char>(randomSource());
    }
    auto opened = Ring::open(corrupt);
    if (!opened) {
      ++rejected;
      continue;
    }
    const auto& held = opened.value()->recoveredState();
    for (const auto& entry : held.entries) cr_assert_eq(entry.body, "body " + std::to_string(entry.index));
  }
  cr_assert_gt(rejected, 20);
}

Test(wire, a_truncated_or_corrupt_frame_is_an_error_or_a_message) {
  NewsMsg news{7, {entryWithIndex(5), entryWithIndex(6)}, {}};
  std::string frame = encodeMessage(news);
  auto read = decodeMessage(frame);
  cr_assert(bool(read));
  cr_assert_eq(std::get<NewsMsg>(read.value()).entries[1].body, "body 6");
  for (std::size_t size = 0; size < frame.size(); ++size) cr_assert_not(bool(decodeMessage(frame.substr(0, size))));
  cr_assert_not(bool(decodeMessage(frame + "x")));
  std::mt19937_64 randomSource(1);
  int decoded = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string corrupt = frame;
    for (int flip = 0; flip < 3; ++flip) corrupt[randomSource() % corrupt.size()] = static_cast<char>(randomSource());
    decoded += bool(decodeMessage(corrupt));
  }
  cr_assert_lt(decoded, 20000);
}

Test(policy, the_first_matching_line_decides_and_errors_name_the_line) {
  auto policy = Policy::read("recompute when hits < 8\nfetch peer when hits >= 8 and speed > 50 # near\nfetch store\n");
  cr_assert(bool(policy));
  cr_assert_not(policy.value().fetches({false, 4, 100, 0}));
  cr_assert(policy.value().fetches({false, 9, 100, 0}));
  cr_assert_not(policy.value().fetches({false, 9, 10, 0}));
  cr_assert(policy.value().fetches({true, 9, 10, 0}));
  auto wrong = Policy::read("fetch peer\nfetch moon\n");
  cr_assert_not(bool(wrong));
  cr_assert_eq(wrong.error().subject, "line 2");
  cr_assert_not(bool(Policy::read("fetch peer when hits >= many")));
  cr_assert_not(bool(Policy::read("fetch peer when hits >= 3 or speed > 1")));
}

Test(modes, only_a_decoder_target_and_a_kv_source_may_be_combined) {
  cr_assert(bool(checkTransferModes({})));
  cr_assert(bool(checkTransferModes({"remote_decoder", "remote_kv_source"})));
  cr_assert(bool(checkTransferModes({"remote_prefiller"})));
  cr_assert_eq(checkTransferModes({"remote_prefiller", "remote_kv_source"}).error().code, Code::badMode);
  cr_assert_eq(checkTransferModes({"remote_prefiller", "remote_decoder"}).error().code, Code::badMode);
  cr_assert_eq(checkTransferModes({"remote_prefiller", "remote_decoder", "remote_kv_source"}).error().code,
               Code::badMode);
  cr_assert_eq(checkTransferModes({"remote_moon"}).error().code, Code::unknownField);
}

Test(blocks, hashes_cover_all_blocks_before_and_differ_by_salt) {
  std::vector<std::string> parts{std::string(1000, 'a'), "tail"};
  auto hashes = hashPrompt(parts, cacheSalt("m", "w1", "shared"));
  cr_assert_eq(hashes.size(), 7u);
  for (std::size_t blocks = 0; blocks <= hashes.size(); ++blocks) {
    auto cut = hashPrompt(truncatePrompt(parts, blocks), cacheSalt("m", "w1", "shared"));
    cr_assert_eq(cut.size(), blocks);
    for (std::size_t at = 0; at < blocks; ++at) cr_assert(cut[at] == hashes[at]);
  }
  cr_assert_not(hashPrompt(parts, cacheSalt("m", "w2", "shared"))[0] == hashes[0]);
  cr_assert_not(hashPrompt(parts, cacheSalt("m", "w1", "own:a"))[0] == hashes[0]);
  cr_assert_not(cacheSalt("a", "bc", "d") == cacheSalt("ab", "c", "d"));
  cr_assert_not(encodePromptParts({"a", "b"}) == encodePromptParts({"a\x1e"
                                                                    "b"}));
}

Test(configuration, a_change_is_applied_completely_or_not_at_all_and_errors_name_the_field) {
  Configuration view;
  std::uint64_t index = 0;
  auto submit = [&](const std::string& text, bool whole) {
    auto patch = view.preparePatch(text, whole);
    if (patch) view.apply(LogEntry{++index, 1, 1, patch.value(), "c" + std::to_string(index)});
    return patch;
  };
  cr_assert(bool(submit(R"({"weights":{"w1":{"model":"m"}},"models":{"m":{"weights":"w1"}},"tenants":{"t":{}},)"
                        R"("keys":{"k":{"tenant":"t","secret":"abcdefgh"}},"policies":{"p":"fetch peer"},)"
                        R"("routes":{"r":{"model":"m","policy":"p","tenants":["t"]}}})",
                        true)));
  cr_assert(view.findKey(sha256Hex("abcdefgh")).has_value());
  cr_assert(view.text().find("abcdefgh") == std::string::npos, "secrets must be hashed");
  cr_assert_eq(submit(R"({"tenants":{"t":null}})", false).error().subject, "keys.k.tenant");
  cr_assert_eq(submit(R"({"routes":{"r":{"model":"x"}}})", false).error().subject, "routes.r.model");
  cr_assert_eq(submit(R"({"routes":{"r":{"modle":"x"}}})", false).error().subject, "routes.r.modle");
  cr_assert_eq(submit(R"({"policies":{"p":"fetch peer\nfetch moon"}})", false).error().subject, "policies.p");
  cr_assert_eq(view.revision(), 1u, "a rejected change must not be applied");
  cr_assert(bool(submit(R"({"keys":{"k":null}})", false)));
  cr_assert_not(view.findKey(sha256Hex("abcdefgh")).has_value());
  Configuration copy;
  cr_assert(bool(copy.installSnapshot(view.snapshot())));
  cr_assert_eq(copy.text(), view.text());
  cr_assert_eq(copy.revisionOfChange("c2").value(), 2u);
}

Test(configuration, a_corrupt_change_is_rejected_with_a_field_or_can_be_applied) {
  std::string good =
      R"({"weights":{"w1":{"model":"m"}},"models":{"m":{"weights":"w1"}},"tenants":{"t":{"isolated":true}},)"
      R"("keys":{"k":{"tenant":"t","secret":"abcdefgh"}},"policies":{"p":"fetch peer when hits > 3"},"routes":{"r":{"model":"m"}}})";
  std::mt19937_64 randomSource(4);
  int rejected = 0;
  for (int round = 0; round < 5000; ++round) {
    std::string corrupt = good;
    for (int flip = 0; flip < 2; ++flip)
      corrupt[randomSource() % corrupt.size()] = static_cast<char>(randomSource() % 128);
    Configuration view;
    auto patch = view.preparePatch(corrupt, round % 2 == 0);
    if (!patch) {
      cr_assert_not(patch.error().subject.empty());
      ++rejected;
      continue;
    }
    view.apply(LogEntry{1, 1, 1, patch.value(), {}});
    Configuration copy;
    cr_assert(bool(copy.installSnapshot(view.snapshot())));
    cr_assert_eq(copy.text(), view.text());
  }
  cr_assert_gt(rejected, 500);
}

Test(manifests, become_routes_and_unsupported_fields_are_rejected_by_name) {
  std::string good =
      R"({"apiVersion":"gateway.networking.k8s.io/v1","kind":"HTTPRoute","metadata":{"name":"r","annotations":)"
      R"({"trouttally/policy":"p"}},"spec":{"rules":[{"backendRefs":[{"name":"m"}]}]}})";
  auto patch = patchFromManifests(good);
  cr_assert(bool(patch));
  cr_assert_eq(patch.value(), R"({"routes":{"r":{"model":"m","policy":"p"}}})");
  auto list = patchFromManifests(R"({"kind":"List","items":[)" + good + "]}");
  cr_assert(bool(list));
  cr_assert_eq(list.value(), patch.value());
  cr_assert_eq(patchFromManifests(R"({"kind":"List","items":[)" + good + "," + good + "]}").error().subject,
               "items[1].metadata.name");
  auto with = [&](const std::string& from, const std::string& to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return patchFromManifests(text).error().subject;
  };
  cr_assert_eq(with(R"("rules":)", R"("hostnames":["h"],"rules":)"), "spec.hostnames");
  cr_assert_eq(with(R"({"backendRefs")", R"({"filters":[],"backendRefs")"), "spec.rules[0].filters");
  cr_assert_eq(with(R"("name":"m")", R"("name":"m","weight":3)"), "spec.rules[0].backendRefs[0].weight");
  cr_assert_eq(with("HTTPRoute", "TLSRoute"), "kind");
}

/// The simulator could not replay logic that reads a clock or random device itself.
Test(logic, reads_no_clock_or_random_device_itself) {
  for (const char* name :
       {"consensus/election", "consensus/replicated_log", "consensus/membership", "consensus/snapshot",
        "consensus/change_requests", "index/cell", "cluster/core", "cluster/core_operators", "cluster/core_membership",
        "cluster/core_report", "agent/agent", "routing/proxy_router", "config/configuration", "config/item_readers",
        "config/patch_checks", "config/patch_shape", "sim/standin", "storage/ring", "base/effects"}) {
    std::string path = std::string(TT_SOURCE "/src/") + name + ".cpp", text;
    FILE* file = std::fopen(path.c_str(), "r");
    cr_assert(file != nullptr);
    char bytes[4096];
    while (std::size_t got = std::fread(bytes, 1, sizeof bytes, file)) text.append(bytes, got);
    std::fclose(file);
    for (const char* word : {"system_clock", "Clock::now", "gettimeofday", "time(nullptr)", "random_device"})
      cr_assert(text.find(word) == std::string::npos, "%s reads %s", name, word);
  }
}

Test(contract, a_corrupt_client_request_is_rejected_with_a_field_or_is_valid) {
  std::string good = R"({"route":"r","model":"m","parts":["a","b"],"repeatable":true,"maxTokens":4})";
  cr_assert(bool(readCallerOrder(good)));
  cr_assert_eq(readCallerOrder(R"({"route":"r","model":"m","parts":["a"],"repeat":true})").error().subject, "repeat");
  cr_assert_eq(readCallerOrder(R"({"route":"r","model":"m","parts":["a",1]})").error().subject, "parts[1]");
  cr_assert_eq(readCallerOrder(R"({"route":"r","model":"m"})").error().subject, "parts");
  cr_assert_eq(readCallerOrder("{").error().code, Code::badJson);
  cr_assert_eq(readCallerOrder(std::string(100000, '[')).error().code, Code::badJson);
  cr_assert_eq(readCallerOrder(std::string((1 << 20) + 1, ' ')).error().code, Code::tooLarge);
  std::mt19937_64 randomSource(2);
  int rejected = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string corrupt = good;
    corrupt[randomSource() % corrupt.size()] = static_cast<char>(randomSource());
    auto read = readCallerOrder(corrupt);
    if (!read) {
      cr_assert_not(read.error().subject.empty());
      ++rejected;
    }
  }
  cr_assert_gt(rejected, 1000);
}

Test(codes, the_table_in_the_docs_equals_the_one_in_the_code) {
  std::string text;
  if (FILE* file = std::fopen(TT_SOURCE "/docs/codes.md", "r")) {
    char bytes[4096];
    while (std::size_t got = std::fread(bytes, 1, sizeof bytes, file)) text.append(bytes, got);
    std::fclose(file);
  }
  cr_assert(text.find(codeTable()) != std::string::npos,
            "docs/codes.md must hold the table that trouttally-sim --codes prints");
}

Test(watch, agents_follow_only_lower_ranks_so_no_cycle_can_form) {
  Strings agents;
  for (int number = 0; number < 90; ++number) agents.push_back("127.0.0.1:" + std::to_string(9000 + number));
  int maxDepth = 0;
  for (const auto& agent : agents) {
    std::string current = agent;
    int depth = 0;
    for (auto upstreams = selectUpstreams(current, agents, 3); !upstreams.empty();
         upstreams = selectUpstreams(current, agents, 3)) {
      cr_assert_lt(rendezvousHash("rank", upstreams[0]), rendezvousHash("rank", current));
      current = upstreams[0];
      ++depth;
    }
    maxDepth = std::max(maxDepth, depth);
  }
  cr_assert_leq(maxDepth, 9, "the depth of 90 agents must be logarithmic");
  cr_assert_geq(maxDepth, 1);
}

Test(configuration, reports_up_to_which_revision_change_ids_are_evicted) {
  Configuration view;
  auto change = [&](std::uint64_t number) {
    view.apply(LogEntry{number, 1, static_cast<int>(EntryKind::change), "{\"weights\":{\"w\":{\"model\":\"m\"}}}",
                        "id-" + std::to_string(number)});
  };
  for (std::uint64_t number = 1; number <= 4095; ++number) change(number);
  cr_assert_eq(view.lastEvictedRevision(), 0u);
  for (std::uint64_t number = 4096; number <= 4200; ++number) change(number);
  cr_assert_eq(view.lastEvictedRevision(), 4200u - 4096u);
  cr_assert_not(view.revisionOfChange("id-104").has_value());
  cr_assert_eq(*view.revisionOfChange("id-105"), 105u);
  Configuration restored;
  cr_assert(bool(restored.installSnapshot(view.snapshot())));
  cr_assert_eq(restored.lastEvictedRevision(), view.lastEvictedRevision(),
               "a snapshot must keep the bound of evicted ids");
}

/// Leases, freshness and the order of machine lists depend on the steady clock only, so that a jump of the wall clock
/// cannot affect them.
Test(clocks, only_log_messages_use_the_wall_clock) {
  std::filesystem::path folder = std::filesystem::path(TT_SOURCE) / "src";
  std::size_t checkedFiles = 0;
  for (const auto& file : std::filesystem::recursive_directory_iterator(folder)) {
    if (!file.is_regular_file()) continue;
    std::ifstream source(file.path());
    std::stringstream text;
    text << source.rdbuf();
    ++checkedFiles;
    if (file.path().filename() == "log.cpp") continue;
    for (const char* word : {"system_clock", "gettimeofday", "time(nullptr)", "CLOCK_REALTIME"})
      cr_assert_eq(text.str().find(word), std::string::npos, "%s uses %s", file.path().filename().c_str(), word);
  }
  cr_assert_gt(checkedFiles, 40u);
}

namespace {
std::string callerLine(const std::string& intent, const std::string& verdict, const std::string& text, double sentAt,
                       bool repeatable = false) {
  JsonObject row;
  row["intent"] = Json(intent);
  row["mark"] = Json(intent + "-1");
  row["kind"] = Json(std::string("reminder"));
  row["key"] = Json(std::string("key-a"));
  row["verdict"] = Json(verdict);
  row["text"] = Json(text);
  row["repeatable"] = Json(repeatable);
  row["tokens"] = Json(2.0);
  row["sentAt"] = Json(std::to_string(static_cast<std::int64_t>(sentAt * 1e9)));
  row["lastAt"] = Json(std::to_string(static_cast<std::int64_t>((sentAt + 0.5) * 1e9)));
  return Json(row).serialize();
}
std::string workerLine(const std::string& worker, const std::string& event, const std::string& subject, double at,
                       double number = 0) {
  JsonObject row;
  row["at"] = Json(std::to_string(static_cast<std::int64_t>(at * 1e9)));
  row["worker"] = Json(worker);
  row["event"] = Json(event);
  row["subject"] = Json(subject);
  row["number"] = Json(number);
  return Json(row).serialize();
}
std::string eventLine(const std::string& event, const std::string& name, double at) {
  return "{\"at\":\"" + std::to_string(static_cast<std::int64_t>(at * 1e9)) + "\",\"event\":\"" + event +
         "\",\"name\":\"" + name + "\"}";
}
std::string namedLine(const std::string& weights, int revision, double at) {
  JsonObject row;
  row["at"] = Json(std::to_string(static_cast<std::int64_t>(at * 1e9)));
  row["event"] = Json(std::string("named"));
  row["name"] = Json(weights);
  row["change"] = Json("name-" + weights);
  row["revision"] = Json(static_cast<double>(revision));
  return Json(row).serialize();
}
/// The records of a run without violations.
AuditRecords validRecords() {
  AuditRecords records;
  records.isolated = {"tenant-b"};
  for (int number = 0; number < 100; ++number) {
    std::string intent = "mark-1-" + std::to_string(number);
    records.callers.push_back(callerLine(intent, "done", "worker-1:1 worker-1:2 ", 10 + number * 0.01));
    records.workers.push_back(workerLine(
        "worker-1", "ran for", "p/" + std::to_string(number) + ".1 w1 tenant-a " + intent + "-1", 10 + number * 0.01));
  }
  records.workers.push_back(workerLine("worker-1", "move ran", "p/m1", 11, 8));
  records.workers.push_back(workerLine("worker-1", "pulled", "p/m1", 11.1, 8));
  records.workers.push_back(workerLine("worker-1", "command taken", "worker-1 core-1 drain", 11, 3));
  records.workers.push_back(workerLine("worker-1", "cross tenant", "tenant-a>tenant-c", 11));
  return records;
}
}  // namespace

Test(audit, finds_no_violation_in_a_valid_run) {
  auto result = auditRecords(validRecords());
  cr_assert_eq(result.violationCount(), 0);
  cr_assert_eq(result.requests, 100);
  cr_assert_eq(result.runs, 100);
}

/// Each invariant that the audit checks needs an injected violation here, which shows that the check can fail.
Test(audit, finds_each_injected_violation_and_no_other) {
  using Injection = std::function<void(AuditRecords&)>;
  std::map<std::string, Injection> injections{
      {"runs-twice",
       [](AuditRecords& records) {
         records.workers.push_back(workerLine("worker-2", "ran for", "p/5.1 w1 tenant-a mark-1-5-1", 12));
       }},
      {"not-run-but-ran",
       [](AuditRecords& records) {
         records.callers.push_back(callerLine("mark-1-x", "not run", "", 12));
         records.workers.push_back(workerLine("worker-2", "ran for", "p/x.1 w1 tenant-a mark-1-x-1", 12));
       }},
      {"stitched",
       [](AuditRecords& records) {
         records.callers.push_back(callerLine("mark-1-x", "done", "worker-1:1 worker-2:2 ", 12));
         records.workers.push_back(workerLine("worker-2", "ran for", "p/x.1 w1 tenant-a mark-1-x-1", 12));
       }},
      {"other-weights",
       [](AuditRecords& records) {
         records.workers.push_back(workerLine("worker-2", "cross weights", "p/1.1 w1 w2", 12));
       }},
      {"other-tenant",
       [](AuditRecords& records) {
         records.workers.push_back(workerLine("worker-2", "cross tenant", "tenant-b>tenant-a", 12));
       }},
      {"fetch-beyond",
       [](AuditRecords& records) { records.workers.push_back(workerLine("worker-1", "pulled", "p/m1", 12, 9)); }},
      {"revoked-works",
       [](AuditRecords& records) {
         records.events.push_back(eventLine("revoked", "key-a", 14));
         records.callers.push_back(callerLine("mark-1-x", "failed", "worker-1:1 ", 18.9));
       }},
      {"leaving-used",
       [](AuditRecords& records) {
         records.events.push_back(eventLine("leaving", "worker-2", 8));
         records.events.push_back(eventLine("staying", "worker-2", 13));
         records.workers.push_back(workerLine("worker-2", "ran for", "p/x.1 w1 tenant-a mark-1-x-1", 12));
         records.workers.push_back(workerLine("worker-2", "ran for", "p/y.1 w1 tenant-a mark-1-y-1", 14));
       }},
      {"weights-late",
       [](AuditRecords& records) {
         records.events.push_back(namedLine("w2", 2, 9));
         records.workers.push_back(workerLine("worker-2", "ran for", "p/x.1 w1 tenant-a mark-1-x-1", 34.5));
       }},
      {"old-weights-began",
       [](AuditRecords& records) {
         records.events.push_back(namedLine("w2", 2, 9));
         records.events.push_back(namedLine("w3", 3, 20));
         records.workers.push_back(workerLine("worker-2", "order began", "p/x.1 w1", 28.9));
         records.workers.push_back(workerLine("worker-2", "order began", "p/y.1 w1", 29.1));
       }},
      {"too-many-retries",
       [](AuditRecords& records) {
         for (int number = 0; number < 25; ++number)
           records.workers.push_back(
               workerLine("worker-2", "worker denied", "p/" + std::to_string(number) + ".2", 10.9, 508));
       }},
      {"two-holders", [](AuditRecords& records) {
         records.workers.push_back(workerLine("worker-1", "command taken", "worker-1 core-2 load", 12, 3));
       }}};
  for (const auto& line : auditedInvariants()) {
    cr_assert(injections.count(line) > 0, "no injection for %s", line.c_str());
    auto records = validRecords();
    injections[line](records);
    auto result = auditRecords(records);
    for (const auto& [found, rows] : result.violations)
      if (!rows.empty())
        cr_expect_eq(found, line, "injected %s, found %s: %s", line.c_str(), found.c_str(), rows.front().c_str());
    cr_expect_gt(result.violationCount(), 0, "%s was injected and not found", line.c_str());
  }
}

Test(style, comment_lines_in_src_are_doc_comments) {
  std::size_t checkedFiles = 0;
  for (const auto& file : std::filesystem::recursive_directory_iterator(std::filesystem::path(TT_SOURCE) / "src")) {
    if (!file.is_regular_file()) continue;
    std::ifstream source(file.path());
    ++checkedFiles;
    for (std::string line; std::getline(source, line);) {
      auto start = line.find_first_not_of(' ');
      if (start == std::string::npos || line.compare(start, 2, "//") != 0) continue;
      cr_assert_eq(line.compare(start, 3, "///"), 0, "%s: %s", file.path().filename().c_str(), line.c_str());
    }
  }
  cr_assert_gt(checkedFiles, 40u);
}

namespace {
/// A worker that reads a number of bytes, writes a response and closes the connection.
class ClosingWorker {
 public:
  ClosingWorker(std::size_t readBytes, std::string answer)
      : acceptor(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    thread = std::thread([this, readBytes, answer = std::move(answer)] {
      asio::error_code error;
      asio::ip::tcp::socket socket(io);
      acceptor.accept(socket, error);
      if (error) return;
      std::string bytes(readBytes, ' ');
      if (readBytes) asio::read(socket, asio::buffer(bytes), error);
      if (!answer.empty()) asio::write(socket, asio::buffer(answer), error);
      socket.close(error);
    });
  }
  ~ClosingWorker() { thread.join(); }
  std::string url() { return "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/v1/orders"; }

 private:
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor;
  std::thread thread;
};
WorkerEnd callClosingWorker(const std::string& url) {
  WebClient calls;
  WebCall call;
  call.method = "POST";
  call.url = url;
  call.body = std::string(300000, 'x');
  call.noResend = true;
  call.totalTimeout = 10s;
  return workerEndOfCall("send", callAndWait(calls, call));
}
}  // namespace

/// A request that counts as not sent or as rejected is sent to another worker, even if it must run at most once. So it
/// must count as broken if the connection breaks at any other point.
Test(web, a_request_counts_as_not_sent_or_rejected_only_if_that_is_certain) {
  std::string unreachable;
  {
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    unreachable = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/v1/orders";
  }
  cr_expect_eq(callClosingWorker(unreachable).outcome, static_cast<int>(AttemptOutcome::brokenBeforeSend),
               "no process listens there");
  std::string rejection = writeWorkerEnd(
      WorkerEnd{"send", static_cast<int>(AttemptOutcome::denied), static_cast<int>(Code::workerFull), 0, 0, 0});
  auto answer = [&](const std::string& body, std::size_t claimed) {
    return "HTTP/1.1 503 Busy\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(claimed) +
           "\r\n\r\n" + body;
  };
  struct Case {
    const char* about;
    std::size_t readBytes;
    std::string answer;
    AttemptOutcome wanted;
  };
  std::vector<Case> cases{
      {"closed before anything was read", 0, "", AttemptOutcome::broken},
      {"closed within the request head", 10, "", AttemptOutcome::broken},
      {"closed before the last byte of the request", 200000, "", AttemptOutcome::broken},
      {"closed after the last byte of the request", 300100, "", AttemptOutcome::broken},
      {"a truncated rejection", 300100, answer(rejection.substr(0, 5), rejection.size()), AttemptOutcome::broken},
      {"a complete rejection", 300100, answer(rejection, rejection.size()), AttemptOutcome::denied}};
  for (auto& row : cases) {
    ClosingWorker worker(row.readBytes, row.answer);
    auto end = callClosingWorker(worker.url());
    cr_expect_eq(end.outcome, static_cast<int>(row.wanted), "%s", row.about);
    if (row.wanted == AttemptOutcome::denied) cr_expect_eq(end.code, static_cast<int>(Code::workerFull));
  }
}
