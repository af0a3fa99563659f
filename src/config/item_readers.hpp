#pragma once
#include "configuration.hpp"

namespace tt {

/// Readers of items that were checked when they were declared. Missing and invalid fields get their defaults.

/// Reads an item of the section `routes`.
RouteView readRoute(const std::string& name, const Json& item);
/// Reads an item of the section `services`, which must be an object.
ServiceView readService(const Json& item);
/// Reads the item `callers` of the section `limits`, which is not checked when it is declared. Negative numbers count
/// as 0.
ClientLimits readClientLimits(const Json& item);
/// Returns the secrets of an item of the section `tenants` in plain text.
Strings readSecrets(const Json& item);
/// Adds the final slash to a path prefix that has none; an empty prefix stays empty. Routes are compared in this form.
std::string normalizedPrefix(const std::string& prefix);

}  // namespace tt
