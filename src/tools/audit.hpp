#pragma once
#include <optional>

#include "base.hpp"
#include "json.hpp"

namespace tt {

/// The records of a run: what callers were told, what back ends did, and when operators and platform said what.
struct AuditRecords {
  std::vector<std::string> callers, workers, events;
  /// Tenants that share with nobody.
  std::set<std::string> isolated;
  /// How long after the acknowledgement of newer weights orders may begin on older ones.
  Duration oldWeightsTimeout{20s};
};
/// What the records show of each line of "what must never happen".
struct AuditResult {
  std::map<std::string, std::vector<std::string>> violations;
  std::int64_t orders{0}, runs{0}, retries{0}, unreadable{0};
  /// How many orders began, and how many namings of weights were acknowledged.
  std::int64_t begins{0}, namings{0};
  /// The longest time after the acknowledgement of newer weights at which an order began on older ones.
  std::optional<Duration> latestOldBegin;
  double worstRetryShare{0};
  std::int64_t violationCount() const;
};
/// Joins the records. Moments in them are of the machine's one steady clock, in nanoseconds.
AuditResult auditRecords(const AuditRecords& records);
/// The lines that an audit looks at, in the order of the brief.
const std::vector<std::string>& auditedInvariants();
/// Whether a text is the whole answer of one run of a stand-in worker.
bool isWholeAnswer(const std::string& text, std::int64_t tokens);

}  // namespace tt
