#pragma once
#include "configuration.hpp"

namespace tt {

/// Readers of items that were checked when they were declared. Missing and unusable fields get their defaults.

/// Reads an item of the section `routes`.
RouteView readRoute(const std::string& name, const Json& item);
/// Reads an item of the section `services`, which must be an object.
ServiceView readService(const Json& item);
/// Reads the item `callers` of the section `limits`. This section is not checked in advance; negative numbers count as
/// 0.
ClientLimits readClientLimits(const Json& item);
/// Returns the secrets of an item of the section `tenants` in plain text.
Strings readSecrets(const Json& item);
/// Returns a path prefix with a slash at its end, as routes compare it; an empty one stays empty.
std::string normalizedPrefix(const std::string& prefix);

}  // namespace tt
