// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Which versions of a service's upstreams a request may go to.

#include <memory>
#include <vector>

#include "pathcleat/gateway/gateway_state.hpp"

namespace pathcleat {
namespace {

// A rule that no version satisfies.
VersionRulePtr AllowNothing() {
  static const auto rule = [] {
    VersionRule nothing;
    nothing.allows_nothing = true;
    return std::make_shared<const VersionRule>(nothing);
  }();
  return rule;
}

}  // namespace

std::vector<PeerDecisions> GatewayState::DecisionsOfPeers(Time now) const {
  std::vector<PeerDecisions> peers;
  for (const HostEntry* host : hosts.Others()) {
    const Duration silence = now - host->last_seen;
    const bool has_left = host->info.leaving && !hosts.IsAlive(*host, now);
    if (!has_left) {
      peers.push_back({host->versions.commands, silence});
    }
  }
  return peers;
}

// A host that cannot know the newest decisions tries no version, as the trial
// may have ended, and sends nothing to versions that may have been replaced.
VersionRulePtr GatewayState::VersionRuleFor(const std::string& service,
                                            const VersionRequest& request,
                                            Time now) {
  const Rollout* rollout = rollouts.Find(service);
  if (rollout == nullptr) {
    return nullptr;
  }
  const bool is_fresh = decision_freshness.IsFresh(now);
  if (!is_fresh && rollout->MayHaveEnded(now)) {
    return AllowNothing();
  }
  return rollout->RuleFor(request.is_first_attempt && is_fresh, request.key);
}

bool GatewayState::MaySendToVersion(const std::string& service,
                                    const std::string& version,
                                    Time now) {
  const Rollout* rollout = rollouts.Find(service);
  if (rollout == nullptr) {
    return true;
  }
  const VersionRulePtr rule = VersionRuleFor(service, {}, now);
  const bool is_serving = !rule || rule->Allows(version);
  return is_serving || (decision_freshness.IsFresh(now) &&
                        rollout->IsVersionAllowed(version));
}

}  // namespace pathcleat
