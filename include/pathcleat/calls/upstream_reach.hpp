// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/routing/upstream_info.hpp"

namespace pathcleat {

/// @brief What this host may conclude about its own links to the upstreams.
/// @ingroup calls
enum class ReachState : std::uint8_t {
  kReachable,
  kSuspected,  ///< a few attempts failed; probes must decide
  kIsolated,   ///< the host reaches no upstream
};

/// @brief The evidence behind a ReachState.
/// @ingroup calls
struct ReachEvidence {
  std::size_t failed_upstreams = 0;  ///< distinct, since the last contact
  std::size_t failed_domains = 0;    ///< failure domains of these upstreams
  Duration since_contact{0};         ///< age of the last contact
};

/// @brief Decides whether this host itself is cut off from the upstreams, as
/// opposed to some of the upstreams having failed.
///
/// The host counts as isolated if new connections to several upstreams in more
/// than one failure domain failed and no upstream answered in between. Lost or
/// silent connections that were open before are a reason to probe, but no
/// evidence: a middlebox may drop idle connections while new ones work. Has no
/// clock and no sockets. Not thread-safe.
/// @ingroup calls
class UpstreamReach {
 public:
  /// @brief Sets how many upstreams, and failure domains with upstreams, are
  /// listed: with fewer of them, fewer failures suffice.
  void SetListed(std::size_t upstreams, std::size_t domains);

  /// @brief An upstream answered, with any status.
  /// @param connection_opened_at an answer over a connection that was open
  /// before the isolation began does not end the isolation.
  void OnContact(Time connection_opened_at, Time now);

  /// @brief A new connection to an upstream was refused, did not open, or ended
  /// before any byte of an answer.
  void OnConnectionFailed(const UpstreamInfo& upstream, Time now);

  /// @brief Bytes sent over open connections stay unacknowledged.
  void OnSilence(Time now);

  /// @brief This host was stalled. Nothing that happened before counts.
  void OnStall(Time now);

  ReachState state() const { return state_; }
  bool IsIsolated() const { return state_ == ReachState::kIsolated; }

  /// @brief When the state last changed between isolated and not isolated.
  Time changed_at() const { return changed_at_; }

  /// @brief Time of the last answer of an upstream.
  Time last_contact() const { return last_contact_; }

  ReachEvidence Evidence(Time now) const;

  /// @brief Whether a probe is due: a few at once when the host becomes
  /// suspect, then at regular intervals until an upstream answers.
  bool IsProbeDue(Time now) const;

  /// @brief Chooses the upstream for a probe and counts the probe.
  /// @param upstreams the candidates; must not be empty.
  /// @param random spreads the choice among equal candidates.
  const UpstreamInfo& ChooseProbe(const std::vector<UpstreamInfo>& upstreams,
                                  std::uint64_t random,
                                  Time now);

 private:
  struct Failure {
    std::string domain;
    Time at;
  };

  void Suspect(Time now);
  void Update(Time now);
  std::set<std::string> FailedDomains() const;
  bool HasEnoughEvidence() const;

  std::size_t listed_upstreams_ = 0;
  std::size_t listed_domains_ = 0;
  std::map<std::string, Failure> failures_;  ///< by upstream id
  std::set<std::string> probed_;             ///< ids since the last contact
  ReachState state_ = ReachState::kReachable;
  Time changed_at_;
  Time last_contact_;
  Time suspected_at_;
  Time last_probe_at_;
  int initial_probes_left_ = 0;  ///< that are due at once
};

}  // namespace pathcleat
