// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/rate_share.hpp"

#include <deque>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/steer/token_bucket.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

// An alive host that may send to a cold upstream.
struct RateSender {
  std::uint64_t hash = 0;
  bool near = false;  ///< whether it is in the upstream's region
};

double RateOf(const RateBound& bound,
              std::uint64_t upstream_hash,
              const RateSender& self,
              const std::vector<RateSender>& others) {
  const auto region_of = [](const RateSender& sender) {
    return sender.near ? "near" : "far";
  };
  RateSenders senders(self.hash, region_of(self));
  for (const RateSender& other : others) {
    senders.AddHost(other.hash, region_of(other));
  }
  return senders.Rate(bound, upstream_hash, "near");
}

constexpr Duration kStep{10'000};
constexpr Duration kWindow{1'000'000};

// One host of a fleet and the host's share of the rate of a cold upstream.
struct Sender {
  RateSender candidate;
  TokenBucket bucket{0, 1};
};

std::vector<Sender> MakeFleet(int count, int near) {
  std::vector<Sender> fleet(count);
  for (int i = 0; i < count; ++i) {
    fleet[i].candidate = {StableHash("host-" + std::to_string(i)), i < near};
  }
  return fleet;
}

std::vector<RateSender> OthersOf(const std::vector<Sender>& fleet,
                                 std::size_t self) {
  std::vector<RateSender> others;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (i != self) {
      others.push_back(fleet[i].candidate);
    }
  }
  return others;
}

// Guards against bursts to a cold upstream: when each of 80 hosts had a share
// of its own, with one request saved up, the upstream got 80 requests at once.
Test(rate_share, all_hosts_together_keep_the_bound_in_every_second) {
  cr_assert(Holds("the bound in any second, for any fleet", [] {
    const int count = *rc::gen::inRange(1, 100);
    std::vector<Sender> fleet = MakeFleet(count, count / 3);
    const RateBound bound{double(*rc::gen::inRange(1, 20)), 5};
    const Time start{Duration(1'000'000)};
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet[i].bucket.SetRate(
          RateOf(bound, 7, fleet[i].candidate, OthersOf(fleet, i)), start);
    }
    std::deque<Time> sent;
    for (Time now = start; now < start + 3 * kWindow; now += kStep) {
      for (Sender& sender : fleet) {
        if (sender.bucket.TryAcquire(now)) {
          sent.push_back(now);
        }
      }
      while (!sent.empty() && sent.front() <= now - kWindow) {
        sent.pop_front();
      }
      RC_ASSERT(double(sent.size()) <= bound.per_second + bound.slack);
    }
  }));
}

Test(rate_share, near_hosts_send_first_and_there_is_always_a_sender) {
  cr_assert(Holds("senders", [] {
    const int count = *rc::gen::inRange(1, 40);
    const int near = *rc::gen::inRange(0, count + 1);
    const std::vector<Sender> fleet = MakeFleet(count, near);
    const RateBound bound{4, 5};
    int senders = 0;
    double rate = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      const double own =
          RateOf(bound, 11, fleet[i].candidate, OthersOf(fleet, i));
      senders += own > 0 ? 1 : 0;
      rate += own;
      RC_ASSERT(own <= 0 || fleet[i].candidate.near ||
                near < RateSenderCount(bound.slack));
    }
    RC_ASSERT(senders == std::min(count, RateSenderCount(bound.slack)));
    RC_ASSERT(rate > 3.99 && rate < 4.01);
  }));
}

// Reference for RateSenders, without its early end: ranks all hosts, near hosts
// first, then by hash. The highest ranked hosts send.
bool IsSender(const RateBound& bound,
              std::uint64_t upstream_hash,
              const std::vector<Sender>& fleet,
              std::size_t self) {
  const auto rank = [&](const RateSender& host) {
    return std::pair(host.near, MixHashes(upstream_hash, host.hash));
  };
  int higher_ranked = 0;
  for (const Sender& other : fleet) {
    higher_ranked +=
        rank(other.candidate) > rank(fleet[self].candidate) ? 1 : 0;
  }
  return higher_ranked <
         std::min(RateSenderCount(bound.slack), static_cast<int>(fleet.size()));
}

Test(rate_share, ranking_that_ends_early_has_the_same_result) {
  cr_assert(Holds("who sends", [] {
    const int count = *rc::gen::inRange(1, 60);
    const std::vector<Sender> fleet =
        MakeFleet(count, *rc::gen::inRange(0, count));
    const RateBound bound{4, double(*rc::gen::inRange(1, 20))};
    const auto upstream = *rc::gen::arbitrary<std::uint64_t>();
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      const double rate =
          RateOf(bound, upstream, fleet[i].candidate, OthersOf(fleet, i));
      RC_ASSERT((rate > 0) == IsSender(bound, upstream, fleet, i));
    }
  }));
}

// Guards against a split fleet in which both parts, unable to reach each other,
// use the whole bound.
Test(rate_share, parts_of_a_fleet_that_cannot_reach_each_other_keep_the_bound) {
  cr_assert(Holds("the sum over both parts", [] {
    const int count = *rc::gen::inRange(2, 60);
    const int in_first = *rc::gen::inRange(1, count);
    const std::vector<Sender> fleet = MakeFleet(count, count);
    const RateBound bound{double(*rc::gen::inRange(1, 20)), 8};
    double rate = 0;
    int senders = 0;
    for (int i = 0; i < count; ++i) {
      RateSenders visible(fleet[i].candidate.hash, "near");
      visible.SetFleetSize(count);
      for (int other = 0; other < count; ++other) {
        if (other != i && (other < in_first) == (i < in_first)) {
          visible.AddHost(fleet[other].candidate.hash, "near");
        }
      }
      const double own = visible.Rate(bound, 7, "near");
      rate += own;
      senders += own > 0 ? 1 : 0;
    }
    // The full bound from the majority part, and at most a third from the other
    // part.
    RC_ASSERT(rate <= bound.per_second * 1.34);
    RC_ASSERT(senders <= bound.slack);
  }));
}

// Mean number of hosts ranked for each of many cold upstreams in three regions.
double RankedFor(int hosts) {
  constexpr int kUpstreams = 900;
  const auto region = [](int i) { return "region-" + std::to_string(i % 3); };
  RateSenders senders(StableHash("self"), region(0));
  for (int i = 1; i < hosts; ++i) {
    senders.AddHost(StableHash("host-" + std::to_string(i)), region(i));
  }
  for (int i = 0; i < kUpstreams; ++i) {
    senders.Rate({4, 10}, StableHash("i-" + std::to_string(i)), region(i));
  }
  return static_cast<double>(senders.ranked_count()) / kUpstreams;
}

// Guards against a ranking that costs more with each host: at 986 hosts and
// 2,629 upstreams that joined at once, all hosts were busy with ranking alone.
// Fails without the early end in CountHigherRanked.
Test(rate_share, ranking_does_not_grow_with_the_hosts) {
  constexpr double kMaxRanked = 20;
  cr_assert_leq(RankedFor(100), kMaxRanked);
  cr_assert_leq(RankedFor(1'000), kMaxRanked);
}

}  // namespace
}  // namespace pathcleat
