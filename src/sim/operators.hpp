#pragma once
#include "linearizability.hpp"
#include "messages.hpp"

namespace tt {

class Configuration;

/// The load that a group of operators' clients puts on the fleet.
struct OperatorPlan {
  /// Number of clients, each of which sends one change at a time, and number of changes that all of them make together.
  int clients{2}, changes{20};
  /// Percentage of responses that are lost. A client sends the change again through another core.
  int lostResponsePercent{10};
  /// Average pause of a client between two changes.
  Duration pause{200ms};
  /// Whether each change requests the revision right after the newest one that its client knows. Otherwise some changes
  /// leave gaps between revisions.
  bool consecutiveRevisions{false};
  /// Whether the clients also announce weights with rising numbers, and repeat old announcements late.
  bool announcesWeights{false};
};

/// Records the operations of operators' clients during a run and their outcomes.
class OperatorHistory {
 public:
  /// Adds an operation without an outcome; returns its index.
  std::size_t begin(Operation operation);
  /// Adds the response to the operation at an index. Ignores it if it is not definite or not the first definite one.
  void end(std::size_t index, std::int64_t endTime, const OperatorResponse& response);
  /// Adds a read that returned a revision and, if known, the digest of the items.
  void addRead(std::int64_t began, std::int64_t ended, const std::string& core, std::uint64_t revision,
               std::optional<std::uint64_t> digest);
  /// Adds a read that returned the number of a model's weights.
  void addWeightsRead(std::int64_t began, std::int64_t ended, const std::string& core, const std::string& model,
                      std::uint64_t revision);
  const History& recorded() const { return history; }

 private:
  History history;
};

/// The outcome that a core's response code means to the client.
OperationOutcome outcomeOf(Code code);
/// Converts a request into an operation without an outcome. It contains only the items of the sections that the history
/// check covers: routes and keys.
Operation operationOf(const OperatorRequest& request);
/// The items of a configuration that the history check covers: routes in full, and of keys only their tenants.
RegisterItems trackedItems(const Configuration& configuration);
RegisterItems trackedItems(const JsonObject& sections);
/// Returns the number in a weights name of the form MODEL/NUMBER; 0 for other names.
std::uint64_t weightsNumber(const std::string& weights);

}  // namespace tt
