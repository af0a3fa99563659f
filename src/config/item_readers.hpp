#pragma once
#include "configuration.hpp"

namespace tt {

/// What the configuration's items mean to the logic: each reader turns one item, already checked, into a typed row.

/// Reads an item of the section `routes`.
RouteView readRoute(const std::string& name, const Json& item);
/// Reads an item of the section `services`, which must be an object.
ServiceView readService(const Json& item);
/// Reads the item `callers` of the section `limits`.
CallerLimits readCallerLimits(const Json& item);
/// The secrets of an item of the section `tenants`, in clear.
Strings readSecrets(const Json& item);
/// A path prefix as routes compare it: with a slash at its end.
std::string normalizedPrefix(const std::string& prefix);

}  // namespace tt
