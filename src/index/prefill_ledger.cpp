#include "prefill_ledger.hpp"

#include <algorithm>

namespace tt {
namespace {
/// A prompt whose end nobody told of is forgotten after this long.
constexpr Span promptKept = 6s;
/// How long after its reading a block counts as kept before the worker's own events tell of it.
constexpr Span pendingKept = 2s;
/// Shorter queues say more of the way there and back than of how fast a worker reads.
constexpr double leastObservedTokens = 4000;
constexpr double observationShare = 0.2, meanShare = 0.05;
constexpr double leastTokensPerMs = 0.1, mostTokensPerMs = 100000;
constexpr std::size_t pendingMost = 4096;

void learn(double& estimate, double observed, double share) {
  estimate = estimate <= 0 ? observed : estimate + (observed - estimate) * share;
}
}  // namespace

void PrefillLedger::dropOverdue(Row& row, Moment now) {
  for (auto prompt = row.prompts.begin(); prompt != row.prompts.end();) {
    if (now - prompt->second.startedAt < promptKept) {
      ++prompt;
      continue;
    }
    row.tokens -= prompt->second.tokens;
    prompt = row.prompts.erase(prompt);
  }
  if (row.pendingUntil.size() < pendingMost) return;
  for (auto block = row.pendingUntil.begin(); block != row.pendingUntil.end();)
    block = now >= block->second ? row.pendingUntil.erase(block) : std::next(block);
}

void PrefillLedger::start(const PrefillStarted& prompt, Moment now) {
  auto& row = rows[prompt.worker];
  dropOverdue(row, now);
  int tokens = std::max(0, prompt.tokens);
  auto [place, fresh] = row.prompts.try_emplace(prompt.sendId);
  if (!fresh) return;
  row.tokens += tokens;
  place->second = Prompt{tokens, row.tokens, now};
  for (const auto& hash : prompt.hashes) row.pendingUntil[hash] = now + promptKept;
}

void PrefillLedger::end(const PrefillEnded& prompt, Moment now) {
  auto found = rows.find(prompt.worker);
  if (found == rows.end()) return;
  auto& row = found->second;
  auto place = row.prompts.find(prompt.sendId);
  if (place == row.prompts.end()) return;
  Prompt ended = place->second;
  row.prompts.erase(place);
  row.tokens = row.prompts.empty() ? 0 : std::max(0.0, row.tokens - ended.tokens);
  for (const auto& hash : prompt.hashes) {
    if (prompt.read)
      row.pendingUntil[hash] = now + pendingKept;
    else
      row.pendingUntil.erase(hash);
  }
  double elapsedMs = std::chrono::duration<double, std::milli>(now - ended.startedAt).count();
  if (!prompt.read || ended.tokensAhead < leastObservedTokens || elapsedMs <= 0) return;
  double observed = std::clamp(ended.tokensAhead / elapsedMs, leastTokensPerMs, mostTokensPerMs);
  learn(row.tokensPerMs, observed, observationShare);
  learn(meanTokensPerMs, observed, meanShare);
}

PrefillLoad PrefillLedger::loadOf(const std::string& worker, Moment now) const {
  auto found = rows.find(worker);
  if (found == rows.end()) return PrefillLoad{0, meanTokensPerMs};
  const auto& row = found->second;
  double tokens = 0;
  for (const auto& [sendId, prompt] : row.prompts)
    if (now - prompt.startedAt < promptKept) tokens += prompt.tokens;
  return PrefillLoad{tokens, row.tokensPerMs > 0 ? row.tokensPerMs : meanTokensPerMs};
}

int PrefillLedger::pendingHits(const std::string& worker, const Hashes& hashes, Moment now) const {
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
