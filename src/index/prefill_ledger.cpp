#include "prefill_ledger.hpp"

#include <algorithm>

namespace tt {
namespace {
/// A prompt whose end is not reported is dropped after this time.
constexpr Duration promptTimeout = 6s;
/// How long after prefill a block counts as pending, until the worker's own cache events report it.
constexpr Duration pendingRetention = 2s;
/// A rate is estimated from at least this many tokens, so that network delays weigh little.
constexpr double minObservedTokens = 16000;
/// The weight of a new observation in the moving averages of one worker's rate and of the mean rate.
constexpr double rateSmoothing = 0.3, meanRateSmoothing = 0.05;
constexpr double minTokensPerMs = 0.1, maxTokensPerMs = 100000;
/// An observation is limited to this factor above or below the estimate: messages that were delayed and arrive together
/// make a worker look too fast.
constexpr double maxChangeFactor = 2;
/// Once a worker has this many pending blocks, the expired ones are removed.
constexpr std::size_t pendingCleanupThreshold = 4096;

/// Moves an estimate towards an observation; the first observation is taken as it is.
void smooth(double& estimate, double observed, double smoothing) {
  if (estimate > 0) observed = std::clamp(observed, estimate / maxChangeFactor, estimate * maxChangeFactor);
  estimate = estimate <= 0 ? observed : estimate + (observed - estimate) * smoothing;
}
}  // namespace

void PrefillLedger::removeExpired(WorkerRecord& record, TimePoint now) {
  for (auto prompt = record.prompts.begin(); prompt != record.prompts.end();) {
    if (now - prompt->second.startedAt < promptTimeout) {
      ++prompt;
      continue;
    }
    prompt = record.prompts.erase(prompt);
  }
  if (record.pendingUntil.size() < pendingCleanupThreshold) return;
  for (auto block = record.pendingUntil.begin(); block != record.pendingUntil.end();)
    block = now >= block->second ? record.pendingUntil.erase(block) : std::next(block);
}

void PrefillLedger::addBusyTime(WorkerRecord& record, TimePoint now) {
  if (!record.prompts.empty())
    record.busyMs += std::max(0.0, std::chrono::duration<double, std::milli>(now - record.busyCountedAt).count());
  record.busyCountedAt = now;
}

void PrefillLedger::updateRate(WorkerRecord& record) {
  if (record.prefilledTokens < minObservedTokens) return;
  double observed = std::clamp(record.prefilledTokens / std::max(record.busyMs, 1.0), minTokensPerMs, maxTokensPerMs);
  if (record.tokensPerMs <= 0) record.tokensPerMs = meanTokensPerMs;
  smooth(record.tokensPerMs, observed, rateSmoothing);
  smooth(meanTokensPerMs, observed, meanRateSmoothing);
  record.prefilledTokens = record.busyMs = 0;
}

void PrefillLedger::start(const PrefillStarted& prompt, TimePoint now) {
  auto& record = recordsByWorker[prompt.worker];
  removeExpired(record, now);
  addBusyTime(record, now);
  if (!record.prompts.try_emplace(prompt.sendId, Prompt{std::max(0, prompt.tokens), now}).second) return;
  for (const auto& hash : prompt.hashes) record.pendingUntil[hash] = now + promptTimeout;
}

void PrefillLedger::end(const PrefillEnded& prompt, TimePoint now) {
  auto found = recordsByWorker.find(prompt.worker);
  if (found == recordsByWorker.end()) return;
  auto& record = found->second;
  auto started = record.prompts.find(prompt.sendId);
  if (started == record.prompts.end()) return;
  addBusyTime(record, now);
  if (prompt.read) record.prefilledTokens += started->second.tokens;
  record.prompts.erase(started);
  updateRate(record);
  for (const auto& hash : prompt.hashes) {
    if (prompt.read)
      record.pendingUntil[hash] = now + pendingRetention;
    else
      record.pendingUntil.erase(hash);
  }
}

PrefillLoad PrefillLedger::loadOf(const std::string& worker, TimePoint now) const {
  auto found = recordsByWorker.find(worker);
  if (found == recordsByWorker.end()) return PrefillLoad{0, meanTokensPerMs};
  const auto& record = found->second;
  double tokens = 0;
  for (const auto& [sendId, prompt] : record.prompts)
    if (now - prompt.startedAt < promptTimeout) tokens += prompt.tokens;
  return PrefillLoad{tokens, record.tokensPerMs > 0 ? record.tokensPerMs : meanTokensPerMs};
}

int PrefillLedger::pendingHits(const std::string& worker, const Hashes& hashes, TimePoint now) const {
  auto found = recordsByWorker.find(worker);
  if (found == recordsByWorker.end()) return 0;
  int hits = 0;
  for (const auto& hash : hashes) {
    auto block = found->second.pendingUntil.find(hash);
    if (block == found->second.pendingUntil.end() || now >= block->second) break;
    ++hits;
  }
  return hits;
}

void PrefillLedger::keepOnly(const std::set<std::string>& workers) {
  for (auto record = recordsByWorker.begin(); record != recordsByWorker.end();)
    record = workers.count(record->first) ? std::next(record) : recordsByWorker.erase(record);
}

}  // namespace tt
