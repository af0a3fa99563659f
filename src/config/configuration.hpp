#pragma once
#include <deque>

#include "json.hpp"
#include "messages.hpp"
#include "policy.hpp"

namespace tt {

/// What a client's secret stands for.
struct KeyView {
  std::string id;
  std::string tenant;
};
/// What may be done with a request whose worker broke off: nothing (once), sending it to another worker (safe), or
/// continuing its stream behind the last chunk that the client has (stream).
enum class RetryMode { once, safe, stream };
/// A route as the proxy uses it. There are two kinds: one with a host and path prefix leads to services, any other
/// leads to a model by name.
struct RouteView {
  std::string name, model;
  /// Whether it leads to workers of the kind "app", which cache no blocks; others lead to workers of the kind
  /// "language".
  bool app{false};
  std::set<std::string> tenants;
  /// The name of the policy that decides on fetching blocks.
  std::string policy;
  std::string host, prefix;
  /// Services with their shares of the traffic; shares need not sum to 1.
  std::vector<std::pair<std::string, double>> split;
  RetryMode repeat{RetryMode::once};
  /// 0 where the operator set none. `targetLatency`: time to the first chunk that is aimed at. `gap`: the same between
  /// chunks.
  Duration timeout{0}, targetLatency{0}, gap{0};
  /// `tries`: attempts per request, 0: the proxy's default.
  int tries{0}, priority{5};
  /// `open`: needs no key. `resumable`: a client may continue a stream that broke off.
  bool open{false}, resumable{false};
  bool matchesPath() const { return !prefix.empty(); }
};
struct TenantView {
  std::optional<int> priority;
};
/// A block store that a service declares.
struct StoreView {
  std::string service, address, zone;
};
/// The kinds of services: engines cache blocks and have weights, plain workers only answer requests, stores keep
/// blocks.
enum class ServiceKind { engine, plain, store };
/// A service as operators declared it. Numbers that were not declared are 0.
struct ServiceView {
  ServiceKind kind{ServiceKind::plain};
  /// The size of one token's cached state in bytes, and the bandwidth of one worker's (or the store's) link in Mbit/s.
  double tokenBytes{0}, linkMbps{0};
};
/// What clients may send, in bytes, and how long they may take.
struct ClientLimits {
  std::size_t maxHeaderBytes{16384}, maxBodyBytes{4u << 20};
  Duration headerTimeout{3s}, idleTimeout{15s};
};

/// The replicated configuration: sections of named items as operators declare them, a revision, and the recent changes.
/// It is the state machine of the replicated log, so applying the same entries gives the same state everywhere.
class Configuration {
 public:
  /// Turns an operator's change into a merge patch for the log: its items are checked, secrets are replaced by their
  /// hashes, and complete content is reduced to the difference. Nothing is applied. An error names the field.
  Result<std::string> preparePatch(const std::string& text, bool complete) const {
    return preparePatch(text, complete ? ChangeFormat::complete : ChangeFormat::patch);
  }
  Result<std::string> preparePatch(const std::string& text, ChangeFormat changeFormat) const;
  /// Applies a committed entry. Entries come in the order of their index; one that was applied already is ignored.
  void apply(const LogEntry& entry);
  Snapshot snapshot() const;
  /// Replaces the entire state by a snapshot. On an error nothing changes.
  Result<void> installSnapshot(const Snapshot& snapshot);

  std::uint64_t index() const { return appliedIndex; }
  std::uint64_t term() const { return appliedTerm; }
  std::uint64_t revision() const { return currentRevision; }
  const std::vector<Member>& members() const { return currentMembers; }
  /// The revision that a change made, if it is among the last 4096 changes that had an id.
  std::optional<std::uint64_t> revisionOfChange(const std::string& changeId) const;
  /// Ids of changes up to this revision may be evicted, so revisionOfChange cannot tell whether they were applied; 0
  /// while all are known.
  std::uint64_t lastEvictedRevision() const;
  /// The newest rejection of a change that was committed behind an index of the log; null if none is among the last
  /// 1024 rejections.
  const Refusal* findRefusalAfter(const std::string& changeId, std::uint64_t index) const;
  /// Rejections committed up to this index are evicted.
  std::uint64_t lastEvictedRefusal() const { return lastEvictedRefusalIndex; }
  /// Whether a change of weights is already in force: each of its models has the named number or a higher one.
  bool hasWeights(const std::string& change) const;
  /// The configuration as JSON; empty sections are left out.
  std::string text() const;
  /// The approximate size of text().
  std::size_t bytes() const { return totalBytes; }

  /// Finds a key by the SHA-256 sum of its secret in hex.
  std::optional<KeyView> findKey(const std::string& secretHash) const;
  std::optional<RouteView> findRoute(const std::string& name) const;
  /// Finds the route of a host with the longest prefix of the path; a query is ignored. Prefixes match full path
  /// segments. Null if there is none.
  const RouteView* routeFor(const std::string& host, const std::string& path) const;
  /// Whether any tenant or key is declared. As long as none is, requests need no key.
  bool requiresKeys() const;
  std::optional<TenantView> findTenant(const std::string& name) const;
  const std::vector<StoreView>& stores() const { return blockStores; }
  /// Null if there is no service of that name.
  const ServiceView* findService(const std::string& name) const;
  const std::map<std::string, ServiceView>& services() const { return servicesByName; }
  const ClientLimits& clientLimits() const { return currentCallerLimits; }
  /// Finds a section without copying it; null if it has no items.
  const JsonObject* findSection(const std::string& name) const;
  /// The weights that a model should have; nothing for an unknown model.
  std::optional<std::string> weightsOf(const std::string& model) const;
  bool knowsModel(const std::string& model) const;
  /// The domain within which a tenant's blocks may be shared (see cacheSalt): its own if the tenant is isolated or not
  /// declared, otherwise the one that all other tenants have in common.
  std::string cacheDomainOf(const std::string& tenant) const;
  /// The policy of that name; one that never fetches if there is none.
  Policy policyOf(const std::string& name) const;
  /// A copy of a section; empty if there is none.
  JsonObject section(const std::string& name) const;

 private:
  using Section = JsonObject;
  std::map<std::string, Section> sections;
  std::unordered_map<std::string, std::string> keyIdByHash;
  /// Tenants by the hashes of their own secrets.
  std::unordered_map<std::string, std::string> tenantByHash;
  std::map<std::string, RouteView> routesByName;
  /// The name of the route by host and normalized prefix.
  std::map<std::string, std::map<std::string, std::string>> routeByPrefix;
  std::vector<StoreView> blockStores;
  std::map<std::string, ServiceView> servicesByName;
  ClientLimits currentCallerLimits;
  std::map<std::string, Policy> policies;
  std::vector<Member> currentMembers;
  std::deque<std::string> recentChangeIds;
  std::unordered_map<std::string, std::uint64_t> changeRevisions;
  std::deque<Refusal> recentRefusals;
  std::uint64_t appliedIndex{0}, appliedTerm{0}, currentRevision{0}, lastEvictedRefusalIndex{0};
  std::size_t totalBytes{0};

  /// In each section, removals are applied before all else.
  void applyPatch(const JsonObject& patch);
  void recordChange(const std::string& changeId);
  void recordRefusal(const LogEntry& entry);
  /// The number of the weights that a model should have; 0 if they have none.
  std::int64_t currentWeightsNumber(const std::string& model) const;
  /// Sets or (without a value) removes an item and updates everything that is derived from it.
  void setItem(const std::string& sectionName, const std::string& name, const Json* value);
  /// These update the typed views of an item. `old` is the item before, if there was one, and `value` the new one, if
  /// it is not removed.
  void updateDerivedItem(const std::string& sectionName, const std::string& name, const Json* old, const Json* value);
  void updateTenantSecrets(const std::string& name, const Json* old, const Json* value);
  void updateRoute(const std::string& name, const Json* value);
  void removeRoutePrefix(const RouteView& route);
  void updateService(const std::string& name, const Json* value);
};

}  // namespace tt
