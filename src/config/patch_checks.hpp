#pragma once
#include <unordered_map>

#include "patch_shape.hpp"

namespace tt {

/// Checks the configuration as it would be after a patch, without applying it: that each item in the patch is valid,
/// that the items to which it refers exist, that secrets and route prefixes are unique, and that no other item refers
/// to a removed one.
class PatchChecks {
 public:
  /// The sections and the index of keys must outlive this object. The patch must be normalized (see normalizeShape).
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
  /// The items in the patch as they will be after it, by section. Removed items have no value.
  std::map<std::string, MergedItems> merged;
  /// The owners of values that must be unique. At first these are items outside the patch; checked items are added.
  std::map<std::string, std::string> tenantBySecret, keyByHash;
  std::map<std::pair<std::string, std::string>, std::string> routeByPrefix;

  void mergeItem(const std::string& sectionName, const std::string& name, const Json& item);
  void collectTenantSecrets();
  void collectRoutePrefixes();
  /// The present items of a section that the patch does not contain; none if it does not contain the section.
  std::vector<const JsonObject::value_type*> untouchedItems(const std::string& sectionName) const;
  /// Returns an item as it will be after the patch, or null if it will not exist.
  const Json* findItem(const std::string& sectionName, const std::string& name) const;

  Result<void> checkTouchedItems();
  /// Checks items outside the patch whose references may become invalid: those of sections that refer to a section in
  /// which an item is removed, or to weights if any of them change.
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
