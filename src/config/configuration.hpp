#pragma once
#include <deque>

#include "json.hpp"
#include "messages.hpp"
#include "policy.hpp"

namespace tt {

/// A key as the configuration keeps it: hashed.
struct KeyView {
  std::string id;
  std::string tenant;
};
/// What may be done with an order that a worker broke off: run it again, never, or go on after the last piece.
enum class RetryMode { once, safe, stream };
struct RouteView {
  std::string name, model;
  bool app{false};
  std::set<std::string> tenants;
  std::string policy;
  /// A route by host and path leads to services, each with its weight; the others lead to a model.
  std::string host, prefix;
  std::vector<std::pair<std::string, double>> split;
  RetryMode repeat{RetryMode::once};
  Duration timeout{0}, targetLatency{0}, gap{0};
  int tries{0}, priority{5};
  bool open{false}, resumable{false};
  bool matchesPath() const { return !prefix.empty(); }
};
struct TenantView {
  std::optional<int> priority;
};
/// What a service says of a store: where it is and how it is reached.
struct StoreView {
  std::string service, address, zone;
};
/// What a service is made of: engines, which keep blocks and carry weights; plain workers, which only answer; a store.
enum class ServiceKind { engine, plain, store };
/// A service as operators declared it. Figures are 0 where nothing was said.
struct ServiceView {
  ServiceKind kind{ServiceKind::plain};
  /// Bytes of a kept token, and megabits a second of the link of one worker or of the store.
  double tokenBytes{0}, linkMbps{0};
};
/// What callers may send and how long they may take.
struct CallerLimits {
  std::size_t maxHeaderBytes{16384}, maxBodyBytes{4u << 20};
  Duration headerTimeout{3s}, idleTimeout{15s};
};

/// What operators declare, as agreed: sections of named items, a revision, and the changes already taken.
class Configuration {
 public:
  /// Turns an operator's text into a patch ready for the log: secrets hashed, a whole one made into a difference,
  /// everything it touches checked. Nothing is applied.
  Result<std::string> preparePatch(const std::string& text, bool whole) const {
    return preparePatch(text, whole ? ChangeFormat::whole : ChangeFormat::patch);
  }
  Result<std::string> preparePatch(const std::string& text, ChangeFormat changeFormat) const;
  /// Applies one agreed entry; entries come in order and are never undone.
  void apply(const LogEntry& entry);
  Snapshot snapshot() const;
  Result<void> adopt(const Snapshot& snapshot);

  std::uint64_t index() const { return appliedIndex; }
  std::uint64_t term() const { return appliedTerm; }
  std::uint64_t revision() const { return currentRevision; }
  const std::vector<Member>& members() const { return memberRows; }
  /// The revision that a change made, if it is among the last 4096 taken.
  std::optional<std::uint64_t> revisionOfChange(const std::string& changeId) const;
  /// Changes up to this revision are no longer known by their ids.
  std::uint64_t forgottenRevision() const;
  /// The newest refusal of a change that was agreed after an index of the log, if it is among the last 1024.
  const Refusal* refusedAfter(const std::string& changeId, std::uint64_t index) const;
  /// Refusals agreed up to this index are no longer known.
  std::uint64_t refusalsForgotten() const { return refusalsForgottenIndex; }
  /// Whether each model of a change of weights already has the number that it names, or a higher one.
  bool hasWeights(const std::string& change) const;
  std::string text() const;
  std::size_t bytes() const { return weight; }

  std::optional<KeyView> findKey(const std::string& secretHash) const;
  std::optional<RouteView> findRoute(const std::string& name) const;
  /// Of a host's routes the one whose prefix begins the path and is longest.
  const RouteView* routeFor(const std::string& host, const std::string& path) const;
  /// Whether any tenant or key is declared: without, orders need no key.
  bool requiresKeys() const;
  std::optional<TenantView> findTenant(const std::string& name) const;
  const std::vector<StoreView>& stores() const { return storeRows; }
  /// A declared service; null where no service has that name.
  const ServiceView* findService(const std::string& name) const;
  const std::map<std::string, ServiceView>& services() const { return serviceRows; }
  const CallerLimits& callerLimits() const { return limitsRow; }
  /// A section by name, without a copy; null if it has no items.
  const JsonObject* findSection(const std::string& name) const;
  std::optional<std::string> weightsOf(const std::string& model) const;
  bool knowsModel(const std::string& model) const;
  /// What tells a tenant's blocks from another's: its own name when isolated, else one that sharers have in common.
  std::string cacheDomainOf(const std::string& tenant) const;
  Policy policyOf(const std::string& name) const;
  JsonObject section(const std::string& name) const;

 private:
  using Section = JsonObject;
  std::map<std::string, Section> sections;
  std::unordered_map<std::string, std::string> keyIdByHash;
  /// Tenants by the hash of a secret of their own.
  std::unordered_map<std::string, std::string> tenantByHash;
  std::map<std::string, RouteView> routeRows;
  std::map<std::string, std::map<std::string, std::string>> routeByPrefix;
  std::vector<StoreView> storeRows;
  std::map<std::string, ServiceView> serviceRows;
  CallerLimits limitsRow;
  std::map<std::string, Policy> policies;
  std::vector<Member> memberRows;
  std::deque<std::string> changeOrder;
  std::unordered_map<std::string, std::uint64_t> changeRevisions;
  std::deque<Refusal> refusals;
  std::uint64_t appliedIndex{0}, appliedTerm{0}, currentRevision{0}, refusalsForgottenIndex{0};
  std::size_t weight{0};

  void applyPatch(const JsonObject& patch);
  void rememberChange(const std::string& changeId);
  void rememberRefusal(const LogEntry& entry);
  std::int64_t weightsNumber(const std::string& model) const;
  void setItem(const std::string& sectionName, const std::string& name, const Json* value);
  /// Keeps the typed rows in step with an item that is set, or removed where there is no value.
  void foldItem(const std::string& sectionName, const std::string& name, const Json* old, const Json* value);
  void foldTenant(const std::string& name, const Json* old, const Json* value);
  void foldRoute(const std::string& name, const Json* value);
  void forgetPrefix(const RouteView& route);
  void foldService(const std::string& name, const Json* value);
};

}  // namespace tt
