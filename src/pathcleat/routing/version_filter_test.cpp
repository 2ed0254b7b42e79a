// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/version_filter.hpp"

#include <string>

#include "property.hpp"

namespace pathcleat {
namespace {

std::vector<Candidate> CandidatesOf(const std::vector<std::string>& versions) {
  std::vector<Candidate> candidates;
  for (const std::string& version : versions) {
    UpstreamInfo info;
    info.id = "i-" + std::to_string(candidates.size());
    info.version = version;
    Candidate candidate;
    candidate.upstream = std::make_shared<UpstreamState>(info);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

VersionRule RuleExcluding(const std::string& version) {
  VersionRule rule;
  rule.excluded_versions = {version};
  return rule;
}

// A version that was rolled back gets no requests, even while all other
// versions are unreachable or were already tried by the request. Fails if a
// rule that leaves no candidate is ignored.
Test(promise, excluded_version_gets_nothing_where_no_other_is_left) {
  std::vector<Candidate> candidates = CandidatesOf({"v2", "v2"});
  FilterByVersion(candidates, RuleExcluding("v2"));
  cr_assert(candidates.empty());
}

Test(version_filter, other_versions_are_kept) {
  std::vector<Candidate> candidates = CandidatesOf({"v1", "v2", "v1"});
  FilterByVersion(candidates, RuleExcluding("v2"));
  cr_assert_eq(candidates.size(), 2U);
}

Test(version_filter, trial_uses_a_share_of_the_upstreams_of_its_version) {
  std::vector<Candidate> candidates =
      CandidatesOf({"v1", "v2", "v2", "v2", "v2"});
  VersionRule trial;
  trial.required_version = "v2";
  trial.upstream_share = 0.5;
  FilterByVersion(candidates, trial);
  cr_assert_eq(candidates.size(), 2U);
  for (const Candidate& candidate : candidates) {
    cr_assert_str_eq(candidate.upstream->info.version.c_str(), "v2");
  }
}

}  // namespace
}  // namespace pathcleat
