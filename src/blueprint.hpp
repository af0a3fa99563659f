#pragma once
#include <deque>

#include "json.hpp"
#include "messages.hpp"
#include "policy.hpp"

namespace tt {

/// A key as the blueprint keeps it: hashed.
struct KeyView {
  std::string id;
  std::string tenant;
};
struct RouteView {
  std::string model;
  bool app{false};
  std::set<std::string> tenants;
  std::string policy;
};

/// What operators declare, as agreed: sections of named items, a revision, and the changes already taken.
class Blueprint {
 public:
  /// Turns an operator's text into a patch ready for the log: secrets hashed, a whole one made into a difference,
  /// everything it touches checked. Nothing is applied.
  Result<std::string> preparePatch(const std::string& text, bool whole) const;
  /// Applies one agreed entry; entries come in order and are never undone.
  void apply(const Entry& entry);
  Capture capture() const;
  Result<void> adopt(const Capture& capture);

  std::uint64_t index() const { return appliedIndex; }
  std::uint64_t term() const { return appliedTerm; }
  std::uint64_t revision() const { return currentRevision; }
  const std::vector<Member>& members() const { return memberRows; }
  /// The revision that a change made, if it is among the last 4096 taken.
  std::optional<std::uint64_t> takenAs(const std::string& changeId) const;
  /// Changes up to this revision are no longer known by their ids.
  std::uint64_t forgottenRevision() const;
  std::string text() const;
  std::size_t bytes() const { return weight; }

  std::optional<KeyView> findKey(const std::string& secretHash) const;
  std::optional<RouteView> findRoute(const std::string& name) const;
  std::optional<std::string> weightsOf(const std::string& model) const;
  bool knowsModel(const std::string& model) const;
  /// What tells a tenant's blocks from another's: its own name when isolated, else one that sharers have in common.
  std::string domainOf(const std::string& tenant) const;
  Policy policyOf(const std::string& name) const;
  JsonObject section(const std::string& name) const;

 private:
  using Section = JsonObject;
  std::map<std::string, Section> sections;
  std::unordered_map<std::string, std::string> keyIdByHash;
  std::map<std::string, Policy> policies;
  std::vector<Member> memberRows;
  std::deque<std::string> changeOrder;
  std::unordered_map<std::string, std::uint64_t> changeRevisions;
  std::uint64_t appliedIndex{0}, appliedTerm{0}, currentRevision{0};
  std::size_t weight{0};

  void applyPatch(const JsonObject& patch);
  void setItem(const std::string& sectionName, const std::string& name, const Json* value);
};

}  // namespace tt
