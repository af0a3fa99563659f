#include "prefill_ledger.hpp"

#include <algorithm>

namespace tt {
namespace {
/// A prompt whose end nobody told of is forgotten after this long.
constexpr Duration promptKept = 6s;
/// How long after its reading a block counts as kept before the worker's own events tell of it.
constexpr Duration pendingKept = 2s;
/// An estimate is made from at least so many tokens, so that the way there and back weighs little.
constexpr double leastObservedTokens = 16000;
constexpr double observationShare = 0.3, meanShare = 0.05;
constexpr double leastTokensPerMs = 0.1, mostTokensPerMs = 100000;
/// By what factor one observation may differ from what was known, so that messages that were held up and came all at
/// once do not count for much.
constexpr double mostChange = 2;
constexpr std::size_t pendingMost = 4096;

void follow(double& estimate, double observed, double share) {
  if (estimate > 0) observed = std::clamp(observed, estimate / mostChange, estimate * mostChange);
  estimate = estimate <= 0 ? observed : estimate + (observed - estimate) * share;
}
}  // namespace

void PrefillLedger::dropOverdue(Row& row, TimePoint now) {
  for (auto prompt = row.prompts.begin(); prompt != row.prompts.end();) {
    if (now - prompt->second.startedAt < promptKept) {
      ++prompt;
      continue;
    }
    prompt = row.prompts.erase(prompt);
  }
  if (row.pendingUntil.size() < pendingMost) return;
  for (auto block = row.pendingUntil.begin(); block != row.pendingUntil.end();)
    block = now >= block->second ? row.pendingUntil.erase(block) : std::next(block);
}

void PrefillLedger::countBusy(Row& row, TimePoint now) {
  if (!row.prompts.empty())
    row.busyMs += std::max(0.0, std::chrono::duration<double, std::milli>(now - row.countedAt).count());
  row.countedAt = now;
}

void PrefillLedger::learn(Row& row) {
  if (row.readTokens < leastObservedTokens) return;
  double observed = std::clamp(row.readTokens / std::max(row.busyMs, 1.0), leastTokensPerMs, mostTokensPerMs);
  if (row.tokensPerMs <= 0) row.tokensPerMs = meanTokensPerMs;
  follow(row.tokensPerMs, observed, observationShare);
  follow(meanTokensPerMs, observed, meanShare);
  row.readTokens = row.busyMs = 0;
}

void PrefillLedger::start(const PrefillStarted& prompt, TimePoint now) {
  auto& row = rows[prompt.worker];
  dropOverdue(row, now);
  countBusy(row, now);
  if (!row.prompts.try_emplace(prompt.sendId, Prompt{std::max(0, prompt.tokens), now}).second) return;
  for (const auto& hash : prompt.hashes) row.pendingUntil[hash] = now + promptKept;
}

void PrefillLedger::end(const PrefillEnded& prompt, TimePoint now) {
  auto found = rows.find(prompt.worker);
  if (found == rows.end()) return;
  auto& row = found->second;
  auto place = row.prompts.find(prompt.sendId);
  if (place == row.prompts.end()) return;
  countBusy(row, now);
  if (prompt.read) row.readTokens += place->second.tokens;
  row.prompts.erase(place);
  learn(row);
  for (const auto& hash : prompt.hashes) {
    if (prompt.read)
      row.pendingUntil[hash] = now + pendingKept;
    else
      row.pendingUntil.erase(hash);
  }
}

PrefillLoad PrefillLedger::loadOf(const std::string& worker, TimePoint now) const {
  auto found = rows.find(worker);
  if (found == rows.end()) return PrefillLoad{0, meanTokensPerMs};
  const auto& row = found->second;
  double tokens = 0;
  for (const auto& [sendId, prompt] : row.prompts)
    if (now - prompt.startedAt < promptKept) tokens += prompt.tokens;
  return PrefillLoad{tokens, row.tokensPerMs > 0 ? row.tokensPerMs : meanTokensPerMs};
}

int PrefillLedger::pendingHits(const std::string& worker, const Hashes& hashes, TimePoint now) const {
  auto found = rows.find(worker);
  if (found == rows.end()) return 0;
  int hits = 0;
  for (const auto& hash : hashes) {
    auto block = found->second.pendingUntil.find(hash);
    if (block == found->second.pendingUntil.end() || now >= block->second) break;
    ++hits;
  }
  return hits;
}

void PrefillLedger::keepOnly(const std::set<std::string>& workers) {
  for (auto row = rows.begin(); row != rows.end();) row = workers.count(row->first) ? std::next(row) : rows.erase(row);
}

}  // namespace tt
