#pragma once
#include "json.hpp"

namespace tt {

/// Turns an HTTPRoute manifest of the Kubernetes Gateway API, or a List of them, from JSON into a patch of the section
/// `routes`. A manifest must have one rule with one backend, whose name is the model. Any other field is rejected with
/// an error that names it, so that no setting is silently ignored.
Result<std::string> patchFromManifests(const std::string& text);

}  // namespace tt
