#pragma once
#include <unordered_map>

#include "patch_shape.hpp"

namespace tt {

/// Checks the configuration as it would be after a patch, without applying it: each touched item by itself, that the
/// items it refers to exist, that secrets and route prefixes are unique, and that no untouched item refers to a removed
/// one.
class PatchChecks {
 public:
  /// The sections and the index of keys must outlive the checks. The patch must be normalized (see normalizeShape).
  PatchChecks(const Sections& present, const std::unordered_map<std::string, std::string>& keyIdByHash,
              const JsonObject& patch);
  /// Returns the first error that is found.
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
  /// The touched items of each section as they will be; no value for an item that is removed.
  std::map<std::string, MergedItems> merged;
  /// The owners of what must be unique: those of untouched items first, then those of checked ones.
  std::map<std::string, std::string> tenantBySecret, keyByHash;
  std::map<std::pair<std::string, std::string>, std::string> routeByPrefix;

  void mergeItem(const std::string& sectionName, const std::string& name, const Json& item);
  void collectTenantSecrets();
  void collectRoutePrefixes();
  /// The present items that the patch leaves as they are; none if it does not touch the section at all.
  std::vector<const JsonObject::value_type*> untouchedItems(const std::string& sectionName) const;
  /// An item as it will be after the patch; null if there will be none.
  const Json* findItem(const std::string& sectionName, const std::string& name) const;

  Result<void> checkTouchedItems();
  /// Checks untouched items again whose references may have become invalid: those that may refer to a section in which
  /// an item is removed, or to weights that change.
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
