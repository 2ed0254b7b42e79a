// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/key_placement.hpp"

#include <map>
#include <set>

#include "pathcleat/core/hash.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

std::vector<Candidate> CandidatesIn(const std::map<std::string, int>& counts) {
  std::vector<Candidate> candidates;
  for (const auto& [region, count] : counts) {
    for (int i = 0; i < count; ++i) {
      UpstreamInfo info;
      info.id = region + std::to_string(i);
      info.slots = 3;
      Candidate candidate;
      candidate.upstream = std::make_shared<UpstreamState>(info);
      candidate.upstream->region = region;
      candidates.push_back(candidate);
    }
  }
  return candidates;
}

RegionShares SharesOf(const std::map<std::string, int>& counts) {
  std::map<std::string, RegionCapacity> regions;
  for (const auto& [region, count] : counts) {
    regions[region] = {count * 3.0, 1};
  }
  RegionShares shares(counts.begin()->first, true);
  shares.Update(regions);
  return shares;
}

Test(key_placement, upstream_is_nearest_to_a_share_of_keys_by_its_weight) {
  int first = 0;
  constexpr int kKeys = 20'000;
  for (int i = 0; i < kKeys; ++i) {
    const std::uint64_t key = StableHash("key" + std::to_string(i));
    first += KeyDistance(key, 1, 3) < KeyDistance(key, 2, 1) ? 1 : 0;
  }
  cr_assert_float_eq(static_cast<double>(first) / kKeys, 0.75, 0.02);
}

Test(key_placement, a_key_has_few_upstreams_and_one_in_another_region) {
  const std::map<std::string, int> counts{{"north", 6}, {"south", 6}};
  const RegionShares shares = SharesOf(counts);
  for (std::uint64_t key = 0; key < 200; ++key) {
    std::vector<Candidate> kept = CandidatesIn(counts);
    KeepNearestToKey(kept, MixHashes(key, 5), shares);
    cr_assert_eq(kept.size(), 3U);
    std::set<std::string> regions;
    for (const Candidate& candidate : kept) {
      regions.insert(candidate.upstream->region);
    }
    cr_assert_eq(regions.size(), 2U);
  }
}

Test(key_placement, only_the_keys_of_a_lost_upstream_move) {
  const std::map<std::string, int> counts{{"north", 6}, {"south", 6}};
  const RegionShares shares = SharesOf(counts);
  for (std::uint64_t i = 0; i < 200; ++i) {
    const std::uint64_t key = MixHashes(i, 5);
    std::vector<Candidate> before = CandidatesIn(counts);
    RankByKey(before, key, shares);
    std::vector<Candidate> after = CandidatesIn(counts);
    std::erase_if(after, [](const Candidate& candidate) {
      return candidate.upstream->info.id == "north0";
    });
    RankByKey(after, key, shares);
    const std::string& first = before.front().upstream->info.id;
    const std::string& expected =
        first == "north0" ? before[1].upstream->info.id : first;
    cr_assert_str_eq(after.front().upstream->info.id.c_str(), expected.c_str());
  }
}

}  // namespace
}  // namespace pathcleat
