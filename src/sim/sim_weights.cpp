/// What the simulator does and checks about versions of weights: see VersionCheck.
#include "actor.hpp"

namespace tt {
namespace {
/// The longest that an order may still begin on older weights once the first newer naming was acknowledged.
constexpr Duration oldWeightsTimeout = 20s;
/// When new weights must be in use at the latest.
constexpr Duration weightsInUseMost = 25s;
/// How long a worker that stood still or started anew has to come to the weights named.
constexpr Duration workerSettles = 10s;
constexpr const char* namingPrefix = "weights ";

std::string secondsText(Duration span) { return std::to_string(std::chrono::duration<double>(span).count()) + " s"; }
}  // namespace

void World::nameWeights(const std::string& weights) {
  change(R"({"weights":{")" + weights + R"(":{"model":")" + modelName + R"("}},"models":{")" + modelName +
             R"(":{"weights":")" + weights + "\"}}}",
         false, namingPrefix + weights + "/" + std::to_string(++changeCount), -1,
         1 + static_cast<int>(random() % static_cast<std::uint64_t>(shape.cores)));
}

/// Learns which weights a log entry names, the first time any core applies it.
void World::watchNaming(const LogEntry& entry) {
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

void World::weightsAcknowledged(const AckRow& ack) {
  if (ack.index == 0) return;
  versions.recordAcknowledgement(ack.index, clock);
  if (!starts(ack.changeId, namingPrefix)) return;
  std::string named = ack.changeId.substr(std::string(namingPrefix).size());
  std::string weights = named.substr(0, named.rfind('/'));
  later(weightsInUseMost, [this, weights, index = ack.index] { checkWorkersWeights(index, weights); });
}

/// Checks, when these weights must be in use, that some worker is ready to run them or newer ones, and, if they are
/// still the newest, that every worker holds them.
void World::checkWorkersWeights(std::uint64_t index, const std::string& named) {
  bool newest = versions.isNewest(modelName, index);
  bool anyAble = false, anyReady = false;
  for (const auto& [name, actor] : actors) {
    if (!starts(name, "worker-") || !actor->alive || leavingAt.count(name) ||
        clock < actor->frozenUntil + workerSettles || clock < actor->startedAt + workerSettles)
      continue;
    auto* worker = keeper(name);
    if (worker->faults.loadFails || worker->faults.silentReports) continue;
    auto superseded = versions.supersededFor(modelName, worker->weights(), clock);
    bool late = superseded && *superseded >= weightsInUseMost;
    anyAble = true;
    anyReady = anyReady || !late;
    if (newest && late)
      violate("weights-late", name + " holds " + worker->weights() + " " + secondsText(*superseded) +
                                  " after newer ones were acknowledged");
  }
  if (anyAble && !anyReady) violate("weights-late", "no worker holds " + named + " or newer weights");
}

void World::watchRun(const std::string& worker, const std::string& requestId) {
  if (!starts(worker, "worker-")) return;
  const std::string& weights = keeper(worker)->weights();
  auto late = versions.supersededFor(modelName, weights, clock);
  if (late && *late > weightsInUseMost) violate("weights-late", requestId + " ran under " + weights + " at " + worker);
}

/// Checks an order as its computing begins at a worker, and again as its first piece comes.
void World::watchBegin(const std::string& worker, const Event& event) {
  if (!starts(worker, "worker-")) return;
  auto space = event.subject.rfind(' ');
  std::string weights = event.subject.substr(space + 1);
  auto late = versions.supersededFor(modelName, weights, clock);
  if (!late || *late <= oldWeightsTimeout) return;
  violate("old-weights-began", baseOrder(event.subject.substr(0, space)) + " " + event.kind + " on " + weights +
                                   " at " + worker + " " + secondsText(*late) + " after newer ones were acknowledged");
}

}  // namespace tt
