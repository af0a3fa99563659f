#pragma once
#include <map>
#include <set>

#include "json.hpp"
#include "messages.hpp"

namespace tt {

/// Requests that may use each other's cached blocks: those of one isolated tenant, or those of all tenants that are not
/// isolated and those without a tenant. `since` is the index of the log entry with which the domain began; 0 if it has
/// existed since the start of the log. A domain that has ended never begins again.
struct CacheDomain {
  /// The isolated tenant; empty for the shared domain.
  std::string owner;
  Uint64 since{0};
  /// A text that no other domain has and that is the same in all processes. It goes into the cache salt, so blocks of a
  /// domain that has ended cannot be named any more.
  std::string name() const;
};

/// How a tenant is declared.
enum class TenantSharing { undeclared, shared, isolated };

/// Gives each tenant its cache domain, as its declaration changes. Workers do not tell which tenant has computed a
/// block, so the shared domain ends as a whole when a tenant that may have computed blocks in it becomes isolated; the
/// other tenants then compute their common prefixes again.
///
/// This is part of the replicated configuration: the same entries give the same domains in all processes.
class CacheDomains {
 public:
  /// How many removed tenants are remembered that may have computed blocks in the shared domain. If there are more, it
  /// ends.
  static constexpr std::size_t maxFormerSharers = 1024;

  /// Records that the entry with this index changed the declaration of a tenant.
  void onTenantChanged(const std::string& tenant, TenantSharing before, TenantSharing after, Uint64 index);
  CacheDomain sharedDomain() const { return CacheDomain{{}, sharedSince}; }
  /// The domain of a tenant that is isolated.
  CacheDomain ownDomainOf(const std::string& tenant) const;
  /// Ends all domains and begins new ones.
  void renewAll(Uint64 index);
  /// The state as JSON, for snapshots, and back. Restoring a malformed state gives badField.
  Json toJson() const;
  static Result<CacheDomains> fromJson(const Json& state);

 private:
  Uint64 sharedSince{0};
  std::map<std::string, Uint64> isolatedSince;
  /// Tenants that are no longer declared and may have computed blocks in the present shared domain.
  std::set<std::string> formerSharers;
  void renewSharedDomain(Uint64 index);
};

}  // namespace tt
