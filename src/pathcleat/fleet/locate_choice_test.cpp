// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/locate_choice.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

#include "pathcleat/core/hash.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kMaxCount = 16;
constexpr int kCallers = 4'000;
constexpr int kLargeHosts = 2;
constexpr int kSmallHosts = 12;

HostInfo MakeHost(const std::string& domain, int index) {
  HostInfo host;
  host.domain = domain;
  host.region = domain.substr(0, domain.find('-'));
  host.name = domain + "-" + std::to_string(index);
  host.caller_address = host.name;
  host.link_mbps = 10;
  return host;
}

HostInfo MakeSmallHost(const std::string& domain, int index) {
  HostInfo host = MakeHost(domain, index);
  host.capacity = {0.1, 4'100};
  return host;
}

// The domains of one region with the hosts of docs/design/new-customers.md.
std::vector<HostInfo> MixedRegion() {
  std::vector<HostInfo> hosts;
  for (const std::string domain : {"north-1", "north-2"}) {
    for (int i = 0; i < kLargeHosts + kSmallHosts; ++i) {
      hosts.push_back(MakeSmallHost(domain, i));
      if (i < kLargeHosts) {
        hosts.back().capacity = {0.5, 8'192};
        hosts.back().link_mbps = 200;
      }
    }
  }
  return hosts;
}

std::vector<HostInfo> AlikeHosts(const std::string& domain, int count) {
  std::vector<HostInfo> hosts;
  for (int i = 0; i < count; ++i) {
    hosts.push_back(MakeSmallHost(domain, i));
  }
  return hosts;
}

LocateChoice Choose(const std::vector<HostInfo>& hosts,
                    const std::string& domain = "north-1") {
  std::vector<const HostInfo*> pointers;
  for (const HostInfo& host : hosts) {
    pointers.push_back(&host);
  }
  return {pointers, "north", domain};
}

using Answer = std::vector<std::string>;

std::vector<Answer> Answers(const LocateChoice& choice) {
  std::vector<Answer> answers;
  for (int i = 0; i < kCallers; ++i) {
    answers.push_back(
        choice.For(StableHash("10.0." + std::to_string(i)), kMaxCount));
  }
  return answers;
}

// Share of the requests of a domain that each host gets if callers choose
// uniformly.
std::map<std::string, double> Shares(const LocateChoice& choice) {
  std::map<std::string, double> shares;
  for (const Answer& answer : Answers(choice)) {
    for (const std::string& address : answer) {
      shares[address] += 1.0 / static_cast<double>(answer.size()) / kCallers;
    }
  }
  return shares;
}

// Share of the addresses in `before` that callers lose in `after`, apart from
// those in `expected`.
double LostShare(const LocateChoice& before,
                 const LocateChoice& after,
                 const std::set<std::string>& expected) {
  const auto old_answers = Answers(before);
  const auto new_answers = Answers(after);
  double named = 0;
  double lost = 0;
  for (std::size_t i = 0; i < old_answers.size(); ++i) {
    for (const std::string& address : old_answers[i]) {
      const Answer& answer = new_answers[i];
      named += 1;
      lost += !expected.contains(address) &&
                      std::find(answer.begin(), answer.end(), address) ==
                          answer.end()
                  ? 1
                  : 0;
    }
  }
  return lost / named;
}

// Guards against changed answers in deployments whose hosts do not differ.
Test(locate_choice, hosts_that_are_alike_or_unstated_are_all_named_in_order) {
  for (const bool stated : {false, true}) {
    for (const int count : {1, 2, 3, 13, 40}) {
      std::vector<HostInfo> hosts = AlikeHosts("north-1", count);
      const auto beside = AlikeHosts("north-2", 13);
      const auto far = AlikeHosts("south-1", 13);
      hosts.insert(hosts.end(), beside.begin(), beside.end());
      hosts.insert(hosts.end(), far.begin(), far.end());
      for (HostInfo& host : hosts) {
        host.capacity = stated ? host.capacity : HostCapacity{};
      }
      Answer expected;
      const int domains = count == 1 ? 2 : 1;
      for (const HostInfo& host : hosts) {
        if (expected.size() < kMaxCount &&
            (host.domain == "north-1" ||
             (domains == 2 && host.domain == "north-2"))) {
          expected.push_back(host.caller_address);
        }
      }
      for (const Answer& answer : Answers(Choose(hosts))) {
        cr_assert(answer == expected);
      }
    }
  }
}

// Guards against small hosts that get as many requests as large ones. With
// CapacityScale::WeightOf returning 1, each host gets 0.071.
Test(locate_choice, large_hosts_get_more_requests_than_small_ones) {
  const auto shares = Shares(Choose(MixedRegion()));
  double smallest_large = 1;
  double largest_small = 0;
  for (const HostInfo& host : MixedRegion()) {
    const auto found = shares.find(host.name);
    const double share = found == shares.end() ? 0 : found->second;
    if (host.link_mbps > 100) {
      smallest_large = std::min(smallest_large, share);
    } else {
      largest_small = std::max(largest_small, share);
    }
  }
  // Large hosts are named by two domains and have five times the cores.
  cr_assert_geq(2 * smallest_large, 0.2, "large hosts get %.3f",
                smallest_large);
  cr_assert_leq(largest_small, 0.05, "a small host gets %.3f", largest_small);
}

// Guards against callers that lose all addresses when 60% of all hosts are
// killed at the same moment. Fails with kTargetNamed at 4.
Test(locate_choice, few_callers_lose_all_addresses_if_most_hosts_die) {
  const std::vector<HostInfo> hosts = MixedRegion();
  const auto answers = Answers(Choose(hosts));
  std::mt19937_64 random(3);
  double cut_off = 0;
  constexpr int kRounds = 50;
  for (int round = 0; round < kRounds; ++round) {
    std::set<std::string> living;
    for (const HostInfo& host : hosts) {
      if (std::uniform_real_distribution<double>(0, 1)(random) >= 0.6) {
        living.insert(host.caller_address);
      }
    }
    for (const Answer& answer : answers) {
      cr_assert_geq(answer.size(), 8U);
      cut_off += std::none_of(answer.begin(), answer.end(),
                              [&living](const std::string& address) {
                                return living.contains(address);
                              })
                     ? 1
                     : 0;
    }
  }
  cr_assert_leq(cut_off / kRounds / kCallers, std::pow(0.6, 8),
                "%.4f of the callers", cut_off / kRounds / kCallers);
}

// Guards against connections that callers drop because another host died, came
// back or got a load step.
Test(locate_choice, change_of_one_host_leaves_other_addresses_in_place) {
  const std::vector<HostInfo> hosts = MixedRegion();
  const LocateChoice before = Choose(hosts);
  for (const std::size_t changed : {std::size_t{0}, std::size_t{7}}) {
    std::vector<HostInfo> fewer = hosts;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(changed));
    const std::set<std::string> gone{hosts[changed].name};
    cr_assert_leq(LostShare(before, Choose(fewer), gone), 0.02);
    // A host that comes back replaces one of at least eight addresses.
    cr_assert_leq(LostShare(Choose(fewer), before, {}), 1.0 / 8);
    std::vector<HostInfo> busier = hosts;
    busier[changed].load_step = 1;
    cr_assert_leq(LostShare(before, Choose(busier), gone), 0.001);
    cr_assert_gt(LostShare(before, Choose(busier), {}), 0);
  }
}

// Guards against different answers from one host and the next.
Test(locate_choice, answers_do_not_depend_on_the_order_of_the_hosts) {
  const std::vector<HostInfo> hosts = MixedRegion();
  std::vector<HostInfo> other_order = hosts;
  std::reverse(other_order.begin(), other_order.end());
  const auto answers = Answers(Choose(hosts));
  auto other_answers = Answers(Choose(other_order));
  for (std::size_t i = 0; i < answers.size(); ++i) {
    cr_assert(std::is_permutation(answers[i].begin(), answers[i].end(),
                                  other_answers[i].begin(),
                                  other_answers[i].end()));
  }
}

// Guards against a host that is short of capacity and is still named to all
// callers, and against a domain that sends its callers away without need.
Test(locate_choice, load_step_moves_callers_to_hosts_of_the_domain) {
  std::vector<HostInfo> hosts = AlikeHosts("north-1", 13);
  const auto beside = AlikeHosts("north-2", 13);
  hosts.insert(hosts.end(), beside.begin(), beside.end());
  hosts[4].load_step = 2;
  const auto shares = Shares(Choose(hosts));
  const double reduced = shares.at(hosts[4].name);
  cr_assert(reduced > 0.025 && reduced < 0.05, "%.3f", reduced);
  double away = 0;
  for (const HostInfo& host : beside) {
    const auto found = shares.find(host.name);
    away += found == shares.end() ? 0 : found->second;
  }
  cr_assert_leq(away, 0.06, "%.3f leave the domain", away);
}

// Guards against changed answers, and new connections, in a region whose hosts
// are all equally busy. Fails without the division by largest_kept.
Test(locate_choice, equal_load_steps_of_all_hosts_change_nothing) {
  std::vector<HostInfo> hosts = AlikeHosts("north-1", 13);
  const auto beside = AlikeHosts("north-2", 13);
  hosts.insert(hosts.end(), beside.begin(), beside.end());
  const auto before = Answers(Choose(hosts));
  for (HostInfo& host : hosts) {
    host.load_step = 2;
  }
  cr_assert(Answers(Choose(hosts)) == before);
}

// Guards against a domain without capacity beside one that has some. Fails with
// MissingCapacity returning 0.
Test(locate_choice, domain_without_capacity_uses_hosts_of_its_region) {
  std::vector<HostInfo> hosts = AlikeHosts("north-1", 13);
  for (HostInfo& host : hosts) {
    host.load_step = 3;
  }
  const auto beside = AlikeHosts("north-2", 13);
  hosts.insert(hosts.end(), beside.begin(), beside.end());
  const auto shares = Shares(Choose(hosts));
  double away = 0;
  for (const HostInfo& host : beside) {
    const auto found = shares.find(host.name);
    away += found == shares.end() ? 0 : found->second;
  }
  cr_assert(away > 0.4 && away < 0.75, "%.3f leave the domain", away);
  // Hosts of the other domain are not used if they are as busy.
  for (HostInfo& host : hosts) {
    host.load_step = 3;
  }
  cr_assert_not(Shares(Choose(hosts)).contains(beside[0].name));
}

// Guards against a host of unknown capacity that is named like a large one.
Test(locate_choice, host_without_stated_capacity_counts_as_the_smallest) {
  std::vector<HostInfo> hosts = MixedRegion();
  hosts[0].capacity = {};
  const auto shares = Shares(Choose(hosts));
  cr_assert_lt(shares.at(hosts[0].name), 0.06);
}

// Guards against answers without two addresses, or with dead candidates, for
// any mixture of hosts.
Test(locate_choice, property_each_answer_has_two_distinct_known_addresses) {
  cr_assert(Holds("answers are sound", [] {
    std::vector<HostInfo> hosts;
    const int count = *rc::gen::inRange(1, 30);
    for (int i = 0; i < count; ++i) {
      const int domain = *rc::gen::inRange(0, 4);
      HostInfo host = MakeHost(
          (domain < 3 ? "north-" : "south-") + std::to_string(domain), i);
      host.capacity.cpu_cores = *rc::gen::inRange(0, 9) / 10.0;
      host.link_mbps = *rc::gen::inRange(0, 200);
      host.load_step = *rc::gen::inRange<std::uint8_t>(0, 4);
      hosts.push_back(host);
    }
    const LocateChoice choice = Choose(hosts);
    const Answer answer =
        choice.For(*rc::gen::arbitrary<std::uint64_t>(), kMaxCount);
    RC_ASSERT(answer.size() >= std::min<std::size_t>(2, hosts.size()));
    RC_ASSERT(answer.size() <= kMaxCount);
    const std::set<std::string> distinct(answer.begin(), answer.end());
    RC_ASSERT(distinct.size() == answer.size());
    for (const std::string& address : answer) {
      RC_ASSERT(std::any_of(hosts.begin(), hosts.end(),
                            [&address](const HostInfo& host) {
                              return host.caller_address == address;
                            }));
    }
  }));
}

}  // namespace
}  // namespace pathcleat
