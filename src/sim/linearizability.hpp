#pragma once
#include "json.hpp"

namespace tt {

/// What an operator's client asked of the register.
enum class OperationKind : int { change = 0, nameWeights = 1, readConfiguration = 2, readWeights = 3 };
/// How it ended for that client. An unclear one may take effect at any time after it began, or never.
enum class OperationOutcome : int { unclear = 0, taken = 1, refusedStale = 2, refusedInvalid = 3, seen = 4 };

/// One item that a change sets or, without a value, removes. Values are JSON texts.
struct ItemChange {
  std::string name;
  std::optional<std::string> value;
};
/// The configuration's items as JSON texts by name.
using RegisterItems = std::map<std::string, std::string>;

/// One attempt of one client: a change sent again is another operation with the same change id. Times are of one clock,
/// in nanoseconds.
struct Operation {
  std::string client, through;
  OperationKind kind{OperationKind::change};
  std::int64_t began{0};
  std::optional<std::int64_t> ended;
  /// What a change is known by, and the content that belongs to it.
  std::string changeId;
  std::optional<std::uint64_t> base;
  /// The revision that a change or weights are to have; 0 is the one after the current.
  std::uint64_t revision{0};
  /// Whether a change replaces all items; else it merges (RFC 7396) into those that it names.
  bool complete{false};
  std::vector<ItemChange> items;
  /// Whether the client knows the change to be valid in every state, or in none.
  std::optional<bool> valid;
  /// Whose weights are named or read.
  std::string model;
  OperationOutcome outcome{OperationOutcome::unclear};
  /// What was acknowledged or read; 0 of an acknowledgement that names no revision.
  std::uint64_t resultRevision{0};
  std::optional<std::uint64_t> resultDigest;
};

/// All that the clients of one register did, and what it held before.
struct History {
  std::uint64_t initialRevision{0};
  RegisterItems initialItems;
  std::vector<Operation> operations;
  /// Whether reads are held to what other reads and refusals had shown before they began. If not, a read through
  /// another place may show what was before a change that is not acknowledged yet; what was acknowledged binds every
  /// read.
  bool linearizableReads{true};
};

/// What a check came to. A check that ran out of steps is neither good nor bad.
struct HistoryCheckResult {
  bool linearizable{true}, undecided{false};
  /// The operations that cannot be put in any order, one a line, after a line that says why.
  std::string explanation;
  std::size_t operations{0}, unclear{0}, steps{0};
  /// Reads that show less than another had shown before they began.
  std::size_t nonMonotonicReads{0};
};

constexpr std::size_t mostHistorySteps = 400'000;

/// Checks that the operations can be put in one order that keeps real time and that a register with compare-and-set
/// would have answered so. Configuration and each model's weights are registers of their own.
HistoryCheckResult checkHistory(const History& history, std::size_t mostSteps = mostHistorySteps);
/// The digest that a read of these items reports; the order of items does not matter.
std::uint64_t contentDigest(const RegisterItems& items);
/// What a change makes of the items.
RegisterItems itemsAfter(const RegisterItems& before, const Operation& change);
/// One operation in a line of text.
std::string describeOperation(const Operation& operation);

}  // namespace tt
