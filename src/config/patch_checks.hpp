#pragma once
#include <unordered_map>

#include "patch_shape.hpp"

namespace tt {

/// Checks what a configuration would hold after a patch: each touched item by itself, that what it refers to is there,
/// that keys and routes stay unique, and that untouched items do not lose what they refer to. Nothing is applied.
class PatchChecks {
 public:
  /// The sections and the index of keys must outlive the checks. The patch has a normalized shape.
  PatchChecks(const Sections& present, const std::unordered_map<std::string, std::string>& keyIdByHash,
              const JsonObject& patch);
  Result<void> run();

 private:
  struct CheckedItem {
    const std::string& name;
    const std::string path;
    const Json& item;
    const JsonObject& fields;
  };
  using MergedItems = std::map<std::string, std::optional<Json>>;
  const Sections& sections;
  const std::unordered_map<std::string, std::string>& keyIdByHash;
  /// The touched items of each section as they will be; nothing where one is removed.
  std::map<std::string, MergedItems> merged;
  std::map<std::string, std::string> tenantBySecret, keyByHash;
  std::map<std::pair<std::string, std::string>, std::string> routeByPrefix;

  void mergeItem(const std::string& sectionName, const std::string& name, const Json& item);
  void collectTenantSecrets();
  void collectRoutePrefixes();
  /// The present items that the patch leaves as they are; none if it touches none of the section's.
  std::vector<const JsonObject::value_type*> untouchedItems(const std::string& sectionName) const;
  /// An item as it will be; null if there will be none.
  const Json* findItem(const std::string& sectionName, const std::string& name) const;

  Result<void> checkTouchedItems();
  Result<void> checkReferrers();
  Result<void> checkItem(const std::string& sectionName, const std::string& name, const Json& item);
  Result<void> checkModel(const CheckedItem& checked) const;
  Result<void> checkWeights(const CheckedItem& checked) const;
  Result<void> checkTenant(const CheckedItem& checked);
  Result<void> checkKey(const CheckedItem& checked);
  Result<void> checkService(const CheckedItem& checked) const;
  Result<void> checkPathRoute(const CheckedItem& checked);
  Result<void> checkSplit(const std::vector<std::pair<std::string, double>>& split, const std::string& path) const;
  Result<void> checkModelRoute(const CheckedItem& checked) const;
  Result<void> checkKind(const CheckedItem& checked) const;
  Result<void> checkTenantReferences(const CheckedItem& checked) const;
  Result<void> checkPolicyReference(const CheckedItem& checked) const;
};

}  // namespace tt
