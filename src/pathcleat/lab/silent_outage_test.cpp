// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The store accepts calls for a while without ever answering them, and answers
// all later calls.

#include "test_cluster.hpp"

#include <algorithm>
#include <functional>
#include <numeric>
#include <string>
#include <vector>

namespace pathcleat {
namespace {

constexpr std::size_t kHosts = 4;

bool AllHaveVersion(TestCluster& cluster, std::uint64_t version) {
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (cluster.host(i).state().routes.version() != version) {
      return false;
    }
  }
  return true;
}

// Guards against hosts that open a watch while the store does not answer and
// wait for its full length: all hosts then miss every change for 20 s.
Test(silent_outage, hosts_receive_changes_once_the_store_answers_again) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 2};
  TestCluster cluster(plan);
  cluster.StartAll();
  platform::StandInFaults faults;
  faults.unresponsive = true;
  cluster.platform().SetFaults(faults);
  const std::uint64_t calls_before = cluster.platform().calls();
  cluster.platform().CloseFeeds();
  // Each host watches two topics.
  cr_assert(cluster.Await(
      [&] { return cluster.platform().calls() >= calls_before + 2 * kHosts; }));
  cluster.platform().SetFaults({});
  RoutingConfig new_config = cluster.config();
  new_config.version = 2;
  cluster.platform().PutConfig(new_config);
  const Time answering_since = BootClock::now();
  cr_assert(cluster.Await([&cluster] { return AllHaveVersion(cluster, 2); }));
  // The strictest limit within which hosts must be in contact with the store
  // again.
  constexpr Duration kContactTimeout{3'000'000};
  cr_assert_lt((BootClock::now() - answering_since).count(),
               kContactTimeout.count());
}

// A kind of change that hosts learn from the store.
struct ChangeKind {
  std::function<void(TestCluster&, int number)> publish;
  std::function<bool(GatewayState&, int number)> is_in_force;
};

std::string DomainOfDrain(int change_number) {
  return change_number % 2 == 1 ? "domain-0" : "domain-1";
}

bool IsDrainedAfter(int change_number) {
  constexpr int kChangesPerCycle = 4;
  const int step = change_number % kChangesPerCycle;
  return step == 1 || step == 2;
}

const ChangeKind kConfigChange{
    [](TestCluster& cluster, int number) {
      RoutingConfig config = cluster.config();
      config.version = static_cast<std::uint64_t>(number) + 1;
      cluster.platform().PutConfig(config);
    },
    [](GatewayState& state, int number) {
      return state.routes.version() == static_cast<std::uint64_t>(number) + 1;
    }};

const ChangeKind kLeavingUpstream{
    [](TestCluster& cluster, int number) {
      UpstreamInfo upstream = cluster.upstream_info(0);
      upstream.id = "leaving-" + std::to_string(number);
      upstream.leaving = true;
      cluster.platform().PutUpstream(upstream);
    },
    [](GatewayState& state, int number) {
      return state.upstreams.Find("leaving-" + std::to_string(number)) !=
             nullptr;
    }};

// Drains two domains one after the other, then takes them back in this order,
// so that of two changes in a row each shows by itself.
const ChangeKind kDrainedDomain{
    [](TestCluster& cluster, int number) {
      cluster.platform().SetDomainDrained(DomainOfDrain(number),
                                          IsDrainedAfter(number));
    },
    [](GatewayState& state, int number) {
      return state.upstreams.drained_domains().contains(
                 DomainOfDrain(number)) == IsDrainedAfter(number);
    }};

// How the store falls silent.
struct Silence {
  Duration length{1'100'000};
  /// Whether the store also forgets the feeds that wait when it falls silent.
  bool forgets_feeds = false;
  bool is_repeated = false;  ///< again, 0.4 s after its end
};

class SilenceSweep {
 public:
  explicit SilenceSweep(const ChangeKind& kind,
                        const std::vector<int>& hosts_in_domain = {2, 2})
      : kind_(kind),
        host_count_(std::accumulate(hosts_in_domain.begin(),
                                    hosts_in_domain.end(),
                                    std::size_t{0})),
        cluster_(MakePlan(hosts_in_domain)) {
    cluster_.StartAll();
  }

  /// @brief Lets the store fall silent at moments from 0.1 s before a change to
  /// 0.5 s after it, in steps of 50 ms, and checks after each silence that a
  /// change is in force everywhere in time.
  void Run(const Silence& silence) {
    constexpr Duration kStep{50'000};
    for (Duration start{-100'000}; start <= Duration(500'000); start += kStep) {
      RunOnce(silence, start);
    }
  }

 private:
  // The strictest time in which hosts must apply a change.
  static constexpr Duration kApplyTimeout{2'000'000};
  static constexpr Duration kContactTimeout{1'500'000};

  static TestClusterPlan MakePlan(const std::vector<int>& hosts_in_domain) {
    TestClusterPlan plan;
    plan.hosts_in_domain = hosts_in_domain;
    plan.contact = kContactTimeout;
    return plan;
  }

  void RunOnce(const Silence& silence, Duration start) {
    const Time change_at = BootClock::now() + Duration(200'000);
    if (start < Duration::zero()) {
      WaitUntilTime(change_at + start);
      FallSilent(silence);
    }
    WaitUntilTime(change_at);
    kind_.publish(cluster_, ++change_number_);
    if (start >= Duration::zero()) {
      WaitUntilTime(change_at + start);
      FallSilent(silence);
    }
    WaitUntilTime(change_at + start + silence.length);
    cluster_.platform().SetFaults({});
    if (silence.is_repeated) {
      WaitUntilTime(BootClock::now() + Duration(400'000));
      FallSilent(silence);
      WaitUntilTime(BootClock::now() + silence.length);
      cluster_.platform().SetFaults({});
    }
    WaitUntilTime(BootClock::now() + kContactTimeout);
    const Time published_at = BootClock::now();
    kind_.publish(cluster_, ++change_number_);
    cr_assert(cluster_.Await([&] {
      return IsInForceEverywhere() ||
             BootClock::now() - published_at > kApplyTimeout;
    }));
    cr_assert(IsInForceEverywhere(), "silence from %lld ms after a change",
              static_cast<long long>(ToMilliseconds(start)));
  }

  void FallSilent(const Silence& silence) {
    platform::StandInFaults faults;
    faults.unresponsive = true;
    cluster_.platform().SetFaults(faults);
    if (silence.forgets_feeds) {
      cluster_.platform().ForgetFeeds();
    }
  }

  void WaitUntilTime(Time time) {
    cr_assert(cluster_.Await([time] { return BootClock::now() >= time; }));
  }

  bool IsInForceEverywhere() {
    for (std::size_t i = 0; i < host_count_; ++i) {
      if (!kind_.is_in_force(cluster_.host(i).state(), change_number_)) {
        return false;
      }
    }
    return true;
  }

  const ChangeKind& kind_;
  std::size_t host_count_;
  TestCluster cluster_;
  int change_number_ = 0;
};

// Guards against a watch that the store took while it was silent, without any
// call that failed, and that is trusted for its full length: all hosts then
// keep an old configuration for up to 20 s.
Test(silent_outage, unnoticed_silence_hides_no_configuration) {
  SilenceSweep(kConfigChange).Run({});
}

// Guards against the same for the list of upstreams: hosts keep sending to
// upstreams that leave.
Test(silent_outage, unnoticed_silence_hides_no_leaving_upstream) {
  SilenceSweep(kLeavingUpstream).Run({});
}

// Guards against the same for drains of failure domains.
Test(silent_outage, unnoticed_silence_hides_no_drain) {
  SilenceSweep(kDrainedDomain).Run({});
}

// Guards against hosts that follow others and are not told: eight of the hosts
// watch the store.
Test(silent_outage, unnoticed_silence_hides_nothing_from_followers) {
  SilenceSweep(kConfigChange, {11}).Run({});
}

// Guards against a watch that began before the silence, and that the store
// forgets while its connection stays open.
Test(silent_outage, watches_forgotten_in_a_silence_are_replaced) {
  SilenceSweep(kConfigChange).Run({Duration(1'100'000), true});
}

// Guards against watches that are replaced in the second of two silences.
Test(silent_outage, second_silence_hides_no_configuration) {
  SilenceSweep(kConfigChange).Run({Duration(700'000), false, true});
}

// Guards against hosts that go on following one host for up to 20 s after an
// outage: no host learns of a change when that host loses the store.
Test(silent_outage, hosts_watch_the_store_again_after_an_outage) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 2};
  TestCluster cluster(plan);
  cluster.StartAll();
  platform::StandInFaults faults;
  faults.unresponsive = true;
  cluster.platform().SetFaults(faults);
  cr_assert(cluster.Await([&cluster] {
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (!cluster.HasEvent(i, EventCode::kPlatformDown)) {
        return false;
      }
    }
    return true;
  }));
  cluster.platform().SetFaults({});
  const Time answering_since = BootClock::now();
  cr_assert(cluster.Await([&cluster] {
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (cluster.host(i).Versions().store_access != StoreAccess::kWatching) {
        return false;
      }
    }
    return true;
  }));
  // Above the time for which a host takes the store for failed, and far below
  // the length of a watch.
  constexpr Duration kReturnTimeout{8'000'000};
  cr_assert_lt((BootClock::now() - answering_since).count(),
               kReturnTimeout.count());
}

// Guards against an old configuration whose cause cannot be told: whether this
// host or the whole fleet had no answer of the store.
Test(silent_outage, requests_tell_when_the_store_last_answered) {
  TestCluster cluster;
  cluster.StartAll();
  platform::StandInFaults faults;
  faults.unresponsive = true;
  cluster.platform().SetFaults(faults);
  constexpr double kSilenceMilliseconds = 1'500;
  const Time silent_since = BootClock::now();
  cr_assert(cluster.Await([&] {
    return ToMilliseconds(BootClock::now() - silent_since) >
           kSilenceMilliseconds;
  }));
  cluster.Get(0, "r1");
  const auto events = cluster.host(0).state().traces.Find("id-r1");
  cr_assert(events.has_value());
  const EventFields& fields = events->front().fields;
  const auto age =
      std::find_if(fields.begin(), fields.end(), [](const EventField& field) {
        return std::string(field.name) == field::kFleetAnswerAgeMs;
      });
  cr_assert(age != fields.end());
  cr_assert_geq(std::get<std::int64_t>(age->value), 1'000);
}

}  // namespace
}  // namespace pathcleat
