// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/rate_share.hpp"

#include <deque>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/steer/token_bucket.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

// A living host, as a candidate to send to a cold upstream.
struct RateSender {
  std::uint64_t hash = 0;
  bool near = false;  ///< in the upstream's region
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

// One host of a fleet, with its own share of a cold upstream.
struct Sender {
  RateSender place;
  TokenBucket share{0, 1};
};

std::vector<Sender> Fleet(int count, int near) {
  std::vector<Sender> fleet(count);
  for (int i = 0; i < count; ++i) {
    fleet[i].place = {StableHash("host-" + std::to_string(i)), i < near};
  }
  return fleet;
}

std::vector<RateSender> OthersOf(const std::vector<Sender>& fleet,
                                 std::size_t self) {
  std::vector<RateSender> others;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (i != self) {
      others.push_back(fleet[i].place);
    }
  }
  return others;
}

// With a share of its own at each of 80 hosts, each with one request saved up,
// a cold upstream got 80 at once (FAILBACK on the grown deployments).
Test(rate_share, all_hosts_together_keep_the_bound_in_every_second) {
  cr_assert(Holds("any second, any fleet", [] {
    const int count = *rc::gen::inRange(1, 100);
    std::vector<Sender> fleet = Fleet(count, count / 3);
    const RateBound bound{double(*rc::gen::inRange(1, 20)), 5};
    const Time start{Duration(1'000'000)};
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet[i].share.SetRate(
          RateOf(bound, 7, fleet[i].place, OthersOf(fleet, i)), start);
    }
    std::deque<Time> sent;
    for (Time now = start; now < start + 3 * kWindow; now += kStep) {
      for (Sender& sender : fleet) {
        if (sender.share.TryAcquire(now)) {
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

Test(rate_share, near_hosts_send_and_somebody_always_does) {
  cr_assert(Holds("senders", [] {
    const int count = *rc::gen::inRange(1, 40);
    const int near = *rc::gen::inRange(0, count + 1);
    const std::vector<Sender> fleet = Fleet(count, near);
    const RateBound bound{4, 5};
    int senders = 0;
    double rate = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      const double own = RateOf(bound, 11, fleet[i].place, OthersOf(fleet, i));
      senders += own > 0 ? 1 : 0;
      rate += own;
      RC_ASSERT(own <= 0 || fleet[i].place.near ||
                near < RateSenderCount(bound.slack));
    }
    RC_ASSERT(senders == std::min(count, RateSenderCount(bound.slack)));
    RC_ASSERT(rate > 3.99 && rate < 4.01);
  }));
}

// By the definition: near hosts first, then by hash; the first few send.
bool Sends(const RateBound& bound,
           std::uint64_t upstream_hash,
           const std::vector<Sender>& fleet,
           std::size_t self) {
  const auto rank = [&](const RateSender& host) {
    return std::pair(host.near, MixHashes(upstream_hash, host.hash));
  };
  int ahead = 0;
  for (const Sender& other : fleet) {
    ahead += rank(other.place) > rank(fleet[self].place) ? 1 : 0;
  }
  return ahead <
         std::min(RateSenderCount(bound.slack), static_cast<int>(fleet.size()));
}

Test(rate_share, ranking_that_ends_early_is_the_same) {
  cr_assert(Holds("who sends", [] {
    const int count = *rc::gen::inRange(1, 60);
    const std::vector<Sender> fleet = Fleet(count, *rc::gen::inRange(0, count));
    const RateBound bound{4, double(*rc::gen::inRange(1, 20))};
    const auto upstream = *rc::gen::arbitrary<std::uint64_t>();
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      const double rate =
          RateOf(bound, upstream, fleet[i].place, OthersOf(fleet, i));
      RC_ASSERT((rate > 0) == Sends(bound, upstream, fleet, i));
    }
  }));
}

// Guards against parts of a fleet that do not hear each other and each take the
// whole bound.
Test(rate_share, halves_that_do_not_hear_each_other_keep_the_bound) {
  cr_assert(Holds("the sum over both parts", [] {
    const int count = *rc::gen::inRange(2, 60);
    const int in_first = *rc::gen::inRange(1, count);
    const std::vector<Sender> fleet = Fleet(count, count);
    const RateBound bound{double(*rc::gen::inRange(1, 20)), 8};
    double rate = 0;
    int senders = 0;
    for (int i = 0; i < count; ++i) {
      RateSenders part(fleet[i].place.hash, "near");
      part.SetFleetSize(count);
      for (int other = 0; other < count; ++other) {
        if (other != i && (other < in_first) == (i < in_first)) {
          part.AddHost(fleet[other].place.hash, "near");
        }
      }
      const double own = part.Rate(bound, 7, "near");
      rate += own;
      senders += own > 0 ? 1 : 0;
    }
    // Of one part of most hosts and one of the others at most.
    RC_ASSERT(rate <= bound.per_second * 1.34);
    RC_ASSERT(senders <= bound.slack);
  }));
}

// Hosts ranked for each of many cold upstreams in three regions.
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

// At 986 hosts and 2,629 upstreams that join at one moment all hosts were busy
// with ranking alone. Checked to fail without the end in CountAhead.
Test(rate_share, ranking_does_not_grow_with_the_hosts) {
  constexpr double kMost = 20;
  cr_assert_leq(RankedFor(100), kMost);
  cr_assert_leq(RankedFor(1'000), kMost);
}

}  // namespace
}  // namespace pathcleat
