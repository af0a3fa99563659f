#pragma once
#include <deque>

#include "cache_domains.hpp"
#include "json.hpp"
#include "messages.hpp"
#include "policy.hpp"

namespace tt {

/// The key and the tenant that a client's secret identifies.
struct KeyView {
  std::string id;
  std::string tenant;
};
/// What may be done with a request if the connection to the worker breaks. once: nothing. safe: it is sent to another
/// worker. stream: another worker continues the stream after the last chunk that the client has received.
enum class RetryMode { once, safe, stream };
/// A route as the proxy uses it. A route with a host and path prefix leads to services; any other route leads to a
/// model.
struct RouteView {
  std::string name, model;
  /// Whether the route leads to workers of the kind "app", which cache no blocks, and not to those of the kind
  /// "language".
  bool app{false};
  /// The tenants that it serves; no value for all.
  std::optional<std::set<std::string>> tenants;
  /// The name of the policy that decides whether cached blocks are fetched.
  std::string policy;
  std::string host, prefix;
  /// Services with their weights in the distribution of traffic. The weights need not sum to 1.
  std::vector<std::pair<std::string, double>> split;
  RetryMode repeat{RetryMode::once};
  /// 0 if not set. `targetLatency`: target for the time to the first chunk. `gap`: target for the time between chunks.
  Duration timeout{0}, targetLatency{0}, gap{0};
  /// `tries`: maximum number of attempts per request; 0: the default of the proxy.
  int tries{0}, priority{5};
  /// `open`: requests need no key. `resumable`: clients may resume a broken stream.
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
/// The kinds of services. engine: workers that cache blocks and have weights. plain: workers that do neither. store:
/// block stores.
enum class ServiceKind { engine, plain, store };
/// A service as declared by operators. Numbers that are not declared are 0.
struct ServiceView {
  ServiceKind kind{ServiceKind::plain};
  /// The size of the cached state of one token in bytes, and the bandwidth of the link of each worker, or of the store,
  /// in Mbit/s.
  double tokenBytes{0}, linkMbps{0};
};
/// Limits on the size of clients' requests and on the time that clients may take.
struct ClientLimits {
  std::size_t maxHeaderBytes{16384}, maxBodyBytes{4u << 20};
  Duration headerTimeout{3s}, idleTimeout{15s};
};

/// The replicated configuration: sections of named items that operators declare, a revision, and the recent changes. It
/// is the state machine of the replicated log: applying the same entries gives the same state everywhere.
///
/// A section without items is not the same as one that is not declared: a list of tenants from which the last one was
/// removed still asks for keys. A change of items never ends the declaration of a section; only a complete
/// configuration without the section does.
class Configuration {
 public:
  /// Turns an operator's change into a merge patch for the log, without applying it: checks the items, replaces secrets
  /// by their hashes, and reduces complete content to the differences. An error names the field.
  Result<std::string> preparePatch(const std::string& text, bool complete) const {
    return preparePatch(text, complete ? ChangeFormat::complete : ChangeFormat::patch);
  }
  Result<std::string> preparePatch(const std::string& text, ChangeFormat changeFormat) const;
  /// Applies a committed entry. Entries must be applied in the order of their index; those already applied are ignored.
  void apply(const LogEntry& entry);
  Snapshot snapshot() const;
  /// Replaces the entire state by a snapshot. Changes nothing if it fails.
  Result<void> installSnapshot(const Snapshot& snapshot);

  std::uint64_t index() const { return appliedIndex; }
  std::uint64_t term() const { return appliedTerm; }
  std::uint64_t revision() const { return currentRevision; }
  const std::vector<Member>& members() const { return currentMembers; }
  /// The revision that a change resulted in, if it is among the last 4096 changes with an id.
  std::optional<std::uint64_t> revisionOfChange(const std::string& changeId) const;
  /// The ids of changes up to this revision may be evicted, so that revisionOfChange cannot tell whether such changes
  /// were applied; 0 if none is evicted.
  std::uint64_t lastEvictedRevision() const;
  /// Finds the newest rejection of a change that was committed after an index of the log. Null if none is among the
  /// last 1024 rejections.
  const Refusal* findRefusalAfter(const std::string& changeId, std::uint64_t index) const;
  /// Rejections committed up to this index are evicted.
  std::uint64_t lastEvictedRefusal() const { return lastEvictedRefusalIndex; }
  /// Whether a change of weights is already in force: each model has weights with the number in the change or a higher
  /// one.
  bool hasWeights(const std::string& change) const;
  /// The configuration as JSON, with all declared sections.
  std::string text() const;
  /// The approximate size of text().
  std::size_t bytes() const { return totalBytes; }

  /// Finds a key by the SHA-256 sum of its secret in hex.
  std::optional<KeyView> findKey(const std::string& secretHash) const;
  std::optional<RouteView> findRoute(const std::string& name) const;
  /// Finds the route of a host with the longest prefix of the path. Prefixes match complete path segments; the query is
  /// ignored. Null if there is none.
  const RouteView* routeFor(const std::string& host, const std::string& path) const;
  /// Whether the section is declared, possibly without items.
  bool declares(const std::string& sectionName) const;
  /// Whether tenants or keys are declared, possibly as empty sections. Otherwise requests need no key.
  bool requiresKeys() const;
  std::optional<TenantView> findTenant(const std::string& name) const;
  const std::vector<StoreView>& stores() const { return blockStores; }
  /// Finds a service; null if there is none of that name.
  const ServiceView* findService(const std::string& name) const;
  const std::map<std::string, ServiceView>& services() const { return servicesByName; }
  const ClientLimits& clientLimits() const { return currentClientLimits; }
  /// Returns a section without copying it, or null if it has no items.
  const JsonObject* findSection(const std::string& name) const;
  /// The weights that a model should have; nothing for an unknown model.
  std::optional<std::string> weightsOf(const std::string& model) const;
  bool knowsModel(const std::string& model) const;
  /// The domain within which a tenant's blocks may be shared (see cacheSalt). No tenant (an empty name) means the
  /// shared domain. A tenant that is not declared has a domain that ends with the next entry.
  CacheDomain cacheDomainOf(const std::string& tenant) const;
  /// The policy of that name, or one that never fetches if there is none.
  Policy policyOf(const std::string& name) const;
  /// Returns a copy of a section; empty if there is none.
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
  ClientLimits currentClientLimits;
  CacheDomains cacheDomains;
  std::map<std::string, Policy> policies;
  std::vector<Member> currentMembers;
  std::deque<std::string> recentChangeIds;
  std::unordered_map<std::string, std::uint64_t> changeRevisions;
  std::deque<Refusal> recentRefusals;
  std::uint64_t appliedIndex{0}, appliedTerm{0}, currentRevision{0}, lastEvictedRefusalIndex{0};
  std::size_t totalBytes{0};

  /// The declared sections.
  JsonObject content() const;
  /// The configuration as a snapshot has it: with the cache domains.
  std::string snapshotText() const;
  /// Applies a merge patch.
  void applyPatch(const JsonObject& patch);
  /// Applies the patch of one section, removals first. An empty patch declares the section.
  void applySectionPatch(const std::string& sectionName, const JsonObject& items);
  void endDeclarations(const Json& sectionNames);
  /// Whether the operators' translation has recorded that its lists lack this section.
  bool isMarkedAbsent(const std::string& sectionName) const;
  /// Declares the lists of an operators' configuration that a snapshot lacks because it was written by a process that
  /// left out empty sections.
  void declareEmptyLists();
  void recordChange(const std::string& changeId);
  void recordRefusal(const LogEntry& entry);
  /// The number of the weights that a model should have; 0 if they have none.
  std::int64_t currentWeightsNumber(const std::string& model) const;
  /// Sets or (without a value) removes an item and updates everything that is derived from it.
  void setItem(const std::string& sectionName, const std::string& name, const Json* value);
  /// These update what is derived from an item. `old` is the present item, or null if it is new; `value` is the new
  /// item, or null if it is removed.
  void updateDerivedItem(const std::string& sectionName, const std::string& name, const Json* old, const Json* value);
  TenantSharing sharingOf(const std::string& tenant) const;
  void updateTenantSecrets(const std::string& name, const Json* old, const Json* value);
  void updateRoute(const std::string& name, const Json* value);
  void removeRoutePrefix(const RouteView& route);
  void updateService(const std::string& name, const Json* value);
};

}  // namespace tt
