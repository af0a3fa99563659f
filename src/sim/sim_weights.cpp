/// Announcements of weights, and the checks of which weights are in use afterwards (see VersionCheck).
#include "actor.hpp"

namespace tt {
namespace {
/// How long a request may still begin on older weights after the first newer announcement was acknowledged.
constexpr Duration oldWeightsTimeout = 20s;
/// How long after the acknowledgement new weights must be in use.
constexpr Duration weightsInUseTimeout = 25s;
/// How long a worker that was suspended or restarted may take to load the announced weights.
constexpr Duration workerSettleTime = 10s;
/// The ids of such changes are "weights NAME/NUMBER".
constexpr const char* announcementIdPrefix = "weights ";

std::string secondsText(Duration span) { return std::to_string(std::chrono::duration<double>(span).count()) + " s"; }
}  // namespace

void World::announceWeights(const std::string& weights) {
  submitChange(R"({"weights":{")" + weights + R"(":{"model":")" + modelName + R"("}},"models":{")" + modelName +
                   R"(":{"weights":")" + weights + "\"}}}",
               false, announcementIdPrefix + weights + "/" + std::to_string(++changeCount), -1,
               1 + static_cast<int>(random() % static_cast<std::uint64_t>(shape.cores)));
}

/// Records which weights a log entry announces, when it is first applied by any core.
void World::recordAnnouncement(const LogEntry& entry) {
  if (static_cast<EntryKind>(entry.kind) != EntryKind::change) return;
  auto patch = parseJson(entry.body);
  if (!patch || !patch.value().is<JsonObject>()) return;
  const auto& models = patch.value().get("models");
  if (!models.is<JsonObject>()) return;
  for (const auto& [model, item] : models.get<JsonObject>()) {
    std::string weights = stringOr(item, "weights");
    if (!weights.empty()) versions.recordAnnouncement(model, entry.index, weights);
  }
}

void World::onWeightsAcked(const ChangeRecord& record) {
  if (record.index == 0) return;
  versions.recordAcknowledgement(record.index, clock);
  if (!startsWith(record.changeId, announcementIdPrefix)) return;
  std::string name = record.changeId.substr(std::string(announcementIdPrefix).size());
  std::string weights = name.substr(0, name.rfind('/'));
  schedule(weightsInUseTimeout, [this, weights, index = record.index] { checkWeightsInUse(index, weights); });
}

/// Checks, when these weights must be in use, that some worker has them or newer ones and, if they are still the
/// newest, that every worker has them. Workers that are leaving, were suspended or restarted a short time ago, cannot
/// load weights or do not report do not count.
void World::checkWeightsInUse(std::uint64_t index, const std::string& weights) {
  bool newest = versions.isNewest(modelName, index);
  bool anyCounted = false, anyReady = false;
  for (const auto& [name, actor] : actors) {
    if (!startsWith(name, "worker-") || !actor->alive || leavingSince.count(name) ||
        clock < actor->frozenUntil + workerSettleTime || clock < actor->startedAt + workerSettleTime)
      continue;
    auto* worker = backend(name);
    if (worker->faults.loadFails || worker->faults.silentReports) continue;
    auto superseded = versions.supersededFor(modelName, worker->weights(), clock);
    bool late = superseded && *superseded >= weightsInUseTimeout;
    anyCounted = true;
    anyReady = anyReady || !late;
    if (newest && late)
      reportViolation("weights-late", name + " still has " + worker->weights() + " " + secondsText(*superseded) +
                                          " after newer ones were acknowledged");
  }
  if (anyCounted && !anyReady) reportViolation("weights-late", "no worker has " + weights + " or newer weights");
}

/// Checks the weights of a worker when a request reaches it.
void World::checkRunWeights(const std::string& worker, const std::string& requestId) {
  if (!startsWith(worker, "worker-")) return;
  const std::string& weights = backend(worker)->weights();
  auto superseded = versions.supersededFor(modelName, weights, clock);
  if (superseded && *superseded > weightsInUseTimeout)
    reportViolation("weights-late", requestId + " was started on outdated weights " + weights + " at " + worker);
}

/// Checks the weights of a request when a worker begins to compute it and when it sends the first chunk.
void World::checkStartedWeights(const std::string& worker, const Event& event) {
  if (!startsWith(worker, "worker-")) return;
  auto space = event.subject.rfind(' ');
  std::string weights = event.subject.substr(space + 1);
  auto superseded = versions.supersededFor(modelName, weights, clock);
  if (!superseded || *superseded <= oldWeightsTimeout) return;
  reportViolation("old-weights-began", clientRequestId(event.subject.substr(0, space)) + ": " + event.kind + " on " +
                                           weights + " at " + worker + " " + secondsText(*superseded) +
                                           " after newer ones were acknowledged");
}

}  // namespace tt
