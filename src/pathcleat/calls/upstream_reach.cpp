// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/upstream_reach.hpp"

#include <algorithm>
#include <tuple>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// Upstreams that crash or restart together are usually of one failure domain,
// so the failures must span two.
constexpr std::size_t kMinFailedUpstreams = 3;
constexpr std::size_t kMinFailedDomains = 2;
// With a single listed upstream, its failure cannot be told from a cut.
constexpr std::size_t kMinListedUpstreams = 2;
// Failures of new connections that make the host suspect. One is no reason to
// probe, as a single upstream crashes far more often than a host is cut off.
constexpr std::size_t kFailuresToSuspect = 2;
// Older failures do not add up with new ones.
constexpr Duration kFailureTtl{2'000'000};
// A suspicion that no further failure or silence confirms is dropped.
constexpr Duration kSuspicionTtl{2'000'000};
constexpr int kInitialProbes = 3;
constexpr Duration kProbeInterval{250'000};

}  // namespace

void UpstreamReach::SetListed(std::size_t upstreams, std::size_t domains) {
  listed_upstreams_ = upstreams;
  listed_domains_ = domains;
}

void UpstreamReach::OnContact(Time connection_opened_at, Time now) {
  last_contact_ = now;
  if (IsIsolated() && connection_opened_at < changed_at_) {
    return;
  }
  failures_.clear();
  probed_.clear();
  if (IsIsolated()) {
    changed_at_ = now;
  }
  state_ = ReachState::kReachable;
}

void UpstreamReach::OnConnectionFailed(const UpstreamInfo& upstream, Time now) {
  std::erase_if(failures_, [now](const auto& failure) {
    return now - failure.second.at > kFailureTtl;
  });
  failures_[upstream.id] = {upstream.domain, now};
  if (failures_.size() >= std::min(kFailuresToSuspect, listed_upstreams_)) {
    Suspect(now);
  }
  Update(now);
}

void UpstreamReach::OnSilence(Time now) {
  Suspect(now);
}

void UpstreamReach::OnStall(Time now) {
  failures_.clear();
  probed_.clear();
  last_contact_ = now;
  if (state_ == ReachState::kSuspected) {
    state_ = ReachState::kReachable;
  }
}

void UpstreamReach::Suspect(Time now) {
  suspected_at_ = now;
  if (state_ == ReachState::kReachable &&
      listed_upstreams_ >= kMinListedUpstreams) {
    state_ = ReachState::kSuspected;
    initial_probes_left_ = kInitialProbes;
  }
}

std::set<std::string> UpstreamReach::FailedDomains() const {
  std::set<std::string> domains;
  for (const auto& [id, failure] : failures_) {
    domains.insert(failure.domain);
  }
  return domains;
}

bool UpstreamReach::HasEnoughEvidence() const {
  return failures_.size() >= std::min(kMinFailedUpstreams, listed_upstreams_) &&
         FailedDomains().size() >= std::min(kMinFailedDomains, listed_domains_);
}

void UpstreamReach::Update(Time now) {
  if (state_ == ReachState::kSuspected && HasEnoughEvidence()) {
    state_ = ReachState::kIsolated;
    changed_at_ = now;
  }
}

ReachEvidence UpstreamReach::Evidence(Time now) const {
  return {failures_.size(), FailedDomains().size(), now - last_contact_};
}

bool UpstreamReach::IsProbeDue(Time now) const {
  if (IsIsolated()) {
    return now - last_probe_at_ >= kProbeInterval;
  }
  return state_ == ReachState::kSuspected &&
         now - suspected_at_ < kSuspicionTtl &&
         (initial_probes_left_ > 0 || now - last_probe_at_ >= kProbeInterval);
}

const UpstreamInfo& UpstreamReach::ChooseProbe(
    const std::vector<UpstreamInfo>& upstreams,
    std::uint64_t random,
    Time now) {
  if (probed_.size() >= upstreams.size()) {
    probed_.clear();
  }
  const std::set<std::string> failed_domains = FailedDomains();
  // An upstream of a domain without failures tells most: if it answers, the
  // host is not cut off.
  const auto rank = [&](const UpstreamInfo& upstream) {
    return std::tuple(probed_.contains(upstream.id),
                      failures_.contains(upstream.id),
                      failed_domains.contains(upstream.domain),
                      MixHashes(random, StableHash(upstream.id)));
  };
  const auto best =
      std::min_element(upstreams.begin(), upstreams.end(),
                       [&rank](const UpstreamInfo& a, const UpstreamInfo& b) {
                         return rank(a) < rank(b);
                       });
  probed_.insert(best->id);
  initial_probes_left_ = std::max(0, initial_probes_left_ - 1);
  last_probe_at_ = now;
  return *best;
}

}  // namespace pathcleat
