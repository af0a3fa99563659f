#pragma once
#include "linearizability.hpp"
#include "messages.hpp"

namespace tt {

class Configuration;

/// What operators' clients are to do together.
struct OperatorPlan {
  /// How many of them there are, each with one change under way, and how many changes they make in all.
  int clients{2}, changes{20};
  /// Of a hundred answers, how many get lost on their way; those changes are sent again through another core.
  int lostResponsePercent{10};
  /// How long one rests between two changes, on average.
  Duration pause{200ms};
  /// Whether all choose the number right after the newest that they know; else some leave gaps.
  bool consecutiveRevisions{false};
  /// Whether they also name weights, each higher than the ones before, and send old ones again late.
  bool announcesWeights{false};
};

/// The operations that operators' clients began in a run, and how each ended.
class OperatorHistory {
 public:
  std::size_t begin(Operation operation);
  void end(std::size_t at, std::int64_t when, const OperatorResponse& response);
  /// Adds a read that was answered.
  void addRead(std::int64_t began, std::int64_t ended, const std::string& core, std::uint64_t revision,
               std::optional<std::uint64_t> digest);
  void addWeightsRead(std::int64_t began, std::int64_t ended, const std::string& core, const std::string& model,
                      std::uint64_t revision);
  const History& recorded() const { return history; }

 private:
  History history;
};

/// How a core's answer reads to the client that asked.
OperationOutcome outcomeOf(Code code);
/// A request as an operation that has begun: the items that it touches are those of the sections that are watched.
Operation operationOf(const OperatorRequest& request);
/// The watched items of a configuration: routes as they are, and whose each key is.
RegisterItems trackedItems(const Configuration& configuration);
RegisterItems trackedItems(const JsonObject& sections);
/// Cuts the number out of weights that are named MODEL/NUMBER; 0 of others.
std::uint64_t weightsNumber(const std::string& weights);

}  // namespace tt
