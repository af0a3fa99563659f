#pragma once
#include <optional>

#include "base.hpp"
#include "json.hpp"

namespace tt {

/// The records of a run, as lines of JSON: the requests as the load generators saw them, the events of the workers, and
/// the actions of operators and of the platform.
struct AuditRecords {
  std::vector<std::string> callers, workers, events;
  /// Tenants whose cached blocks must not be shared with other tenants.
  std::set<std::string> isolated;
  /// How long after the acknowledgement of newer weights requests may start on older ones.
  Duration oldWeightsTimeout{20s};
};
/// What an audit found: the violations of each invariant, and how much was examined.
struct AuditResult {
  std::map<std::string, std::vector<std::string>> violations;
  std::int64_t requests{0}, runs{0}, retries{0}, unreadable{0};
  /// The requests that workers started, and the announcements of weights that were acknowledged.
  std::int64_t startedRequests{0}, announcements{0};
  /// The longest time after the acknowledgement of newer weights at which a request started on older ones.
  std::optional<Duration> latestStartOnOldWeights;
  /// The highest ratio of retries to first attempts in any window.
  double worstRetryRatio{0};
  std::int64_t violationCount() const;
};
/// Checks the records against all invariants. Times in the records are nanoseconds of the steady clock of the one
/// machine that all processes ran on.
AuditResult auditRecords(const AuditRecords& records);
/// The names of the invariants, in the order in which they are reported.
const std::vector<std::string>& auditedInvariants();
/// Whether a text is the complete output of one run of a stand-in worker: the tokens 1 to `tokens`, all from one
/// worker.
bool isCompleteResponse(const std::string& text, std::int64_t tokens);

}  // namespace tt
