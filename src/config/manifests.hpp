#pragma once
#include "json.hpp"

namespace tt {

/// Turns HTTPRoute manifests of the Kubernetes Gateway API (one, or a List, as JSON) into a patch of the section
/// `routes`. A route needs one rule with one backend, which names the model. Fields beyond that are rejected by name,
/// so that no setting is silently ignored.
Result<std::string> patchFromManifests(const std::string& text);

}  // namespace tt
